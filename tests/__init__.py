"""Tests, named by feature."""
