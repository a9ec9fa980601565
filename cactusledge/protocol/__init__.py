"""Core protocol as pure functions: journal, takeover, calls and budgets."""
