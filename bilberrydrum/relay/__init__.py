"""Requests that are forwarded to upstreams without being parsed."""
