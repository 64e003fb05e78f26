"""HTTP header names that more than one module of the adapter uses."""

REQUEST_ID = "X-Oriolepaddle-Request-Id"
DEADLINE_MS = "X-Oriolepaddle-Deadline-Ms"
EXPECT_INSTANCE = "X-Oriolepaddle-Expect-Instance"
TENANT = "X-Oriolepaddle-Tenant"
LAST_EVENT_ID = "Last-Event-Id"
TOKEN_COUNT = "X-Oriolepaddle-Token-Count"
PROMPT_PREFIX = "X-Oriolepaddle-Prompt-Prefix"
URGENCY = "X-Oriolepaddle-Urgency"
SEAL = "X-Oriolepaddle-Server-Seal"
NOT_RUN = "X-Oriolepaddle-Not-Run"
LOAD = "X-Oriolepaddle-Server-Load"
PREFIX_SOURCE = "Kv-Fetch"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
INSTANCE = "X-Oriolepaddle-Instance"
OUTCOME = "X-Request-Outcome"

SIGNALS = frozenset((LIMIT.lower(), LEAVING.lower(), RETRY_AFTER.lower()))
"""Header fields in which an endpoint tells of itself."""
RESERVED = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        URGENCY,
        "X-Oriolepaddle-Expect-Version",
        "X-Oriolepaddle-Hold",
        "X-Oriolepaddle-Pin-Ms",
        "X-Oriolepaddle-Kv-Backup",
        "Kv-From",
        PREFIX_SOURCE,
    )
)
"""Header fields to endpoints that only the gateway may set."""
CONNECTION_FIELDS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Hop-by-hop header fields, which are not forwarded."""
