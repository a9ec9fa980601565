"""Model checks of the inner protocol."""
