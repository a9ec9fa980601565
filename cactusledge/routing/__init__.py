"""Routing policy: placement, queueing, admission and retries."""
