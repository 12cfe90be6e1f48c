"""The soak: the platform's processes under drawn faults."""
