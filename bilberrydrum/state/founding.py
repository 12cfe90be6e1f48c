"""Start a new group, or find out that there is one already.

A replica without a membership asks all processes that the settings name. It may start
the group only if it has the lowest process id and every one of them has answered that
it holds nothing either. A host that lost its disk therefore never starts a second group
beside the one that goes on without it: it waits until that group's leader adds it.
"""

import attrs

from bilberrydrum import options
from bilberrydrum.state import membership, messages

PROBE_SECONDS = 0.3


@attrs.define
class Founding:
    """What an empty replica has heard from the others."""

    process_id: str
    replica_id: str
    peer_address: str
    members: tuple[options.Member, ...]
    # Whether this process may start the group at all.
    may_found: bool = True
    empty_ids_by_process: dict[str, str] = attrs.field(factory=dict)
    group_exists: bool = False
    # Addresses of further processes that may know the group.
    learned_addresses: tuple[str, ...] = ()

    def others(self) -> list[options.Member]:
        """Return the processes to ask."""
        return [each for each in self.members if each.process_id != self.process_id]

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Note processes to ask besides those that the settings name.

        They are asked only: who may start the group is left to the settings.
        """
        named = {each.peer_address for each in self.members}
        self.learned_addresses = tuple(
            each
            for each in addresses
            if each not in named and each != self.peer_address
        )

    def addresses(self) -> list[str]:
        """Return the addresses of all processes to ask."""
        named = [each.peer_address for each in self.others()]
        return [*named, *self.learned_addresses]

    def heard(self, reply: messages.ProbeReply) -> None:
        """Take in an answer."""
        if reply.asked_by != self.replica_id:
            # It answers this host's earlier replica, whose disk is gone.
            return
        if reply.is_empty:
            self.empty_ids_by_process[reply.process_id] = reply.replica_id
        else:
            self.group_exists = True

    def first_membership(self) -> membership.Membership | None:
        """Return the membership to start with, or None if it is not ours to start."""
        if self.group_exists or not self.may_found:
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
