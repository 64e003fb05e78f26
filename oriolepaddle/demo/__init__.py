"""A demo that runs stand-ins and six instances in one process."""

from oriolepaddle.demo.run import run_demo

__all__ = ["run_demo"]
