"""Operators' requests to the state group: membership changes, and a restore.

The leader makes membership changes through its core. A restore is a command in the log,
so that all replicas carry it out at the same index.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine, sessions, snapshot


@codec.register("state.add-member")
@attrs.frozen
class AddMember:
    """Add the empty replica of a process as a learner, to be promoted to a voter."""

    process_id: str
    peer_address: str


@codec.register("state.remove-member")
@attrs.frozen
class RemoveMember:
    """Remove one replica."""

    replica_id: str


@codec.register("state.member-changed")
@attrs.frozen
class MemberChanged:
    """The answer to a membership change."""

    is_made: bool
    # Why the change was not made.
    detail: str = ""


@codec.register("state.restore")
@attrs.frozen
class RestoreState:
    """Replace the state by that of a snapshot, in the format of `snapshot`."""

    data: bytes


@codec.register("state.restored")
@attrs.frozen
class Restored:
    """The answer to `RestoreState`."""

    is_restored: bool
    digest: str = ""
    # Why the state was not restored.
    detail: str = ""


@machine.apply.register
def _apply_restore(
    command: RestoreState, state: machine.State, context: machine.Context
) -> Restored:
    """Replace the state by that of a backup, but lower no monotonic number.

    Gateways and upstreams remember the highest fencing number and bundle version that
    they have seen. If the group continued from lower ones, its orders would be refused,
    or the same bundle version would be given to two different bundles.
    """
    try:
        restored = snapshot.decode(command.data)
    except (snapshot.SnapshotError, codec.DecodeError) as error:
        return Restored(False, detail=str(error))
    # The current sessions are kept, because clients continue to use them.
    restored.sections.pop(sessions.SECTION, None)
    current_sessions = state.sections.pop(sessions.SECTION, None)
    for name, current in state.sections.items():
        # A backup that was made before the first entry of a section lacks the section.
        # It is added empty, so that its numbers are raised to the current ones below.
        restored.section(name, type(current))
    for name, section in restored.sections.items():
        machine.keep_rising(section, state.sections.get(name))
    state.sections.clear()
    state.sections.update(restored.sections)
    if current_sessions is not None:
        state.sections[sessions.SECTION] = current_sessions
    return Restored(True, snapshot.digest(command.data))
