import pytest

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gateway.forwarding import ForwardedRequest, ForwardingSigner
from oriolepaddle.gateway.tests.conftest import SECRET, make_request

PATH = "/v1/chat/completions"
BODY = b'{"model": "m"}'
FORWARDED = ForwardedRequest(hops=("s1",), key_digest="d" * 64, deadline_left_s=1.5)


def sign(secret=SECRET, forwarded=FORWARDED):
    signer = ForwardingSigner(secret, "s1")
    return dict(signer.sign(forwarded, "request-1", PATH, BODY))


def check(headers, body=BODY, path=PATH):
    signer = ForwardingSigner(SECRET, "n1")
    return signer.check(make_request(path=path, data=body, headers=headers), body)


class TestForwardingSigner:
    def test_signed_request_is_accepted(self):
        assert check(sign()) == FORWARDED

    def test_request_without_signed_headers_is_from_a_caller(self):
        assert check({}) is None

    @pytest.mark.parametrize(
        ("headers", "body", "path"),
        [
            (sign(b"another secret"), BODY, PATH),
            (sign(), b"another body", PATH),
            (sign(), BODY, "/v1/completions"),
            (sign() | {"X-Oriolepaddle-Hops": "a1"}, BODY, PATH),
            (sign() | {"X-Oriolepaddle-Key-Digest": "e" * 64}, BODY, PATH),
            ({"X-Oriolepaddle-Hops": "a1"}, BODY, PATH),
        ],
    )
    def test_invalid_signature_is_refused(self, headers, body, path):
        with pytest.raises(RefusedError) as caught:
            check(headers, body, path)
        assert caught.value.code is ErrorCode.PEER_REJECTED

    @pytest.mark.parametrize("hops", [("n1",), ("s1", "a1")])
    def test_loop_and_second_hop_are_refused(self, hops):
        forwarded = ForwardedRequest(hops, "d" * 64, 1.0)
        with pytest.raises(RefusedError) as caught:
            check(sign(forwarded=forwarded))
        assert caught.value.code is ErrorCode.HOP_LIMIT
