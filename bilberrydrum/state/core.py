"""The replication core: `step(now, event)` returns the effects.

This is the Raft algorithm with pre-vote, check-quorum and leader leases: a leader is
elected by a majority of votes in a term, appends commands to its log, and commits an
entry once a majority has synced it to disk. The core does no input or output;
`replica` carries out its effects.
"""

import functools
import random
from typing import Any

from bilberrydrum.state import (
    election,
    events,
    follower,
    leader,
    messages,
    node,
    reconfiguration,
    starting,
)


class Core:
    """The Raft state machine of one replica."""

    def __init__(
        self,
        settings: node.Settings,
        recovered: node.Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        self.node = node.Node(settings, recovered, rng, now)

    def step(self, now: float, event: Any) -> list[Any]:
        """Process one event of `events` at time `now` and return the effects."""
        self.node.now = now
        self.node.effects = []
        _on_event(event, self.node)
        return self.node.effects

    def lease_end(self, now: float) -> float:
        """Return the time at which this replica's leader lease ends.

        Returns minus infinity if it does not lead or has not committed an entry of its
        term yet.
        """
        role = self.node.role
        if not isinstance(role, node.Leader):
            return float("-inf")
        if not leader.is_established(self.node, role):
            return float("-inf")
        self.node.now = now
        return leader.lease_end(self.node, role)


@functools.singledispatch
def _on_event(event: Any, state: node.Node) -> None:
    raise TypeError(f"unknown event type {type(event).__name__}")


@_on_event.register
def _on_tick(event: events.Tick, state: node.Node) -> None:
    if isinstance(state.role, node.Leader):
        leader.tick(state, state.role)
    else:
        starting.tick(state)
        election.tick(state)


@_on_event.register
def _on_received(event: events.Received, state: node.Node) -> None:
    message = event.message
    if message.receiver_id == state.replica_id:
        _on_message(message, state, event.address)
    elif isinstance(message, messages.LeadershipQuery):
        starting.on_query_for_predecessor(state, event.address, message)
    # Other messages for another replica id are dropped. A host that lost its disk keeps
    # its address but gets a new replica id; answering for the earlier replica would
    # acknowledge votes and entries that were lost with the disk.


@_on_event.register
def _on_synced(event: events.Synced, state: node.Node) -> None:
    for effect in state.record_synced(event.number):
        if isinstance(effect, node.CountOwnVote):
            election.on_own_vote(state, effect)
        else:
            state.release(effect)
    if state.installing is not None and state.installing[0] <= event.number:
        follower.on_installed(state)
    leader.on_synced(state)


@_on_event.register
def _on_propose(event: events.Propose, state: node.Node) -> None:
    leader.propose(state, event)


@_on_event.register
def _on_propose_change(event: events.ProposeChange, state: node.Node) -> None:
    reconfiguration.propose_change(state, event)


@_on_event.register
def _on_snapshot_saved(event: events.SnapshotSaved, state: node.Node) -> None:
    if event.index > state.snapshot_index:
        state.compact(event.index, event.n_bytes)


@_on_event.register
def _on_bootstrap(event: events.BootstrapGroup, state: node.Node) -> None:
    election.bootstrap(state, event.membership)


@_on_event.register
def _on_transfer_leadership(event: events.TransferLeadership, state: node.Node) -> None:
    if isinstance(state.role, node.Leader):
        leader.transfer_leadership(state, state.role)


@functools.singledispatch
def _on_message(message: Any, state: node.Node, address: str) -> None:
    raise TypeError(f"unknown message type {type(message).__name__}")


@_on_message.register
def _on_vote_request(
    message: messages.VoteRequest, state: node.Node, address: str
) -> None:
    election.on_vote_request(state, address, message)


@_on_message.register
def _on_vote_reply(message: messages.VoteReply, state: node.Node, address: str) -> None:
    election.on_vote_reply(state, message)


@_on_message.register
def _on_leadership_query(
    message: messages.LeadershipQuery, state: node.Node, address: str
) -> None:
    starting.on_leadership_query(state, address, message)


@_on_message.register
def _on_leadership_reply(
    message: messages.LeadershipReply, state: node.Node, address: str
) -> None:
    starting.on_leadership_reply(state, message)


@_on_message.register
def _on_append(message: messages.Append, state: node.Node, address: str) -> None:
    follower.on_append(state, address, message)


@_on_message.register
def _on_append_reply(
    message: messages.AppendReply, state: node.Node, address: str
) -> None:
    if message.term > state.term:
        state.become_follower(message.term)
    else:
        leader.on_append_reply(state, message)


@_on_message.register
def _on_chunk(message: messages.SnapshotChunk, state: node.Node, address: str) -> None:
    follower.on_chunk(state, address, message)


@_on_message.register
def _on_snapshot_reply(
    message: messages.SnapshotReply, state: node.Node, address: str
) -> None:
    leader.on_snapshot_reply(state, message)


@_on_message.register
def _on_timeout_now(
    message: messages.TimeoutNow, state: node.Node, address: str
) -> None:
    election.on_timeout_now(state, message)
