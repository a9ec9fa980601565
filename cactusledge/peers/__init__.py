"""Messages between instances, and membership."""
