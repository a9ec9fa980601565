"""Example definition files and the demonstration that runs them."""
