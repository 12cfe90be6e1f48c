"""Samples: groups, provenance, staleness, delivery and weight roll-out."""
