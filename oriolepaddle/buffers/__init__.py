"""Memory for bodies that are held, bounded over all requests of a process."""

from oriolepaddle.buffers.body import BodyBuffer
from oriolepaddle.buffers.budget import BufferBudget, HeldKind, make_budget
from oriolepaddle.buffers.descriptors import REQUEST_DESCRIPTORS, DescriptorBudget
from oriolepaddle.buffers.heap import limit_heap
from oriolepaddle.buffers.short_body import ShortBody
from oriolepaddle.buffers.sockets import SocketQueues, make_socket_queues

__all__ = [
    "BodyBuffer",
    "BufferBudget",
    "DescriptorBudget",
    "HeldKind",
    "REQUEST_DESCRIPTORS",
    "ShortBody",
    "SocketQueues",
    "limit_heap",
    "make_budget",
    "make_socket_queues",
]
