"""Scheduler for agent programs: order, history, budget, at most one run."""

__version__ = '0.1.0'
