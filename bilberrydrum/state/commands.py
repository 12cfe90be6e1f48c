"""What operators ask of the state group: membership changes, and a restore.

Membership changes are made by the leader, through its core. A restore is a command in
the log, so that all replicas take it at the same place.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine, sessions, snapshot


@codec.register("state.add-member")
@attrs.frozen
class AddMember:
    """Let the empty replica of a process join as a learner, and vote when ready."""

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
    # Why it is not made.
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
    # Why it is not restored.
    detail: str = ""


@machine.apply.register
def _apply_restore(
    command: RestoreState, state: machine.State, context: machine.Context
) -> Restored:
    """Take the sections of a back-up, but let no number fall that must only rise.

    Gateways and upstreams remember the highest fencing number and bundle version that
    they have met. Started again from lower ones, the group would give orders that are
    refused, or give one bundle version two contents.
    """
    try:
        restored = snapshot.decode(command.data)
    except (snapshot.SnapshotError, codec.DecodeError) as error:
        return Restored(False, detail=str(error))
    # The members' clients go on in their sessions of today.
    restored.sections.pop(sessions.SECTION, None)
    current_sessions = state.sections.pop(sessions.SECTION, None)
    for name, current in state.sections.items():
        # A back-up from before a section's first entry lacks it; its numbers have
        # risen all the same.
        restored.section(name, type(current))
    for name, section in restored.sections.items():
        machine.keep_rising(section, state.sections.get(name))
    state.sections.clear()
    state.sections.update(restored.sections)
    if current_sessions is not None:
        state.sections[sessions.SECTION] = current_sessions
    return Restored(True, snapshot.digest(command.data))
