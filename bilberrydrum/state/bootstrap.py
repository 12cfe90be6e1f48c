"""Bootstrap a new group, unless one exists already.

A replica without a membership probes all processes that the settings name. It may
bootstrap the group only if it has the lowest process id and every one of them has
replied that it has no membership either. A host that lost its disk therefore never
starts a second group while its former group continues without it; it waits until that
group's leader adds it.
"""

import attrs

from bilberrydrum import options
from bilberrydrum.state import membership, messages

PROBE_SECONDS = 0.3


@attrs.define
class Bootstrap:
    """The replies that an empty replica has received from the other processes."""

    process_id: str
    replica_id: str
    peer_address: str
    members: tuple[options.Member, ...]
    # Whether this process may bootstrap the group at all.
    may_bootstrap: bool = True
    empty_ids_by_process: dict[str, str] = attrs.field(factory=dict)
    group_exists: bool = False
    # Addresses of other processes that may know the group.
    learned_addresses: tuple[str, ...] = ()

    def others(self) -> list[options.Member]:
        """Return the other processes that the settings name."""
        return [each for each in self.members if each.process_id != self.process_id]

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Record processes to probe in addition to those that the settings name.

        They are only probed; the settings alone determine who may bootstrap the group.
        """
        named = {each.peer_address for each in self.members}
        self.learned_addresses = tuple(
            each
            for each in addresses
            if each not in named and each != self.peer_address
        )

    def addresses(self) -> list[str]:
        """Return the addresses of all processes to probe."""
        named = [each.peer_address for each in self.others()]
        return [*named, *self.learned_addresses]

    def record_reply(self, reply: messages.ProbeReply) -> None:
        """Record the reply to a probe."""
        if reply.asked_by != self.replica_id:
            # The reply is to this host's earlier replica, whose disk was lost.
            return
        if reply.is_empty:
            self.empty_ids_by_process[reply.process_id] = reply.replica_id
        else:
            self.group_exists = True

    def first_membership(self) -> membership.Membership | None:
        """Return the membership to bootstrap with, or None if that is not allowed."""
        if self.group_exists or not self.may_bootstrap:
            return None
        members = self.members or (options.Member(self.process_id, self.peer_address),)
        if min(each.process_id for each in members) != self.process_id:
            return None
        ids = {**self.empty_ids_by_process, self.process_id: self.replica_id}
        if any(each.process_id not in ids for each in members):
            return None
        return membership.Membership(
            tuple(
                membership.ReplicaInfo(
                    ids[each.process_id], each.process_id, each.peer_address
                )
                for each in members
            )
        )
