"""An engine that reads prompts between the tokens of its streams."""

import itertools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from experiments.simulation import EventLoop
from oriolepaddle.placement import Job

__all__ = ["BatchEngine", "EngineFigures", "EngineRun"]


@attrs.frozen
class EngineFigures:
    """What a deployment's sheet says of its engines.

    Attributes:
        slots: Requests in one batch.
        cache_tokens: Tokens of memory.
        step_s: Seconds of a step without any request.
        step_for_each_s: Seconds that each request adds to a step.
        read_tokens_per_s: Prompt tokens read in a second.
        chunk_tokens: Prompt tokens read in one step at most.
        event_tokens: Tokens of one event.
    """

    slots: int = 64
    cache_tokens: int = 307_000
    step_s: float = 0.003
    step_for_each_s: float = 0.00012
    read_tokens_per_s: float = 92_000.0
    chunk_tokens: int = 2048
    event_tokens: int = 10


@attrs.define(eq=False)
class EngineRun:
    """A request at an engine.

    Attributes:
        job: The request.
        on_event: Called with each event.
        on_end: Called after the last event.
        source: The engine from which the prompt's beginning is fetched, or None.
        unread: Tokens of the prompt that are still to be read.
        tokens: Tokens of the answer so far.
    """

    job: Job
    on_event: Callable[[], None]
    on_end: Callable[[], None]
    source: "BatchEngine | None" = None
    unread: int = 0
    tokens: int = 0


class BatchEngine:
    """Steps in which running streams get a token and prompts are read on.

    Args:
        loop: The time.
        figures: The engine's size and speed.
        speed: How many times as fast as the figures say it is.
    """

    def __init__(
        self, loop: EventLoop, figures: EngineFigures, speed: float = 1.0
    ) -> None:
        self._loop = loop
        self._figures = figures
        self._speed = speed
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._running: list[EngineRun] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._is_stepping = False
        self.is_dark = False
        self.read_tokens = 0

    def submit(self, run: EngineRun) -> None:
        """Take a request."""
        self._waiting.append((run.job.urgency, next(self._order), run))
        self._step()

    def cancel(self, run: EngineRun) -> None:
        """Drop a request whose caller left."""
        self._waiting = [item for item in self._waiting if item[2] is not run]
        if run in self._running:
            self._running.remove(run)

    def wake(self) -> None:
        """Go on after it was dark, with nothing of what it had."""
        self.is_dark = False
        self._waiting.clear()
        self._running.clear()
        self._cached.clear()

    def _step(self) -> None:
        if self._is_stepping or self.is_dark:
            return
        self._admit()
        if not self._running:
            return
        self._is_stepping = True
        left = self._figures.chunk_tokens
        for run in self._running:
            part = min(left, run.unread)
            run.unread -= part
            left -= part
        read = self._figures.chunk_tokens - left
        self.read_tokens += read
        figures = self._figures
        lasts_s = figures.step_s + figures.step_for_each_s * len(self._running)
        lasts_s += read / figures.read_tokens_per_s
        begun = [run for run in self._running if run.unread == 0]
        self._loop.schedule(lasts_s / self._speed, self._finish_step, begun)

    def _finish_step(self, begun: list[EngineRun]) -> None:
        self._is_stepping = False
        if self.is_dark:
            return
        for run in begun:
            if run not in self._running:
                continue
            run.tokens += 1
            is_last = run.tokens >= run.job.output_tokens
            if run.tokens == 1 or run.tokens % self._figures.event_tokens == 0:
                run.on_event()
            if is_last:
                self._running.remove(run)
                run.on_end()
        self._step()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda item: item[:2])
        held = sum(run.job.memory_tokens for run in self._running)
        while self._waiting and len(self._running) < self._figures.slots:
            run = self._waiting[0][2]
            held += run.job.memory_tokens
            if held > self._figures.cache_tokens and self._running:
                return
            self._waiting.pop(0)
            self._fetch(run)
            run.unread = max(1, run.job.input_tokens - self._count_cached(run.job))
            self._running.append(run)
            self._keep(run.job, self._figures.cache_tokens - held)

    def _fetch(self, run: EngineRun) -> None:
        # A transfer takes some milliseconds, which are left out.
        for part in run.job.parts:
            if run.source is None or part.id not in run.source._cached:
                return
            self._cached.setdefault(part.id, part.tokens)

    def _count_cached(self, job: Job) -> int:
        cached = 0
        for part in job.parts:
            if part.id not in self._cached:
                break
            cached += part.tokens
        return cached

    def _keep(self, job: Job, room: int) -> None:
        for part in reversed(job.parts):
            self._cached[part.id] = part.tokens
            self._cached.move_to_end(part.id)
        kept = sum(self._cached.values())
        while kept > max(0, room) and self._cached:
            kept -= self._cached.popitem(last=False)[1]
