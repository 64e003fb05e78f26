import socket
import threading

from oriolepaddle.gossip.socket import DatagramSocket
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram, DrawReply
from oriolepaddle.standins import LoopbackNetwork

SECRET = b"a secret of the tests"
HOST = LoopbackNetwork().add_host()


def make_socket(on_datagram=lambda datagram, address: None):
    (port,) = LoopbackNetwork.find_ports(HOST, 1, socket.SOCK_DGRAM)
    address = (HOST, port)
    return DatagramSocket(address, SECRET, on_datagram), address


class TestDatagramSocket:
    def test_delivers_a_datagram(self):
        received = threading.Event()
        numbers = []

        def on_datagram(datagram, address):
            numbers.append(datagram.reply.number)
            received.set()

        target, address = make_socket(on_datagram)
        target.start()
        source, _ = make_socket()
        source.send(Datagram(reply=DrawReply(7, 1, 0, 0)), address)
        assert received.wait(5)
        assert numbers == [7]
        target.close()
        source.close()

    def test_drops_a_datagram_without_the_secret(self):
        received = threading.Event()
        target, address = make_socket(lambda datagram, source: received.set())
        target.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"x" * 40, address)
        assert not received.wait(0.2)
        target.close()

    def test_closes_while_datagrams_arrive(self):
        for _ in range(50):
            target, address = make_socket()
            target.start()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for _ in range(20):
                    stranger.sendto(b"x" * 40, address)
                target.close()
                stranger.sendto(b"x" * 40, address)
            target.close()

    def test_number_too_large_for_its_field_is_not_raised(self):
        source, address = make_socket()
        source.send(Datagram(reply=DrawReply(2**80, 1, 0, 0)), address)
        source.close()
