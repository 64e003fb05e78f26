"""A simple model of an inference engine."""

from collections import OrderedDict, deque

from experiments.simulation.event_loop import EventLoop
from experiments.simulation.job import Job
from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.prefix import BLOCK_TOKENS

__all__ = ["Engine"]


class Engine:
    """Serves jobs in a fixed number of slots behind a first-in-first-out queue.

    Prefills run one after another and skip the tokens that the prefix cache has.
    The cache evicts the least recently used blocks. Slots decode in parallel.

    Args:
        loop: The event loop.
        endpoint: The endpoint, with its actual speeds.
    """

    def __init__(self, loop: EventLoop, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.is_up = True
        self.epoch = 1
        self.busy_s = 0.0
        self.computed_tokens = 0.0
        self.decoded_tokens = 0.0
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self._loop = loop
        self._queue: deque[Job] = deque()
        self._running: dict[int, Job] = {}
        self._prefill_available_s = 0.0
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._capacity_blocks = endpoint.cache_tokens // BLOCK_TOKENS

    @property
    def running(self) -> int:
        """The number of requests in a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._queue)

    def submit(self, job: Job) -> bool:
        """Enqueue a job; return False if the engine is down and refuses connections."""
        if not self.is_up:
            return False
        self._queue.append(job)
        self._start_next()
        return True

    def crash(self) -> None:
        """Fail all jobs and clear the prefix cache."""
        self.is_up = False
        self.epoch += 1
        failed = [*self._running.values(), *self._queue]
        self._running.clear()
        self._queue.clear()
        self._blocks.clear()
        self.stored.clear()
        self.evicted.clear()
        for job in failed:
            job.on_failed()

    def recover(self) -> None:
        """Restart with an empty prefix cache."""
        self.is_up = True
        self._prefill_available_s = self._loop.monotonic_s()

    def pop_cache_changes(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return and clear the blocks stored and evicted since the last call."""
        changes = tuple(self.stored), tuple(self.evicted)
        self.stored.clear()
        self.evicted.clear()
        return changes

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.endpoint.slots:
            self._start(self._queue.popleft())

    def _start(self, job: Job) -> None:
        now_s = self._loop.monotonic_s()
        cached_tokens = min(
            job.prompt_tokens, self._access_prefix_cache(job.prefix_hashes)
        )
        uncached_tokens = job.prompt_tokens - cached_tokens
        prefill_s = uncached_tokens / self.endpoint.prefill_tokens_per_s
        self._prefill_available_s = max(now_s, self._prefill_available_s) + prefill_s
        self.computed_tokens += uncached_tokens
        self.busy_s += prefill_s
        token_s = 1.0 / self.endpoint.decode_tokens_per_s
        self._running[id(job)] = job
        first_token_delay_s = self._prefill_available_s + token_s - now_s
        self._loop.schedule(first_token_delay_s, self._finish_prefill, job, self.epoch)

    def _finish_prefill(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch:
            return
        decode_s = (job.output_tokens - 1) / self.endpoint.decode_tokens_per_s
        self._loop.schedule(decode_s, self._finish, job, epoch)
        job.on_first_token()

    def _finish(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch:
            return
        del self._running[id(job)]
        self.decoded_tokens += job.output_tokens
        answer_s = job.output_tokens / self.endpoint.decode_tokens_per_s
        self.busy_s += answer_s / self.endpoint.slots
        job.on_done()
        self._start_next()

    def _access_prefix_cache(self, hashes: tuple[int, ...]) -> int:
        cached_blocks = 0
        for block in hashes:
            if block not in self._blocks:
                break
            cached_blocks += 1
        for block in reversed(hashes):
            if block not in self._blocks:
                self.stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self.evicted.append(block)
        return cached_blocks * BLOCK_TOKENS
