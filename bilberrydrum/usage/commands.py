"""The control group's record of windows: which are closed, and which are reported.

A window is closed by one command, and what it says then is what is reported, by this
leader or any later one, once or ten times. Two reports of one window that differ cannot
both come from here.
"""

from typing import Final

import attrs
import eliot

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.usage import model

SECTION: Final = "usage"
# Closed windows that are kept while the receiver takes none: 2.7 hours of windows of
# 5 s. Beyond it the oldest go, as the group's memory must stay bounded.
MAX_PENDING: Final = 2_000


@codec.register("usage.section")
@attrs.define
class Section:
    """The whole record."""

    # All windows before this one are closed; 0: none is.
    closed_before: int = 0
    # Closed and not confirmed by the receiver, the oldest first.
    pending_by_window: dict[int, model.WindowCounts] = attrs.field(factory=dict)


def section_of(state: machine.State) -> Section:
    """Return the section in `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("usage.close-windows")
@attrs.frozen
class CloseWindows:
    """Close windows with these counts; one that is closed already stays as it is."""

    windows: tuple[model.WindowCounts, ...]


@codec.register("usage.confirm-windows")
@attrs.frozen
class ConfirmWindows:
    """The receiver has taken the reports of these windows."""

    windows: tuple[int, ...]


@codec.register("usage.noted")
@attrs.frozen
class Noted:
    """All windows before this one are closed."""

    closed_before: int


@machine.apply.register
def _(command: CloseWindows, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    for given in command.windows:
        if given.window < section.closed_before:
            continue
        section.closed_before = given.window + 1
        section.pending_by_window[given.window] = given
    while len(section.pending_by_window) > MAX_PENDING:
        dropped = section.pending_by_window.pop(min(section.pending_by_window))
        eliot.log_message(message_type="usage:never-reported", window=dropped.window)
    return Noted(section.closed_before)


@machine.apply.register
def _(command: ConfirmWindows, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    for window in command.windows:
        section.pending_by_window.pop(window, None)
    return Noted(section.closed_before)
