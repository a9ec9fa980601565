"""Inner protocol: journal, takeover, calls and budget, as pure functions."""
