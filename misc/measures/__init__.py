"""Modules shared by the measurements: load, fake upstreams, records."""
