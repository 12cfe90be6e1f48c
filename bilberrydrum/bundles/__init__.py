"""Configuration bundles: model, checks, commands and queries."""
