"""Messages between components, targets and instances, and their encodings."""
