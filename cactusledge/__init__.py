"""Scheduler for agent programs.

Runs the calls of a program in order and at most once, within its budget, and
keeps their history.
"""

__version__ = '0.1.0'
