"""Decides which logs this instance owns; takes over and releases them."""
