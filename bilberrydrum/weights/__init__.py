"""Weights: published versions, orders to engines and the roll-out plan."""
