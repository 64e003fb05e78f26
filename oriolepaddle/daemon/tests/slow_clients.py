"""Crowds of slow clients, and what they cost a process."""

import contextlib
import os
import socket
import threading

from oriolepaddle.daemon.tests.edge_fleet import HOST, KEY

SAMPLE_INTERVAL_S = 0.05
QUEUES_FIELD, INODE_FIELD = 4, 9
SMALL_RECEIVE_BUFFER = 4096
SOCKET_TIMEOUT_S = 6
HEAD_FIELDS = (
    f"Host: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    "X-Oriolepaddle-Deadline-Ms: 4000\r\n"
)


def make_head(method, path, *fields):
    lines = "".join(f"{field}\r\n" for field in fields)
    return f"{method} {path} HTTP/1.1\r\n{HEAD_FIELDS}{lines}\r\n".encode()


class ProcessMeter:
    """Samples the memory and the descriptors of a process.

    The memory is the resident set and what the queues of its sockets hold, as the
    machine's limit counts both.

    Attributes:
        peak_bytes: The highest memory so far.
        peak_descriptors: The highest number of open descriptors so far.
    """

    def __init__(self, process_id):
        self._process_id = process_id
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                self._sample()

    def _sample(self):
        names = self._read_descriptors()
        inodes = {name[8:-1] for name in names if name.startswith("socket:[")}
        with open(f"/proc/{self._process_id}/statm") as file:
            resident_bytes = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        memory_bytes = resident_bytes + _read_queued_bytes(inodes)
        self.peak_bytes = max(self.peak_bytes, memory_bytes)
        self.peak_descriptors = max(self.peak_descriptors, len(names))

    def _read_descriptors(self):
        folder = f"/proc/{self._process_id}/fd"
        names = []
        for number in os.listdir(folder):
            with contextlib.suppress(FileNotFoundError):
                names.append(os.readlink(f"{folder}/{number}"))
        return names


def _read_queued_bytes(inodes):
    count = 0
    with open("/proc/net/tcp") as file:
        for line in file.readlines()[1:]:
            fields = line.split()
            if fields[INODE_FIELD] in inodes:
                sent, received = fields[QUEUES_FIELD].split(":")
                count += int(sent, 16) + int(received, 16)
    return count


class Crowd:
    """Clients that each send the same bytes and then do nothing.

    Args:
        address: The address of the listener.
        count: The number of clients.
        pieces: What each client sends, one piece after the other.
        reads: How many bytes each client reads of its response.
    """

    def __init__(self, address, count, pieces, reads=0):
        self._pieces = pieces
        self._reads = reads
        self._sockets = [_connect(address) for _ in range(count)]
        self._threads = [
            threading.Thread(target=self._run, args=[item]) for item in self._sockets
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.vanish()
        for thread in self._threads:
            thread.join()

    def await_sent(self, timeout_s):
        """Wait until each client has sent all, was refused, or the time is up."""
        for thread in self._threads:
            thread.join(timeout_s / len(self._threads))

    def vanish(self):
        """Close all connections."""
        for item in self._sockets:
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
            item.close()

    def _run(self, connection):
        with contextlib.suppress(OSError):
            for piece in self._pieces:
                connection.sendall(piece)
            if self._reads:
                connection.recv(self._reads)


def _connect(address):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    connection.settimeout(SOCKET_TIMEOUT_S)
    connection.connect(address)
    return connection
