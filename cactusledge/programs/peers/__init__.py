"""Reaches programs that other instances drive, and serves their requests."""
