"""Messages between instances, and cluster membership."""
