"""A discrete-event loop and simple models of the gateway's environment."""

from experiments.simulation.engine import Engine
from experiments.simulation.event_loop import EventLoop
from experiments.simulation.job import Job
from experiments.simulation.latencies import Latencies

__all__ = ["Engine", "EventLoop", "Job", "Latencies"]
