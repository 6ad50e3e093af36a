"""The configuration in force, and changes of it."""
