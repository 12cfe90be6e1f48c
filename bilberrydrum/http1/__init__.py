"""Strict reading of HTTP/1.1 messages (RFC 9112).

The parsers of the standard library, eventlet and urllib3 are lenient: they take the end
of the data for the end of a head, skip lines that they do not understand, and accept
chunk sizes and lengths that no sender may send. A message that broke off then looks
complete. Both sides of the product read messages with this package instead.
"""
