"""Kinds of the platform's objects that this system reads."""

CONFIGURATION_KIND = 'config'
ENDPOINT_KIND = 'servers'
RETIREMENT_KIND = 'retirements'  # object name: the instance to drain
