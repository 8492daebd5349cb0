"""Choose the gate of each call."""
