"""What the measurements share: load, stand-ins, records."""
