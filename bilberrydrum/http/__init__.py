"""The WSGI edge for callers, upstreams, trainers and operators."""
