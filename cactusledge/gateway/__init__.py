"""Data path between callers and endpoints, run on a single event loop."""
