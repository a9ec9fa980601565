"""The data path between callers and endpoints, on one event loop."""
