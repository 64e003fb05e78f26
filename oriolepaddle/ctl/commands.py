"""Commands of `oriolectl`."""

import contextlib
import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer
from rich.live import Live

from oriolepaddle.config import parse_ticket
from oriolepaddle.ctl.client import OperatorClient
from oriolepaddle.ctl.exit_code import ExitCode
from oriolepaddle.ctl.failure import CallFailedError
from oriolepaddle.ctl.output import make_table, print_document, print_rows
from oriolepaddle.errors import PeerUnavailableError, TicketError

__all__ = ["app"]

WATCH_INTERVAL_S = 1.0

app = typer.Typer(no_args_is_help=True, help="Inspect and operate a gateway instance.")
ticket_app = typer.Typer(
    no_args_is_help=True, help="Validate tickets and show objects."
)
route_app = typer.Typer(no_args_is_help=True, help="Inspect routing.")
quarantine_app = typer.Typer(
    no_args_is_help=True, help="Inspect and clear the quarantine."
)
app.add_typer(ticket_app, name="ticket")
app.add_typer(route_app, name="route")
app.add_typer(quarantine_app, name="quarantine")

Address = Annotated[
    str,
    typer.Option(
        envvar="ORIOLECTL_ADDRESS",
        help="host:port of the administration API, with https:// for TLS.",
    ),
]
Token = Annotated[
    str, typer.Option(envvar="ORIOLECTL_TOKEN", help="The operator's token.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
DEFAULT_ADDRESS = "127.0.0.1:8082"


@ticket_app.command("check")
def check_ticket(file: Path, as_json: Json = False) -> None:
    """Validate a ticket as each instance does, without publishing it."""
    with _exit_on_errors():
        try:
            ticket = parse_ticket(file.read_bytes())
        except OSError as error:
            raise CallFailedError(f"{file}: {error.strerror}") from error
        document = {"number": ticket.number, "objects": len(ticket.entries)}
        print_document(document | {"valid": True}, as_json)


@ticket_app.command("show")
def show_object(
    kind: str,
    object_id: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show a configuration object and the ticket that wrote it."""
    _show(address, token, f"/v1/objects/{kind}/{object_id}", as_json)


@app.command()
def status(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """Show the state of the instance."""
    _show(address, token, "/v1/status", as_json)


@app.command()
def instances(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """List the instances that the instance knows."""
    _show_list(address, token, "/v1/instances", "instances", as_json)


@app.command()
def endpoints(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """List the endpoints of the instance's data centre."""
    _show_list(address, token, "/v1/endpoints", "endpoints", as_json)


@app.command()
def limits(
    organisation: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show the limit of an organisation at the instance."""
    _show(address, token, f"/v1/limits/{organisation}", as_json)


@route_app.command("explain")
def explain_route(
    route: str,
    organisation: str | None = None,
    prompt: str = "",
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show the endpoint that a request would be sent to, and the scores."""
    query = {"route": route, "organisation": organisation, "prompt": prompt}
    with _exit_on_errors():
        body = json.dumps(query).encode()
        document = OperatorClient(address, token).call(
            "POST", "/v1/route/explain", body
        )
        scores = document["scores"]
        if as_json:
            print_document(document, as_json)
            return
        print_document({k: v for k, v in document.items() if k != "scores"}, as_json)
        print_rows(scores, as_json)


@app.command()
def order(
    number: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show which instance issued an order number."""
    _show(address, token, f"/v1/orders/{number}", as_json)


@app.command()
def drain(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """Start a graceful shutdown of the instance."""
    with _exit_on_errors():
        document = OperatorClient(address, token).call("POST", "/v1/drain", b"")
        print_document(document, as_json)


@app.command("allow-cold-start")
def allow_cold_start(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """Allow a cold start of the limits.

    Use it only if no unlisted instance of the data centre is running.
    """
    with _exit_on_errors():
        client = OperatorClient(address, token)
        document = client.call("POST", "/v1/limits/allow-cold-start", b"")
        print_document(document, as_json)


@quarantine_app.command("list")
def list_quarantine(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """List the requests that are suspected or quarantined."""
    _show_list(address, token, "/v1/quarantine", "entries", as_json)


@quarantine_app.command("clear")
def clear_quarantine(
    fingerprint: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Clear one request from the quarantine of the fleet."""
    with _exit_on_errors():
        path = f"/v1/quarantine/{fingerprint}"
        document = OperatorClient(address, token).call("DELETE", path)
        print_document(document, as_json)
        if not document["cleared"]:
            raise typer.Exit(ExitCode.NOT_FOUND)


@app.command()
def metrics(address: Address = DEFAULT_ADDRESS, token: Token = "") -> None:
    """Print the metrics in the Prometheus text format."""
    with _exit_on_errors():
        data = OperatorClient(address, token).fetch("/metrics")
        typer.echo(data.decode(), nl=False)


@app.command()
def watch(
    addresses: Annotated[
        list[str],
        typer.Argument(help="host:port of each instance, with https:// for TLS."),
    ],
    token: Token = "",
    count: Annotated[int, typer.Option(help="Number of readings; 0 for no limit.")] = 0,
) -> None:
    """Show the state of several instances in a live table."""
    clients = {address: OperatorClient(address, token) for address in addresses}
    with Live(auto_refresh=False) as live:
        readings = 0
        while count == 0 or readings < count:
            readings += 1
            rows = [_fetch_row(address, client) for address, client in clients.items()]
            live.update(make_table(rows, title="instances"), refresh=True)
            if readings != count:
                time.sleep(WATCH_INTERVAL_S)


@app.command()
def demo() -> None:
    """Run a demo with six instances and simulated services on loopback."""
    # Imported here since no other command needs these packages.
    from oriolepaddle.demo import run_demo

    run_demo()


def _fetch_row(address: str, client: OperatorClient) -> dict[str, object]:
    columns = (
        "instance",
        "data_centre",
        "is_ready",
        "is_draining",
        "highest_ticket",
        "peers_reachable",
        "requests_in_flight",
    )
    try:
        document = client.call("GET", "/v1/status")
    except (PeerUnavailableError, CallFailedError) as error:
        return (
            {"address": address} | dict.fromkeys(columns) | {"instance": error.message}
        )
    return {"address": address} | {name: document[name] for name in columns}


def _show(address: str, token: str, path: str, as_json: bool) -> None:
    with _exit_on_errors():
        print_document(OperatorClient(address, token).call("GET", path), as_json)


def _show_list(address: str, token: str, path: str, name: str, as_json: bool) -> None:
    with _exit_on_errors():
        print_rows(OperatorClient(address, token).call("GET", path)[name], as_json)


@contextlib.contextmanager
def _exit_on_errors() -> Iterator[None]:
    try:
        yield
    except TicketError as error:
        _exit_with(error.message, ExitCode.INVALID_TICKET)
    except PeerUnavailableError as error:
        _exit_with(error.message, ExitCode.UNREACHABLE)
    except CallFailedError as error:
        _exit_with(error.message, ExitCode.FAILED)


def _exit_with(message: str, code: ExitCode) -> None:
    typer.echo(message, err=True)
    raise typer.Exit(code)
