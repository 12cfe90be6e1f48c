"""Soak test: the platform's processes under randomly drawn faults."""
