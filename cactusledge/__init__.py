"""Scheduler for agent programs: order, history, budget, at most one run."""
