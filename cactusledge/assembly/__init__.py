"""Builds the parts of an instance from its settings, one module a part."""
