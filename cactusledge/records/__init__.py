"""Durable records of turns and of programs' token budgets.

Records are immutable and named by their turn, so they need no owner: a write
counts once a majority of the group's instances has synced it to disk.
"""
