"""Every key of a deployment is withdrawn, and requests go on."""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BOUNDS,
    Deployment,
    Runner,
    is_troubled,
    make_config,
    make_route,
    read_answer,
    run_case,
    write_request,
)

KEYS = {"huka270": "i9n73hh2b9wu3fexd9dn", "lemo114": "p2c81kd0v5xq7mzt4rja"}
NEVER_ISSUED = "zzzz0000never0issued"
REVOKE_S = BOUNDS["revokeMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000
ROUNDS = 20


def make_version(version: int, holders: set[str]) -> dict:
    """Return a configuration in which only some tenants hold a key."""
    tenants = [
        {"name": name, "apiKeys": [key] if name in holders else []}
        for name, key in KEYS.items()
    ]
    routes = [make_route("order", "unsafe", "cabina")]
    services = [{"name": "cabina", "healthPath": "/health", "maxConns": 100}]
    return make_config(version, routes, services, tenants)


def play(deployment: Deployment) -> bool:
    """Play the case; return whether the rules held."""
    record = deployment.record
    zones = {"lombardia-lodi": "lombardia"}
    runner = deployment.add_runner(Runner("i-1", "cabina", "lombardia-lodi"))
    deployment.store.put("op/config", make_version(3, set(KEYS)))
    deployment.add_gateways(
        {"front-1": "lombardia-lodi", "front-2": "lombardia-lodi"}, zones
    )
    deployment.await_ready()
    sent: dict[str, tuple[float, str, str]] = {}

    def send(label: str, key: str | None) -> None:
        for gateway in deployment.gateways:
            request_id = f"{len(sent) + 1:016x}"
            with socket.create_connection(gateway.address, 4.0) as channel:
                sent_s = time.monotonic()
                sent[request_id] = (sent_s, label, gateway.name)
                record.write(f"sent {request_id} to {gateway.name} with {label}")
                channel.sendall(write_request("POST", "/order/1", request_id, key))
                status, _ = read_answer(channel.makefile("rb"))
                record.write(f"answered {request_id} {status}")

    def send_all() -> None:
        for name, key in KEYS.items():
            send(f"the key of {name}", key)
        send("a key that was never issued", NEVER_ISSUED)
        send("no key", None)

    for _ in range(3):
        send_all()
    holders = set(KEYS)
    versions = [7, 12]
    for version, name in zip(versions, KEYS, strict=True):
        if is_troubled():
            holders.discard(name)
        taken_s = deployment.store.put("op/config", make_version(version, holders))
        record.write(f"acknowledged version {version}, keys held by {sorted(holders)}")
        time.sleep(0.4)
    time.sleep(max(REVOKE_S, APPLY_S) + 0.5)
    for _ in range(ROUNDS):
        send_all()
        time.sleep(0.25)
    for _, request_id, path, headers, _ in runner.started:
        tenant = headers.get("x-oriolepaddle-tenant")
        record.write(f"ran {request_id} {path} for tenant {tenant}")
    ran = [request_id for _, request_id, *_ in runner.started]
    withdrawn = [
        item
        for item in ran
        if is_troubled()
        and sent[item][1].startswith("the key")
        and sent[item][0] > taken_s + REVOKE_S
    ]
    unknown = [item for item in ran if not sent[item][1].startswith("the key")]
    first = [item for item in ran if sent[item][0] <= taken_s]
    record.say(f"{len(sent)} sent, {len(ran)} run, {len(first)} before the last change")
    record.say(f"CONFIG: {len(withdrawn)} run with a withdrawn key after revokeMs")
    record.say(
        f"ROUTE: {len(unknown)} run with a key that no configuration held, or none"
    )
    return not withdrawn and not unknown


run_case(Path(__file__).resolve().parent, play)
