"""Parts of an instance that connect its state machines with the outside."""
