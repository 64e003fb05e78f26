import json

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.addresses import split_address
from oriolepaddle.catalog import EndpointState, check_endpoint
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.platform.registration import decode_endpoint

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "nordur-a",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1788000000000,
}


def decode(**changes):
    return decode_endpoint("i-1", json.dumps(ENTRY | changes).encode(), 100.0)


class TestEndpointEntry:
    def test_fields_are_decoded(self):
        endpoint = decode()
        assert endpoint.incarnation == "i-1@1788000000000"
        assert (endpoint.slots, endpoint.data_centre) == (48, "nordur-a")
        assert endpoint.state is EndpointState.READY

    def test_draining_endpoint_is_leaving(self):
        assert decode(state="draining").state is EndpointState.LEAVING

    def test_cold_time_counts_from_the_reading(self):
        assert decode(coldLeftMs=2500).cold_until_s == 102.5

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "asleep"},
            {"state": None},
            {"address": "10.0.0.1"},
            {"address": 5},
            {"slots": "many"},
            {"slots": None},
            {"service": ""},
            {"service": 3},
            {"zone": None},
            {"born": "x"},
            {"coldLeftMs": True},
            {"coldLeftMs": 1e300},
            {"coldLeftMs": 1e12},
            {"slots": 1e300},
            {"slots": 2**60},
            {"slots": 10**18},
            {"born": -1},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:\u0668\u0660"},
            {"address": "engine.example:80"},
            {"service": "\ud800"},
            {"zone": "z" * 201},
            {"version": "\ud800"},
            {"version": ["v"] * 100},
        ],
    )
    def test_invalid_field_is_a_typed_error(self, changes):
        with pytest.raises(PlatformUnavailableError):
            decode(**changes)

    def test_cold_one_is_accepted_by_a_machine_that_is_up_for_years(self):
        entry = json.dumps(ENTRY | {"coldLeftMs": 2500}).encode()
        up_s = 5 * 365 * 86_400.0
        assert decode_endpoint("i-1", entry, up_s).cold_until_s == up_s + 2.5

    @pytest.mark.parametrize("number", ["1e999", "-1e999", "9" * 4200, "NaN"])
    @pytest.mark.parametrize("field", ["slots", "born", "coldLeftMs", "seq"])
    def test_number_too_large_is_a_typed_error(self, field, number):
        entry = json.dumps(ENTRY | {field: "NUMBER"}).replace('"NUMBER"', number)
        with pytest.raises(PlatformUnavailableError):
            decode_endpoint("i-1", entry.encode(), 100.0)

    @pytest.mark.parametrize("text", ["[" * 100_000, '{"a":' * 100_000])
    def test_deep_nesting_is_a_typed_error(self, text):
        with pytest.raises(PlatformUnavailableError):
            decode_endpoint("i-1", text.encode(), 100.0)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
    def test_random_bytes_are_a_typed_error(self, text):
        with pytest.raises(PlatformUnavailableError):
            decode_endpoint("i-1", text, 0.0)


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "10.0.0.1:70000"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


class TestAnyEntry:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), VALUES))
    def test_is_a_valid_endpoint_or_a_typed_error(self, changes):
        text = json.dumps(ENTRY | changes).encode()
        try:
            endpoint = decode_endpoint("i-1", text, 100.0)
        except PlatformUnavailableError:
            return
        check_endpoint(endpoint, 100.0)
        endpoint.service.encode()
        assert 0 < split_address(endpoint.address)[1] < 2**16
