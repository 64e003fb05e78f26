"""Reconciliation of engines with the published placements."""

import random
import threading
from collections import Counter
from concurrent.futures import Executor
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.commands._backoff import CommandBackoff
from oriolepaddle.commands.control import EngineControl
from oriolepaddle.commands.freshness import Freshness
from oriolepaddle.commands.limits import CommandLimits
from oriolepaddle.commands.loads import grant_loads
from oriolepaddle.commands.outcome import CommandOutcome, CommandResult
from oriolepaddle.commands.plan import Plan, current_plan, make_plans
from oriolepaddle.commands.state import EngineState
from oriolepaddle.config import ConfigState
from oriolepaddle.errors import (
    CommandWithheldError,
    EndpointError,
    EndpointRefusedError,
)
from oriolepaddle.membership import MembershipView
from oriolepaddle.membership.rendezvous import rank_instances
from oriolepaddle.publication import InstanceState

__all__ = ["CommandIssuer"]

PAUSE_JITTER = 0.2
"""Fraction by which pauses vary, so that instances do not run in step."""


class CommandIssuer:
    """Brings the engines of one data centre to the state that placements publish.

    Level-triggered: each pass reads the state of every engine and sends a
    command to those that differ, so the next pass corrects the effect of a
    lost, late or duplicated command. All instances of the data centre may run
    it concurrently: the commands depend on the placements alone and carry the
    ticket number as fencing number. Ranks only reduce duplicate work; safety
    does not depend on them.

    Args:
        config: Merged configuration.
        view: The fleet as this instance sees it.
        control: Reads the state of engines and sends commands.
        freshness: Reports the age of this instance's configuration.
        clock: Clock for pauses and backoff.
        generator: Random generator for jitter.
        executor: Reads the state of engines concurrently.
        limits: Limits on reads, commands and loads.
    """

    def __init__(
        self,
        config: ConfigState,
        view: MembershipView,
        control: EngineControl,
        freshness: Freshness,
        clock: Clock,
        generator: random.Random,
        executor: Executor,
        limits: CommandLimits | None = None,
    ) -> None:
        self._config = config
        self._view = view
        self._control = control
        self._freshness = freshness
        self._clock = clock
        self._generator = generator
        self._executor = executor
        self._limits = limits or CommandLimits()
        self._backoff = CommandBackoff(
            clock, generator, self._limits.min_backoff, self._limits.max_backoff
        )
        self.counts: Counter[CommandOutcome] = Counter()

    def run(self, stop: threading.Event) -> None:
        """Reconcile periodically until `stop` is set."""
        while not self._clock.wait(stop, self.next_pause()):
            self.reconcile()

    def next_pause(self) -> timedelta:
        """Return the pause before the next pass, which grows with the rank."""
        factor = 1 + self._limits.extra_intervals_per_rank * self.rank()
        jitter = self._generator.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        return self._limits.interval * factor * jitter

    def rank(self) -> int:
        """Return this instance's rank among those that reconcile, from 0."""
        identity = self._view.identity
        published = self._view.published()
        reachable = self._view.reachable()
        others = {
            instance.id
            for instance in (published.instances if published else ())
            if instance.data_centre == identity.data_centre
            and instance.state is InstanceState.LIVE
            and instance.id in reachable
        }
        ranked = rank_instances(others | {identity.instance}, identity.data_centre)
        return ranked.index(identity.instance)

    def reconcile(self) -> tuple[CommandResult, ...]:
        """Run one pass over the engines of this data centre."""
        plans = make_plans(self._config, self._view.identity.data_centre)
        self._backoff.retain({plan.endpoint.id for plan in plans})
        states = self._executor.map(self._read, plans)
        for plan, state in zip(plans, states, strict=True):
            plan.state = state
        grant_loads(
            plans, self._limits.max_loads, self._was_load_sent, self._is_backing_off
        )
        results = tuple(self._reconcile_one(plan) for plan in plans)
        self.counts.update(result.outcome for result in results)
        return results

    def _read(self, plan: Plan) -> EngineState | None:
        try:
            return self._control.state(plan.endpoint)
        except EndpointError as error:
            logger.debug(
                "cannot read the engine state of endpoint {}: {}",
                plan.endpoint.id,
                error,
            )
            return None

    def _was_load_sent(self, plan: Plan) -> bool:
        grace = self._limits.load_grace
        return self._backoff.was_sent_within(
            plan.endpoint.id, plan.command.ticket, grace
        )

    def _is_backing_off(self, plan: Plan) -> bool:
        return self._backoff.is_waiting(plan.endpoint.id, plan.command.ticket)

    def _reconcile_one(self, plan: Plan) -> CommandResult:
        outcome = self._outcome_without_command(plan)
        if outcome is None:
            outcome = self._send_until_applied(plan)
        return CommandResult(plan.endpoint.id, plan.command.ticket, outcome)

    def _outcome_without_command(self, plan: Plan) -> CommandOutcome | None:
        """Return the outcome if no command must be sent now, else None."""
        state, command = plan.state, plan.command
        if state is None:
            return CommandOutcome.UNREADABLE
        if state.is_ahead_of(command):
            return CommandOutcome.STALE_TICKET
        if state.matches(command):
            if state.is_loading:
                return CommandOutcome.LOADING
            self._backoff.reset(command.endpoint)
            return CommandOutcome.IN_PLACE
        if self._is_backing_off(plan):
            return CommandOutcome.BACKING_OFF
        if state.needs_load(command) and not (plan.may_load or state.is_loading):
            return CommandOutcome.WAITING_FOR_LOADS
        return None

    def _send_until_applied(self, plan: Plan) -> CommandOutcome:
        """Send the command; resend it while an older command took effect after it."""
        for attempt in range(1 + self._limits.max_corrections):
            failure = self._send(plan)
            if failure is not None:
                return failure
            plan.state = self._read(plan)
            if plan.state is None:
                return CommandOutcome.UNREADABLE
            if plan.state.is_ahead_of(plan.command):
                return CommandOutcome.STALE_TICKET
            if plan.state.matches(plan.command):
                return CommandOutcome.CORRECTED if attempt else CommandOutcome.APPLIED
        return CommandOutcome.OVERTAKEN

    def _send(self, plan: Plan) -> CommandOutcome | None:
        """Send the command once; return the outcome if it failed, else None."""
        endpoint, command = plan.endpoint, plan.command
        try:
            self._recheck(plan)
            self._backoff.record_sent(command.endpoint, command.ticket)
            self._control.apply(endpoint, command, lambda: self._recheck(plan))
        except CommandWithheldError as error:
            return CommandOutcome(error.reason)
        except EndpointRefusedError:
            return CommandOutcome.REFUSED
        except EndpointError as error:
            logger.info(
                "command to the engine of endpoint {} failed: {}", endpoint.id, error
            )
            return CommandOutcome.FAILED
        return None

    def _recheck(self, plan: Plan) -> None:
        # The process may have been suspended since it read the engine's state.
        current = current_plan(self._config, plan.endpoint.id)
        if current is None or current.command != plan.command:
            raise CommandWithheldError(
                "the placement changed before the command was sent",
                CommandOutcome.SUPERSEDED,
            )
        if current.endpoint.is_fenced:
            return
        if self._freshness.age_s() > self._limits.max_age.total_seconds():
            raise CommandWithheldError(
                f"{plan.endpoint.id} has no fencing and the configuration may be stale",
                CommandOutcome.STALE_KNOWLEDGE,
            )
