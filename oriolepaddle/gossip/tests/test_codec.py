import random

import pytest
from thrift.protocol.TCompactProtocol import (
    TCompactProtocol,
    TCompactProtocolAccelerated,
)
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.gossip.codec import DIGEST_BYTES, _sign, read_datagram, write_datagram
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    Datagram,
    InstanceRecord,
)

SECRET = b"a secret of the test"
DAMAGED_DATAGRAMS = 20_000
MOST_DAMAGED_BYTES = 4


def make_datagram(members=20):
    records = [
        InstanceRecord(
            instance=f"n{number}",
            incarnation=10**15 + number,
            data_centre="nordur-a",
            caller_address=f"127.0.0.{number + 1}:8080",
            peer_address=f"127.0.0.{number + 1}:8081",
            size_thousandths=537,
            is_ready=True,
            is_leaving=False,
            age_ms=number,
        )
        for number in range(members)
    ]
    return Datagram(
        announcement=Announcement(
            sender=records[0],
            sent_at_us=10**12,
            version=7,
            delegates=False,
            members=records,
            crashes=[],
            counts={"nordur-a": members},
        )
    )


def damage(payload, generator):
    damaged = bytearray(payload)
    for _ in range(generator.randint(1, MOST_DAMAGED_BYTES)):
        damaged[generator.randrange(len(damaged))] = generator.randrange(256)
    if generator.random() < 0.3:
        del damaged[generator.randrange(len(damaged)) :]
    return bytes(damaged)


class TestCodec:
    def test_reads_what_it_writes(self):
        datagram = make_datagram()
        assert read_datagram(write_datagram(datagram, SECRET), SECRET) == datagram

    def test_encoding_equals_the_pure_python_codec(self):
        datagram = make_datagram()
        buffer = TMemoryBuffer()
        datagram.write(TCompactProtocol(buffer))
        assert write_datagram(datagram, SECRET)[DIGEST_BYTES:] == buffer.getvalue()

    def test_codec_is_the_compiled_one(self):
        assert TCompactProtocolAccelerated(TMemoryBuffer())._fast_decode is not None

    def test_another_secret_is_refused(self):
        with pytest.raises(MalformedRequestError):
            read_datagram(write_datagram(make_datagram(), b"another"), SECRET)

    def test_damaged_payloads_raise_only_the_typed_error(self):
        generator = random.Random(20261204)
        payload = write_datagram(make_datagram(3), SECRET)[DIGEST_BYTES:]
        refused = 0
        for _ in range(DAMAGED_DATAGRAMS):
            damaged = damage(payload, generator)
            try:
                read_datagram(_sign(damaged, SECRET) + damaged, SECRET)
            except MalformedRequestError:
                refused += 1
        assert refused
