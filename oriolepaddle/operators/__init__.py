"""The administration API, health and metrics."""

from oriolepaddle.operators.administration import Administration
from oriolepaddle.operators.application import OperatorApplication

__all__ = ["Administration", "OperatorApplication"]
