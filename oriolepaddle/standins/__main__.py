"""Command line that runs a stand-in as a process."""

import threading
from typing import Annotated

import typer

from oriolepaddle.process_signals import catch_signals
from oriolepaddle.standins.engine import EngineStandin
from oriolepaddle.standins.service import ServiceStandin

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Run a stand-in on loopback.")
Port = Annotated[int, typer.Option(help="Port, or 0 for any free one.")]


@app.command()
def engine(
    name: str,
    port: Port = 0,
    token_interval_ms: Annotated[float, typer.Option(help="Between tokens.")] = 0.0,
    prefill_ms: Annotated[float, typer.Option(help="Before the first token.")] = 0.0,
) -> None:
    """Run a model engine."""
    _serve(
        EngineStandin(
            name,
            port,
            token_interval_s=token_interval_ms / 1000,
            prefill_s=prefill_ms / 1000,
        )
    )


@app.command()
def service(name: str, port: Port = 0) -> None:
    """Run a plain service."""
    _serve(ServiceStandin(name, port))


def _serve(standin: EngineStandin | ServiceStandin) -> None:
    stopping = threading.Event()
    catch_signals().deliver(lambda number: stopping.set())
    standin.start()
    print(f"listening on {standin.address}", flush=True)
    stopping.wait()
    standin.close()


if __name__ == "__main__":
    app()
