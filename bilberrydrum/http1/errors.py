"""Errors of messages that are not whole or not well formed."""

import enum


class Fault(enum.StrEnum):
    """What is wrong with a message; a label of a counter."""

    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"
    UNSUPPORTED = "unsupported"
    TOO_LARGE = "too-large"


class MessageError(Exception):
    """The bytes are not a whole and well-formed message.

    Where its end would be is unknown, so its connection must not be used any more.
    """

    fault = Fault.MALFORMED


class IncompleteError(MessageError):
    """The data ended, or its connection was reset, within the message."""

    fault = Fault.INCOMPLETE


class NoMessageError(IncompleteError):
    """The data ended before the first byte of a message."""


class MalformedError(MessageError):
    """The bytes break the grammar of RFC 9112."""


class UnsupportedError(MessageError):
    """The message is framed in a way that this reader cannot decode."""

    fault = Fault.UNSUPPORTED


class TooLargeError(MessageError):
    """A part of the message is longer than its limit."""

    fault = Fault.TOO_LARGE
