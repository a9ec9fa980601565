"""Commands of the `cactusledge` program, one module a command."""
