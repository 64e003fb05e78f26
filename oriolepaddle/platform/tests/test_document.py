import json
from datetime import timedelta

import pytest

from oriolepaddle.catalog import CallerLimits, RepeatRule
from oriolepaddle.config import digest_key
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.platform.document import decode_document

ROUTE = {
    "name": "r1",
    "host": "Desk.Example",
    "pathPrefix": "/chat/",
    "kind": "stream",
    "timeoutMs": 15000,
    "sloMs": 600,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 2,
    "public": False,
    "resumable": True,
    "gapTargetMs": 200,
    "homeRegions": ["nordur"],
}
TENANT = {
    "name": "huka270",
    "apiKeys": ["first", "second"],
    "priority": 1,
    "unit": "token_count",
    "plainTokens": 200,
    "ratePerS": 1000,
    "burst": 2000,
    "homeRegions": ["sudur"],
}
NO_KEYS = {name: value for name, value in TENANT.items() if name != "apiKeys"}


def decode(**fields):
    return decode_document(json.dumps({"version": 7} | fields).encode())


class TestRoutes:
    def test_fields_are_decoded(self):
        route = decode(routes=[ROUTE]).find_route("desk.example", "/chat/1")
        assert route.timeout == timedelta(seconds=15)
        assert route.target == timedelta(seconds=0.6)
        assert route.longest_gap == timedelta(seconds=0.2)
        assert (route.max_attempts, route.residency) == (2, ("nordur",))

    @pytest.mark.parametrize(
        ("kind", "is_resumable", "expected"),
        [
            ("safe", False, RepeatRule.IDEMPOTENT),
            ("unsafe", False, RepeatRule.ONCE),
            ("stream", False, RepeatRule.ONCE),
            ("stream", True, RepeatRule.RESUMABLE),
        ],
    )
    def test_kind_determines_the_repeat_rule(self, kind, is_resumable, expected):
        routes = [ROUTE | {"kind": kind, "resumable": is_resumable}]
        route = decode(routes=routes).find_route("desk.example", "/chat/1")
        assert route.repeat_rule is expected

    def test_longest_prefix_of_the_host_wins(self):
        routes = [
            ROUTE | {"name": "short", "pathPrefix": "/"},
            ROUTE | {"name": "long", "pathPrefix": "/chat/old/"},
            ROUTE | {"name": "middle"},
            ROUTE | {"name": "foreign", "host": "b", "pathPrefix": "/chat/old/x/"},
        ]
        document = decode(routes=routes)
        route = document.find_route("desk.example", "/chat/old/x/1")
        assert route.name == "long"
        assert document.find_route("nobody", "/chat/") is None

    def test_requests_are_split_by_the_weights(self):
        parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        routes = [ROUTE | {"split": parts}]
        route = decode(routes=routes).find_route("desk.example", "/chat/1")
        picked = [route.pick_service(f"request-{n}") for n in range(2000)]
        assert 0.06 < picked.count("b") / len(picked) < 0.14


class TestOrganisations:
    def test_each_key_finds_its_organisation(self):
        document = decode(tenants=[TENANT])
        for key in TENANT["apiKeys"]:
            rated = document.keys[digest_key(key)]
            assert rated.id == "huka270"
            assert rated.is_token_rated
            assert rated.plain_tokens == 200
            assert rated.organisation.rate_tokens_per_s == 1000
            assert rated.organisation.residency == ("sudur",)

    def test_without_organisations_no_key_is_needed(self):
        assert not decode(routes=[ROUTE]).needs_keys

    @pytest.mark.parametrize(
        "tenants",
        [[], None, [TENANT | {"apiKeys": []}], [TENANT | {"apiKeys": None}], [NO_KEYS]],
    )
    def test_organisations_without_keys_leave_routes_closed(self, tenants):
        document = decode(routes=[ROUTE], tenants=tenants)
        assert document.needs_keys
        assert not document.keys

    def test_organisation_without_keys_keeps_its_rate(self):
        document = decode(tenants=[TENANT | {"apiKeys": []}])
        rated = document.find_organisation("huka270")
        assert rated.organisation.rate_tokens_per_s == 1000


class TestFieldsThatDecideAboutKeys:
    # A text or a number in their place must neither make keys nor open a route.
    @pytest.mark.parametrize(
        "fields",
        [
            {"tenants": [TENANT | {"apiKeys": "second"}]},
            {"tenants": [TENANT | {"apiKeys": {"second": 1}}]},
            {"tenants": [TENANT | {"apiKeys": [["second"]]}]},
            {"tenants": {"huka270": TENANT}},
            {"tenants": "huka270"},
            {"tenants": 0},
            {"routes": [ROUTE | {"public": "false"}]},
            {"routes": [ROUTE | {"public": 1}]},
            {"routes": [ROUTE | {"resumable": "false"}]},
        ],
    )
    def test_of_another_type_make_the_document_invalid(self, fields):
        with pytest.raises(PlatformUnavailableError):
            decode(**fields)

    def test_absent_ones_leave_the_route_closed(self):
        item = {name: value for name, value in ROUTE.items() if name != "public"}
        route = decode(routes=[item]).find_route("desk.example", "/chat/1")
        assert not route.open


class TestLimits:
    @pytest.mark.parametrize("value", [-1, 0.5])
    @pytest.mark.parametrize(
        "name", ["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"]
    )
    def test_too_small_ones_make_the_document_invalid(self, name, value):
        with pytest.raises(PlatformUnavailableError):
            decode(limits={name: value})

    def test_absent_ones_have_defaults(self):
        assert decode(limits={"maxBodyBytes": 0}).limits == CallerLimits()


class TestInvalidDocument:
    @pytest.mark.parametrize(
        "text",
        [b"", b"[]", b"{", b'{"version": "x"}', b'{"version": 1, "routes": [1]}'],
    )
    def test_is_a_typed_error(self, text):
        with pytest.raises(PlatformUnavailableError):
            decode_document(text)
