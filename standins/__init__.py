"""Small stand-ins for the systems around cactusledge, with fault switches."""
