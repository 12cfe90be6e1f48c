"""Upstreams: their leases and load, and the replication of both among gateways."""
