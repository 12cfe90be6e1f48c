"""The hosts of a simulated group, and which disk losses it must survive."""

from collections.abc import Iterable

import attrs

from bilberrydrum.state import applier, core, membership, storage
from tests.fakes import files


@attrs.define
class Host:
    """One process with a disk."""

    name: str
    disk: files.FakeFiles
    # Relative rate and offset of its clock, compared with true time.
    rate: float = 0.0
    offset: float = 0.0
    is_up: bool = False
    is_suspended: bool = False
    replica_core: core.Core = None  # type: ignore[assignment]
    store: storage.Storage = None  # type: ignore[assignment]
    applied: applier.Applier = None  # type: ignore[assignment]
    jobs: list[object] = attrs.field(factory=list)
    n_starts: int = 0

    def runs(self) -> bool:
        return self.is_up and not self.is_suspended


def joining(hosts: Iterable[Host]) -> dict[str, membership.ReplicaInfo]:
    """Return the empty replicas that ask to join, by process."""
    return {
        host.name: membership.ReplicaInfo(
            host.replica_core.node.replica_id, host.name, host.name
        )
        for host in hosts
        if host.runs() and not host.replica_core.node.members.replicas
    }


def may_lose_disk(hosts: Iterable[Host], lost: Host) -> bool:
    """Return whether the group guarantees to survive the loss of this disk."""
    hosts = list(hosts)
    kept = {each.replica_core.node.replica_id for each in hosts if each is not lost}
    for host in hosts:
        members = host.replica_core.node.members
        n_kept = sum(1 for each in members.voter_ids() if each in kept)
        if members.voter_ids() and n_kept < members.majority():
            return False
    return True
