"""Caller API and status API over HTTP."""
