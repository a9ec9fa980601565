"""HTTP server of the caller API and the status API."""
