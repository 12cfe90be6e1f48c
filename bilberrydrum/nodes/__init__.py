"""Processes with one role each: gateways, control processes and stores."""
