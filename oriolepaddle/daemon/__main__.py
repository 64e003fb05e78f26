"""The daemon `oriolepaddled`."""

import signal
import sys
import threading

import typer
from loguru import logger

from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.instance import GatewayInstance
from oriolepaddle.daemon.logs import set_up_logs
from oriolepaddle.errors import SettingsError
from oriolepaddle.settings import Settings, add_options, check_settings

__all__ = ["app", "main"]

EXIT_SETTINGS = 2
app = typer.Typer(add_completion=False, no_args_is_help=True)


def serve(settings: Settings) -> None:
    """Serve until a signal asks to stop."""
    _check(settings)
    set_up_logs(settings.log_level, settings.log_format)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    instance = GatewayInstance(settings, SystemClock())
    instance.start()
    stopping.wait()
    logger.info("draining")
    instance.stop()


def check(settings: Settings) -> None:
    """Check the settings without serving."""
    _check(settings)
    typer.echo("settings are valid")


def main() -> None:
    """Run the command line."""
    app()


def _check(settings: Settings) -> None:
    try:
        check_settings(settings)
    except SettingsError as error:
        typer.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS)


app.command("serve")(add_options(serve))
app.command("check")(add_options(check))

if __name__ == "__main__":
    main()
