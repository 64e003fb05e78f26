"""Measure the overhead of one instance: `python -m experiments.overhead`."""

from typing import Annotated

import attrs
import typer
from rich.console import Console
from rich.table import Table

from experiments.overhead.client import LoadClient, LoadResult
from experiments.overhead.processes import KEY, run_engines, run_gateway
from oriolepaddle.clock import Clock, SystemClock

__all__ = ["main"]

INSTANCE_RATE_PER_S = 21.0
INSTANCE_STREAMS = 330
TOKEN_INTERVAL_S = 0.069
LOAD_FACTORS = (1.0, 2.5)
ENGINES = 4
FIRST_BYTE_TARGET_MS = 5.0
TOKEN_TARGET_MS = 2.0


@attrs.frozen
class Row:
    """Results at one load factor, with and without the gateway.

    Attributes:
        factor: Multiple of the load of one instance at the target scale.
        direct: Result of a client that calls an engine directly, at the rate of
            one engine.
        gateway: Result of a client that calls the gateway.
        cpu_share: Processor time of the gateway as a fraction of one core.
        memory_bytes: Resident memory of the gateway.
    """

    factor: float
    direct: LoadResult
    gateway: LoadResult
    cpu_share: float
    memory_bytes: int


def main(
    measure_s: Annotated[float, typer.Option(help="Seconds to measure.")] = 20.0,
) -> None:
    """Print the overhead of one instance at its share of the load and above."""
    clock = SystemClock()
    rows = [_measure(clock, factor, measure_s) for factor in LOAD_FACTORS]
    console = Console(width=160)
    console.print(_make_table(rows))
    for row in rows:
        _print_targets(console, row)


def _measure(clock: Clock, factor: float, measure_s: float) -> Row:
    tokens = round(INSTANCE_STREAMS / INSTANCE_RATE_PER_S / TOKEN_INTERVAL_S)
    warm_up_s = INSTANCE_STREAMS / INSTANCE_RATE_PER_S + 1
    rate_per_s = INSTANCE_RATE_PER_S * factor
    with run_engines(ENGINES, TOKEN_INTERVAL_S) as engines:
        direct_client = LoadClient(clock, engines[0], KEY, tokens)
        direct_result = direct_client.run(rate_per_s / ENGINES, warm_up_s, measure_s)
        with run_gateway(engines) as gateway:
            client = LoadClient(clock, gateway.address, gateway.key, tokens)
            before = gateway.read_usage()
            started_s = clock.monotonic_s()
            gateway_result = client.run(rate_per_s, warm_up_s, measure_s)
            after = gateway.read_usage()
            elapsed_s = clock.monotonic_s() - started_s
    cpu_share = (after.cpu_s - before.cpu_s) / elapsed_s
    return Row(factor, direct_result, gateway_result, cpu_share, after.memory_bytes)


def _make_table(rows: list[Row]) -> Table:
    table = Table(title="overhead of one instance")
    columns = ["load", "way", "first byte p50/p95/p99 ms", "token delay p50/p95/p99 ms"]
    columns += ["requests/s", "chunks/s", "open", "refused", "cut", "cores", "MB"]
    for name in columns:
        table.add_column(name)
    for row in rows:
        label = f"{row.factor:g} x node"
        table.add_row(label, "direct", *_make_cells(row.direct), "-", "-")
        cost = (f"{row.cpu_share:.2f}", f"{row.memory_bytes / 1e6:.0f}")
        table.add_row(label, "gateway", *_make_cells(row.gateway), *cost)
        ratio = [
            _format_ratio(row, "first_byte_us"),
            _format_ratio(row, "token_delay_us"),
        ]
        table.add_row(label, "ratio", *ratio, *["-"] * 7)
    return table


def _make_cells(result: LoadResult) -> list[str]:
    return [
        _format_quantiles(result.first_byte_us),
        _format_quantiles(result.token_delay_us),
        f"{result.first_byte_us.get_total_count() / result.measured_s:.1f}",
        f"{result.tokens / result.measured_s:.0f}",
        str(result.peak_open),
        str(result.rejected),
        str(result.truncated),
    ]


def _quantile_ms(histogram: object, percent: float) -> float:
    return histogram.get_value_at_percentile(percent) / 1000


def _format_quantiles(histogram: object) -> str:
    return " / ".join(f"{_quantile_ms(histogram, p):.2f}" for p in (50, 95, 99))


def _format_ratio(row: Row, name: str) -> str:
    gateway, direct = getattr(row.gateway, name), getattr(row.direct, name)
    return " / ".join(
        f"{_quantile_ms(gateway, p) / _quantile_ms(direct, p):.1f}"
        for p in (50, 95, 99)
    )


def _print_targets(console: Console, row: Row) -> None:
    if row.gateway.rejected or row.gateway.truncated:
        console.print(
            f"{row.factor:g} x node: rate not sustained, requests were refused or cut"
        )
    added = {
        "first byte": ("first_byte_us", FIRST_BYTE_TARGET_MS),
        "token": ("token_delay_us", TOKEN_TARGET_MS),
    }
    for label, (name, target_ms) in added.items():
        gateway_ms = _quantile_ms(getattr(row.gateway, name), 95)
        direct_ms = _quantile_ms(getattr(row.direct, name), 95)
        console.print(
            f"{row.factor:g} x node: {gateway_ms - direct_ms:.2f} ms added to "
            f"a {label} at p95 (target {target_ms:g} ms at 1 x node)"
        )


if __name__ == "__main__":
    typer.run(main)
