"""The tasks of an instance, one module for each."""
