"""Commands of the `cactusledge` program, one module per command."""
