"""The demonstration of the whole path, and what it measures."""
