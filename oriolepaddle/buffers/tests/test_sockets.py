import socket

import pytest

from oriolepaddle.buffers import SocketQueues, make_socket_queues


class TestSocketQueues:
    # Guards against megabytes that the kernel queues for a reader that has stopped.
    def test_writes_to_a_stopped_reader_are_bounded(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            SocketQueues(near_bytes=16_384).limit_listener(listener)
            reader = socket.socket()
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect(listener.getsockname())
            writer, _ = listener.accept()
            writer.setblocking(False)
            sent_bytes = 0
            with reader, writer, pytest.raises(BlockingIOError):
                while True:
                    sent_bytes += writer.send(b"x" * 1024)
        assert sent_bytes < 100_000

    @pytest.mark.parametrize(
        ("memory_mb", "connections", "near_bytes"),
        [(0, 600, 0), (300, 600, 27_777), (160, 600, 16_384), (552, 48, 131_072)],
    )
    def test_follow_the_memory_limit(self, memory_mb, connections, near_bytes):
        queues = make_socket_queues(memory_mb, connections)
        assert queues.near_bytes == near_bytes
        assert queues.far_bytes in (0, 262_144)
