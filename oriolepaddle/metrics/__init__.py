"""Metrics: counters for each refusal and retry reason, histograms, gauges."""

from oriolepaddle.metrics.gateway import GatewayMetrics

__all__ = ["GatewayMetrics"]
