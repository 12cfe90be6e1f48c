"""Scripts for developers: the demo and the measurements."""
