"""Opaque requests passed on to upstreams."""
