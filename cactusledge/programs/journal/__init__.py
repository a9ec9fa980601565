"""Writes the journal logs that keep the history of programs."""
