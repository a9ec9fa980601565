"""Builds the components of an instance, one module for each."""
