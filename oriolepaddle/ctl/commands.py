"""The commands that speak to a running instance."""

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

app = typer.Typer(no_args_is_help=True, help="Watch and operate an entry instance.")
ticket_app = typer.Typer(no_args_is_help=True, help="Check and show tickets.")
route_app = typer.Typer(no_args_is_help=True, help="Look at routing.")
quarantine_app = typer.Typer(no_args_is_help=True, help="Look at the quarantine.")
app.add_typer(ticket_app, name="ticket")
app.add_typer(route_app, name="route")
app.add_typer(quarantine_app, name="quarantine")

Address = Annotated[
    str,
    typer.Option(envvar="ORIOLECTL_ADDRESS", help="IP:port of the operators' API."),
]
Token = Annotated[
    str, typer.Option(envvar="ORIOLECTL_TOKEN", help="The operator's token.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
DEFAULT_ADDRESS = "127.0.0.1:8082"


@ticket_app.command("check")
def check_ticket(file: Path, as_json: Json = False) -> None:
    """Check a ticket as every instance would, without sending it anywhere."""
    with _report_failures():
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
    """Show an object and the ticket that wrote it."""
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
    """List the instances that it knows of."""
    _show_list(address, token, "/v1/instances", "instances", as_json)


@app.command()
def endpoints(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """List the endpoints of its data centre."""
    _show_list(address, token, "/v1/endpoints", "endpoints", as_json)


@app.command()
def limits(
    organisation: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show an organisation's limit at the instance."""
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
    """Show where a request would go and why, with the scores."""
    document = {"route": route, "organisation": organisation, "prompt": prompt}
    with _report_failures():
        body = json.dumps(document).encode()
        found = OperatorClient(address, token).call("POST", "/v1/route/explain", body)
        scores = found["scores"]
        if as_json:
            print_document(found, as_json)
            return
        print_document({k: v for k, v in found.items() if k != "scores"}, as_json)
        print_rows(scores, as_json)


@app.command()
def order(
    number: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Show what is known of an order."""
    _show(address, token, f"/v1/orders/{number}", as_json)


@app.command()
def drain(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """Begin a graceful shutdown of the instance."""
    with _report_failures():
        found = OperatorClient(address, token).call("POST", "/v1/drain", b"")
        print_document(found, as_json)


@app.command("allow-cold-start")
def allow_cold_start(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """Say that no unlisted instance of the data centre is running."""
    with _report_failures():
        client = OperatorClient(address, token)
        found = client.call("POST", "/v1/limits/allow-cold-start", b"")
        print_document(found, as_json)


@quarantine_app.command("list")
def list_quarantine(
    address: Address = DEFAULT_ADDRESS, token: Token = "", as_json: Json = False
) -> None:
    """List the requests that are suspected of crashing endpoints."""
    _show_list(address, token, "/v1/quarantine", "entries", as_json)


@quarantine_app.command("clear")
def clear_quarantine(
    fingerprint: str,
    address: Address = DEFAULT_ADDRESS,
    token: Token = "",
    as_json: Json = False,
) -> None:
    """Clear one request from the quarantine of the fleet."""
    with _report_failures():
        path = f"/v1/quarantine/{fingerprint}"
        found = OperatorClient(address, token).call("DELETE", path)
        print_document(found, as_json)
        if not found["cleared"]:
            raise typer.Exit(ExitCode.NOT_FOUND)


@app.command()
def metrics(address: Address = DEFAULT_ADDRESS, token: Token = "") -> None:
    """Print the metrics in the text form of Prometheus."""
    with _report_failures():
        data = OperatorClient(address, token).fetch("/metrics")
        typer.echo(data.decode(), nl=False)


@app.command()
def watch(
    addresses: Annotated[list[str], typer.Argument(help="IP:port of each instance.")],
    token: Token = "",
    count: Annotated[int, typer.Option(help="Readings; 0 for no end.")] = 0,
) -> None:
    """Show the state of several instances in a live table."""
    clients = {address: OperatorClient(address, token) for address in addresses}
    with Live(auto_refresh=False) as live:
        reading = 0
        while count == 0 or reading < count:
            reading += 1
            rows = [_read_row(address, client) for address, client in clients.items()]
            live.update(make_table(rows, title="instances"), refresh=True)
            if reading != count:
                time.sleep(WATCH_INTERVAL_S)


@app.command()
def demo() -> None:
    """Run stand-ins and six instances on loopback and show what happens."""
    # Most commands need none of what the demo runs.
    from oriolepaddle.demo import run_demo

    run_demo()


def _read_row(address: str, client: OperatorClient) -> dict[str, object]:
    names = (
        "instance",
        "data_centre",
        "is_ready",
        "is_draining",
        "highest_ticket",
        "peers_reachable",
        "requests_in_flight",
    )
    try:
        found = client.call("GET", "/v1/status")
    except (PeerUnavailableError, CallFailedError) as error:
        return {"address": address} | dict.fromkeys(names) | {"instance": error.message}
    return {"address": address} | {name: found[name] for name in names}


def _show(address: str, token: str, path: str, is_json: bool) -> None:
    with _report_failures():
        print_document(OperatorClient(address, token).call("GET", path), is_json)


def _show_list(address: str, token: str, path: str, name: str, is_json: bool) -> None:
    with _report_failures():
        print_rows(OperatorClient(address, token).call("GET", path)[name], is_json)


@contextlib.contextmanager
def _report_failures() -> Iterator[None]:
    try:
        yield
    except TicketError as error:
        _end(error.message, ExitCode.INVALID_TICKET)
    except PeerUnavailableError as error:
        _end(error.message, ExitCode.UNREACHABLE)
    except CallFailedError as error:
        _end(error.message, ExitCode.FAILED)


def _end(message: str, code: ExitCode) -> None:
    typer.echo(message, err=True)
    raise typer.Exit(code)
