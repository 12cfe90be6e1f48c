"""Processes of one role each: gateways, control processes and stores."""
