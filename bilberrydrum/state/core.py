"""The replication core: `step(now, event)` returns the effects.

A leader is elected by terms and votes, takes commands into its log, and commits an
entry once a majority holds it synced (the Raft algorithm, with pre-vote, check-quorum
and leader leases). The core is pure; `replica` carries its effects out.
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
    """One replica's decisions."""

    def __init__(
        self,
        settings: node.Settings,
        recovered: node.Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        self.node = node.Node(settings, recovered, rng, now)

    def step(self, now: float, event: Any) -> list[Any]:
        """Take in one event of `events` at time `now` and return the effects."""
        self.node.now = now
        self.node.effects = []
        _on_event(event, self.node)
        return self.node.effects

    def lease_end(self, now: float) -> float:
        """Return until when this replica may answer for the group.

        In the past if it does not lead or has not committed in its term yet.
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
    raise TypeError(f"no such event: {type(event).__name__}")


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
    elif isinstance(message, messages.AskLeading):
        starting.on_ask_for_earlier(state, event.address, message)
    # Else nothing: a host that lost its disk has the address of its earlier replica.
    # Answering a message for that one would vouch for what was lost.


@_on_event.register
def _on_synced(event: events.Synced, state: node.Node) -> None:
    for effect in state.synced(event.number):
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
def _on_found(event: events.Found, state: node.Node) -> None:
    election.found(state, event.membership)


@_on_event.register
def _on_give_up(event: events.GiveUpLeadership, state: node.Node) -> None:
    if isinstance(state.role, node.Leader):
        leader.give_up(state, state.role)


@functools.singledispatch
def _on_message(message: Any, state: node.Node, address: str) -> None:
    raise TypeError(f"no such message: {type(message).__name__}")


@_on_message.register
def _on_vote_request(
    message: messages.VoteRequest, state: node.Node, address: str
) -> None:
    election.on_vote_request(state, address, message)


@_on_message.register
def _on_vote_reply(message: messages.VoteReply, state: node.Node, address: str) -> None:
    election.on_vote_reply(state, message)


@_on_message.register
def _on_ask_leading(
    message: messages.AskLeading, state: node.Node, address: str
) -> None:
    starting.on_ask(state, address, message)


@_on_message.register
def _on_leading(message: messages.Leading, state: node.Node, address: str) -> None:
    starting.on_answer(state, message)


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
def _on_stand_now(message: messages.StandNow, state: node.Node, address: str) -> None:
    election.on_stand_now(state, message)
