"""Obtains engines for calls and maintains their groups."""
