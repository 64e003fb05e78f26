import socket

import pytest

from oriolepaddle.standins import LoopbackNetwork


class TestLoopbackNetwork:
    def test_processes_have_disjoint_addresses(self):
        first, second = LoopbackNetwork(process=1000), LoopbackNetwork(process=1001)
        assert not {first.add_host() for _ in range(250)} & {
            second.add_host() for _ in range(250)
        }

    @pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
    def test_ports_are_distinct(self, kind):
        host = LoopbackNetwork().add_host()
        ports = LoopbackNetwork.find_ports(host, 200, kind)
        assert len(set(ports)) == 200

    def test_port_can_be_bound(self):
        host = LoopbackNetwork().add_host()
        (port,) = LoopbackNetwork.find_ports(host, 1)
        with socket.create_server((host, port)) as server:
            assert server.getsockname() == (host, port)
