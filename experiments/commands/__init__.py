"""Simulation of several instances that reconcile the engines of a data centre."""
