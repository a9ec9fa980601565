"""Durable records of turns and of programs' token budgets.

Records are immutable and keyed by turn id, so no store has to own them: a
write is durable once a majority of the group's instances has synced it to
disk.
"""
