"""A discrete-event loop and small models of what surrounds the gateway."""

from experiments.simulation.engine import Engine
from experiments.simulation.event_loop import EventLoop
from experiments.simulation.job import Job
from experiments.simulation.latencies import Latencies

__all__ = ["Engine", "EventLoop", "Job", "Latencies"]
