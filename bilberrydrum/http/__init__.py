"""The HTTP interfaces for callers, upstreams, trainers and operators."""
