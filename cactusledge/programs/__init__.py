"""Drives programs and writes their journal logs."""
