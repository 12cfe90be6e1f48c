"""Durable batches: accepted, run item by item, read by position."""
