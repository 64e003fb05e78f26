import socket

import pytest

from oriolepaddle.standins import LoopbackNetwork


class TestLoopbackNetwork:
    def test_processes_have_addresses_of_their_own(self):
        one, other = LoopbackNetwork(process=1000), LoopbackNetwork(process=1001)
        assert not {one.add_host() for _ in range(250)} & {
            other.add_host() for _ in range(250)
        }

    @pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
    def test_ports_found_together_differ(self, kind):
        host = LoopbackNetwork().add_host()
        ports = LoopbackNetwork.find_ports(host, 200, kind)
        assert len(set(ports)) == 200

    def test_ports_are_free(self):
        host = LoopbackNetwork().add_host()
        (port,) = LoopbackNetwork.find_ports(host, 1)
        with socket.create_server((host, port)) as server:
            assert server.getsockname() == (host, port)
