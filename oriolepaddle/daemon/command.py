"""The command line of `oriolepaddled`."""

import os
import signal
import sys
import threading
from collections.abc import Callable

import typer
from loguru import logger

from oriolepaddle.buffers import limit_heap
from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.logs import set_up_event_logs, set_up_logs
from oriolepaddle.errors import SettingsError
from oriolepaddle.process_signals import catch_signals
from oriolepaddle.settings import EdgeSettings, Settings, add_options, check_settings

__all__ = ["EXIT_SETTINGS", "app"]

EXIT_SETTINGS = 2
EXIT_FORCED = 3
app = typer.Typer(add_completion=False, no_args_is_help=True)


def serve(settings: Settings) -> None:
    """Serve until a signal asks to stop."""
    # Imported here so that each command loads only the modules that it needs.
    from oriolepaddle.daemon.instance import GatewayInstance

    _check(settings)
    set_up_logs(settings.log_level, settings.log_format)
    if settings.memory_mb:
        limit_heap()
    instance = GatewayInstance(settings, SystemClock())
    stopping = instance.drain_requested
    _handle_signals(lambda: _request_stop(stopping), _log_reload)
    instance.start()
    stopping.wait()
    logger.info("draining")
    instance.stop()


def serve_edge(settings: EdgeSettings) -> None:
    """Serve from one published document until a signal asks to stop."""
    from oriolepaddle.daemon.edge_instance import EdgeInstance

    _check(settings)
    clock = SystemClock()
    writer = set_up_event_logs(settings.log_level, clock, settings.max_log_lines_per_s)
    if settings.memory_mb:
        limit_heap()
    instance = EdgeInstance(settings, clock)
    instance.metrics.add_gauge(
        "log_lines_dropped", "Log lines that were too many.", lambda: writer.dropped
    )
    stopping = instance.drain_requested
    _handle_signals(stopping.set, instance.reload)
    instance.start()
    stopping.wait()
    instance.stop()
    writer.close()
    # Exits without joining threads that wait for the platform or for idle callers.
    os._exit(0)


def _handle_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    def _handle(number: signal.Signals) -> None:
        if number == signal.SIGHUP:
            reload()
        else:
            stop()

    catch_signals().deliver(_handle)


def _log_reload() -> None:
    # The settings come from the process's environment, which doesn't change.
    logger.info("reload requested: nothing to reload")


def _request_stop(stopping: threading.Event) -> None:
    if stopping.is_set():
        # A second signal does not wait for requests in flight.
        os._exit(EXIT_FORCED)
    stopping.set()


def check(settings: Settings | EdgeSettings) -> None:
    """Check the settings without serving."""
    _check(settings)
    typer.echo("settings are valid")


def _check(settings: Settings | EdgeSettings) -> None:
    try:
        check_settings(settings)
    except SettingsError as error:
        typer.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS)


app.command("serve")(add_options(serve))
app.command("serve-edge")(add_options(serve_edge, EdgeSettings))
app.command("check")(add_options(check))
app.command("check-edge")(add_options(check, EdgeSettings))
