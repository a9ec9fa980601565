"""Adapter to the users' platform: only translates its names and formats."""
