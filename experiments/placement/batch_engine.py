"""A model of an engine with continuous batching and chunked prefill."""

import itertools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from experiments.simulation import EventLoop
from oriolepaddle.placement import Job

__all__ = ["BatchEngine", "EngineParameters", "EngineRun"]


@attrs.frozen
class EngineParameters:
    """Size and speed of an engine, as in a deployment's data sheet.

    Attributes:
        slots: Maximum requests in one batch.
        cache_tokens: Memory for prompts and answers, in tokens.
        step_s: Duration of a step without requests, in seconds.
        step_per_request_s: Seconds that each running request adds.
        prefill_tokens_per_s: Prefill speed, in prompt tokens per second.
        prefill_chunk_tokens: Maximum prompt tokens prefilled in one step.
        tokens_per_event: Answer tokens in one event.
    """

    slots: int = 64
    cache_tokens: int = 307_000
    step_s: float = 0.003
    step_per_request_s: float = 0.00012
    prefill_tokens_per_s: float = 92_000.0
    prefill_chunk_tokens: int = 2048
    tokens_per_event: int = 10


@attrs.define(eq=False)
class EngineRun:
    """A request at an engine.

    Attributes:
        job: The request.
        on_event: Called with each event.
        on_end: Called after the last token.
        prefix_source: The engine from which the prompt's prefix is fetched, or
            None.
        remaining_prompt_tokens: Prompt tokens not yet prefilled.
        output_tokens: Answer tokens generated so far.
    """

    job: Job
    on_event: Callable[[], None]
    on_end: Callable[[], None]
    prefix_source: "BatchEngine | None" = None
    remaining_prompt_tokens: int = 0
    output_tokens: int = 0


class BatchEngine:
    """Runs steps that decode one token of each stream and prefill prompts in chunks.

    Args:
        loop: The event loop.
        parameters: The engine's size and speed.
        speed: Factor on the speed that the parameters give.
    """

    def __init__(
        self, loop: EventLoop, parameters: EngineParameters, speed: float = 1.0
    ) -> None:
        self._loop = loop
        self._parameters = parameters
        self._speed = speed
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._running: list[EngineRun] = []
        self._cached_parts: OrderedDict[str, int] = OrderedDict()
        self._is_stepping = False
        self.is_unresponsive = False
        self.pace_factor = 1.0
        self.prefilled_tokens = 0

    def submit(self, run: EngineRun) -> None:
        """Queue a request and start a step unless one is running."""
        self._waiting.append((run.job.urgency, next(self._sequence), run))
        self._start_step()

    def cancel(self, run: EngineRun) -> None:
        """Remove a request that its caller cancelled."""
        self._waiting = [item for item in self._waiting if item[2] is not run]
        if run in self._running:
            self._running.remove(run)

    def restart(self) -> None:
        """Respond again, with empty queue, batch and cache."""
        self.is_unresponsive = False
        self._waiting.clear()
        self._running.clear()
        self._cached_parts.clear()

    def _start_step(self) -> None:
        if self._is_stepping or self.is_unresponsive:
            return
        self._admit()
        if not self._running:
            return
        self._is_stepping = True
        chunk_left = self._parameters.prefill_chunk_tokens
        for run in self._running:
            prefilled = min(chunk_left, run.remaining_prompt_tokens)
            run.remaining_prompt_tokens -= prefilled
            chunk_left -= prefilled
        step_tokens = self._parameters.prefill_chunk_tokens - chunk_left
        self.prefilled_tokens += step_tokens
        parameters = self._parameters
        step_s = parameters.step_s + parameters.step_per_request_s * len(self._running)
        step_s += step_tokens / parameters.prefill_tokens_per_s
        decoding = [run for run in self._running if run.remaining_prompt_tokens == 0]
        step_s *= self.pace_factor / self._speed
        self._loop.schedule(step_s, self._finish_step, decoding)

    def _finish_step(self, decoding: list[EngineRun]) -> None:
        self._is_stepping = False
        if self.is_unresponsive:
            return
        for run in decoding:
            if run not in self._running:
                continue
            run.output_tokens += 1
            is_last = run.output_tokens >= run.job.output_tokens
            if (
                run.output_tokens == 1
                or run.output_tokens % self._parameters.tokens_per_event == 0
            ):
                run.on_event()
            if is_last:
                self._running.remove(run)
                run.on_end()
        self._start_step()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda item: item[:2])
        used_tokens = sum(run.job.memory_tokens for run in self._running)
        while self._waiting and len(self._running) < self._parameters.slots:
            run = self._waiting[0][2]
            used_tokens += run.job.memory_tokens
            if used_tokens > self._parameters.cache_tokens and self._running:
                return
            self._waiting.pop(0)
            self._fetch_prefix(run)
            run.remaining_prompt_tokens = max(
                1, run.job.input_tokens - self._count_cached(run.job)
            )
            self._running.append(run)
            self._cache_prompt(run.job, self._parameters.cache_tokens - used_tokens)

    def _fetch_prefix(self, run: EngineRun) -> None:
        # Transfers take a few milliseconds, which the model neglects.
        for part in run.job.parts:
            if (
                run.prefix_source is None
                or part.id not in run.prefix_source._cached_parts
            ):
                return
            self._cached_parts.setdefault(part.id, part.tokens)

    def _count_cached(self, job: Job) -> int:
        cached_tokens = 0
        for part in job.parts:
            if part.id not in self._cached_parts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def _cache_prompt(self, job: Job, free_tokens: int) -> None:
        for part in reversed(job.parts):
            self._cached_parts[part.id] = part.tokens
            self._cached_parts.move_to_end(part.id)
        cached_tokens = sum(self._cached_parts.values())
        while cached_tokens > max(0, free_tokens) and self._cached_parts:
            cached_tokens -= self._cached_parts.popitem(last=False)[1]
