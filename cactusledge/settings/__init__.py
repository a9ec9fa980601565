"""Instance settings, definition files, validation and publishing."""
