"""Upstreams: leases, load, dissemination among gateways, orders."""
