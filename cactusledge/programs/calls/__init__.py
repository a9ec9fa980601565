"""Runs the calls of programs, from the intent to the recorded answer."""
