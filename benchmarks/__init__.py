"""Measurements of the policy and of the path, one table each."""
