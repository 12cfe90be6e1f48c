"""Samples: groups, provenance, staleness and delivery."""
