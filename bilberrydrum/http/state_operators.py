"""The operators' interface to the state group: status, repair, backup, restore."""

from typing import Any, Final, Protocol

import result

from bilberrydrum import codec, options, problems, reasons
from bilberrydrum.http import edge
from bilberrydrum.state import client, commands, queries, snapshot

# Largest accepted snapshot for a restore.
MAX_SNAPSHOT_BYTES: Final = 256 * 1024 * 1024
_SNAPSHOT_TIMEOUT: Final = 60.0
_CHANGE_TIMEOUT: Final = 10.0
_STATUS_TIMEOUT: Final = 2.0


class StatusSource(Protocol):
    """A replica that can report the status of the group."""

    def status(self) -> queries.Status:
        """Return the status of the group from the local replica's point of view."""


def add_routes(
    routes: edge.Edge,
    opts: options.Options,
    state: client.StateClient,
    replica: StatusSource | None = None,
) -> None:
    """Add the operators' routes for the state group; `replica` is the local one."""
    handlers = _Handlers(state, replica)
    guard = edge.GUARD_OPERATOR
    routes.add("GET", "/v1/state", handlers.status, guard)
    routes.add("POST", "/v1/state/members", handlers.add_member, guard)
    routes.add(
        "DELETE", "/v1/state/members/{replica_id}", handlers.remove_member, guard
    )
    routes.add("GET", "/v1/state/snapshot", handlers.save, guard)
    routes.add(
        "POST", "/v1/state/snapshot", handlers.restore, guard, MAX_SNAPSHOT_BYTES
    )


class _Handlers:
    """The handlers of one daemon."""

    def __init__(self, state: client.StateClient, replica: StatusSource | None) -> None:
        self._state = state
        self._replica = replica

    def status(self, request: edge.Request) -> edge.Response:
        """Return the status of the group from its leader, or else the local replica.

        Without a majority there is no leader to answer, and in this situation operators
        need the status most.
        """
        answer = self._state.query(queries.GetStatus(), _STATUS_TIMEOUT)
        if isinstance(answer, result.Ok):
            return _status_response(answer.ok_value)
        if self._replica is None:
            raise problems.ProblemError(answer.err_value.to_problem())
        return _status_response(self._replica.status())

    def add_member(self, request: edge.Request) -> edge.Response:
        """Add a process, whose replica is empty, to the group."""
        body = request.json()
        command = commands.AddMember(
            _text(body, "process_id"), _text(body, "peer_address")
        )
        return self._change(command)

    def remove_member(self, request: edge.Request) -> edge.Response:
        """Remove one replica, if the remaining ones still have a majority."""
        return self._change(commands.RemoveMember(request.variables["replica_id"]))

    def _change(self, command: object) -> edge.Response:
        answer = self._state.query(command, _CHANGE_TIMEOUT)
        if isinstance(answer, result.Err):
            raise problems.ProblemError(answer.err_value.to_problem())
        changed: commands.MemberChanged = answer.ok_value
        if not changed.is_made:
            raise edge.refuse(409, reasons.Reason.MEMBERSHIP_REFUSED, changed.detail)
        return edge.Response.of_json({"is_made": True}, 202)

    def save(self, request: edge.Request) -> edge.Response:
        """Return a snapshot of the state."""
        answer = self._state.query(queries.SaveState(), _SNAPSHOT_TIMEOUT)
        if isinstance(answer, result.Err):
            raise problems.ProblemError(answer.err_value.to_problem())
        data: bytes = answer.ok_value.data
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("X-Snapshot-Digest", snapshot.digest(data)),
        ]
        return edge.Response(200, data, headers)

    def restore(self, request: edge.Request) -> edge.Response:
        """Replace the state by that in a snapshot."""
        data = request.body()
        try:
            snapshot.read(data)
        except snapshot.SnapshotError as error:
            raise edge.refuse(
                422, reasons.Reason.SNAPSHOT_INVALID, str(error)
            ) from error
        answer = self._state.submit(commands.RestoreState(data), _SNAPSHOT_TIMEOUT)
        if isinstance(answer, result.Err):
            raise problems.ProblemError(answer.err_value.to_problem())
        restored: commands.Restored = answer.ok_value
        if not restored.is_restored:
            raise edge.refuse(422, reasons.Reason.SNAPSHOT_INVALID, restored.detail)
        return edge.Response.of_json({"digest": restored.digest})


def _status_response(status: queries.Status) -> edge.Response:
    document = codec.to_plain(status)
    document["leader"] = status.leader_process_id
    return edge.Response.of_json(document)


def _text(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise edge.refuse(
            400, reasons.Reason.INVALID_REQUEST, f"{name}: must be a non-empty string"
        )
    return value
