import json

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.catalog import EndpointState
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
        ],
    )
    def test_invalid_field_is_a_typed_error(self, changes):
        with pytest.raises(PlatformUnavailableError):
            decode(**changes)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
    def test_random_bytes_are_a_typed_error(self, text):
        with pytest.raises(PlatformUnavailableError):
            decode_endpoint("i-1", text, 0.0)
