"""Memory for bodies that are held, bounded over all requests of a process."""

from oriolepaddle.buffers.body import BodyBuffer
from oriolepaddle.buffers.budget import BufferBudget, make_budget

__all__ = ["BodyBuffer", "BufferBudget", "make_budget"]
