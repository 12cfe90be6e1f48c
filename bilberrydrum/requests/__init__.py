"""Requests: admission, routing, retries, claims and streams."""
