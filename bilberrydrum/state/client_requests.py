"""Handle clients' messages: propose commands, answer queries at the leader."""

from typing import Any, Final, Protocol

from bilberrydrum import clock, codec, counters, reasons, transport
from bilberrydrum.state import (
    applier,
    events,
    log,
    membership_task,
    messages,
    node,
    queries,
    serving,
    sessions,
)

# Most commands that are proposed and not yet applied. Further ones are refused, and
# their clients retry.
MAX_WAITERS: Final = 20_000


class LocalReplica(Protocol):
    """The part of this process's replica that its other tasks use."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    @property
    def failure(self) -> str:
        """Why the replica has stopped; empty: it is running."""

    def put(self, event: Any) -> None:
        """Queue an event for the core."""

    def next_ticket(self) -> int:
        """Return a new number that identifies a proposal."""

    def save(self, request: serving.SnapshotQuery) -> None:
        """Have the state encoded and passed to `ClientRequests.send_snapshot`."""

    def has_lease(self) -> bool:
        """Return whether this replica holds the leader lease now."""

    def status(self) -> queries.Status:
        """Return the status of the group."""


class ClientRequests:
    """Handles the messages that clients send to this replica."""

    def __init__(
        self,
        replica: LocalReplica,
        carrier: transport.Transport,
        applied: applier.Applier,
        membership_changes: membership_task.MembershipTask,
    ) -> None:
        self._replica = replica
        self._carrier = carrier
        self._applier = applied
        self._membership_changes = membership_changes
        self._waiters_by_ticket: dict[int, list[serving.Waiter]] = {}
        self._snapshot_queries: set[serving.SnapshotQuery] = set()
        self.waiters = serving.Waiters(carrier.send)
        self._reads = serving.Reads(self.waiters.outbox, self._answer)

    def listen(self) -> None:
        """Register the handlers of the clients' messages."""
        self._carrier.on(messages.OpenSession, self._on_open_session)
        self._carrier.on(messages.Submit, self._on_submit)
        self._carrier.on(messages.Ask, self._on_ask)

    def handle_proposal_result(
        self, effect: events.Accepted | events.NotLeader
    ) -> None:
        """Handle the core's decision on a proposal: accepted, or not the leader."""
        waiters = self._waiters_by_ticket.pop(effect.ticket)
        if isinstance(effect, events.NotLeader):
            self._refuse(waiters)
            return
        for i, waiter in enumerate(waiters):
            waiter.term = effect.term
            self.waiters.add(effect.first_index + i, waiter)

    def propose(
        self, items: list[tuple[int, bytes]], waiters: list[serving.Waiter]
    ) -> None:
        """Propose commands; refuse them if too many wait or the replica has stopped.

        `waiters` has one waiter for each of `items`.
        """
        if len(self.waiters) + len(items) > MAX_WAITERS:
            # If commands waited here for longer than their clients do, the clients
            # would send them again and again, and the log would fill with commands
            # that no client waits for.
            counters.refused(reasons.Reason.QUEUE_FULL)
            self._refuse(waiters)
            return
        if self._replica.failure:
            self._refuse(waiters)
            return
        ticket = self._replica.next_ticket()
        self._waiters_by_ticket[ticket] = waiters
        self._replica.put(events.Propose(tuple(items), serving.wall_time(), ticket))

    def _refuse(self, waiters: list[serving.Waiter]) -> None:
        numbers_by_client: dict[tuple[str, str], list[int]] = {}
        for waiter in waiters:
            if waiter.done is not None:
                waiter.done(None)
                continue
            key = (waiter.address, waiter.client_id)
            numbers_by_client.setdefault(key, []).append(waiter.number)
        for (address, client_id), numbers in numbers_by_client.items():
            self._redirect(address, client_id, numbers, is_query=False)

    def _redirect(
        self, address: str, client_id: str, numbers: list[int], is_query: bool
    ) -> None:
        role = self._replica.node.role
        leader_address = ""
        if isinstance(role, node.Follower) and role.leader_address != "":
            leader_address = role.leader_address
        addresses = [each.peer_address for each in self._replica.node.members.replicas]
        self._carrier.send(
            address,
            messages.Redirect(client_id, numbers, is_query, leader_address, addresses),
        )

    def _on_open_session(
        self, sender: transport.Sender, message: messages.OpenSession
    ) -> None:
        waiter = serving.Waiter(0, None, sender.address, message.client_id)
        self.propose([(log.KIND_OPEN_SESSION, message.client_id.encode())], [waiter])

    def _on_submit(self, sender: transport.Sender, submit: messages.Submit) -> None:
        items, waiters = [], []
        for item in submit.items:
            try:
                command = codec.decode(item.data)
            except codec.DecodeError as error:
                # Must not reach the log: a replica that cannot decode an entry stops.
                failed = codec.encode(messages.Failed(str(error)))
                answer = messages.Item(item.number, failed)
                self.waiters.outbox.add(sender.address, submit.client_id, answer)
                continue
            packed = sessions.SessionCommand(
                submit.client_id,
                submit.session_id,
                item.number,
                submit.lowest_pending,
                item.data,
            )
            items.append((log.KIND_SESSION, sessions.pack(packed)))
            waiters.append(
                serving.Waiter(
                    0,
                    command,
                    sender.address,
                    submit.client_id,
                    item.number,
                    submit.session_id,
                )
            )
        if items:
            self.propose(items, waiters)
        self.waiters.outbox.flush()

    def _on_ask(self, sender: transport.Sender, ask: messages.Ask) -> None:
        if self._replica.failure or not isinstance(
            self._replica.node.role, node.Leader
        ):
            numbers = [each.number for each in ask.items]
            self._redirect(sender.address, ask.client_id, numbers, is_query=True)
            return
        now = clock.now()
        for item in ask.items:
            try:
                query = codec.decode(item.data)
            except codec.DecodeError as error:
                failed = messages.Item(
                    item.number, codec.encode(messages.Failed(str(error)))
                )
                self.waiters.outbox.add(
                    sender.address, ask.client_id, failed, is_query=True
                )
                continue
            if isinstance(query, queries.SaveState):
                self._request_snapshot(
                    serving.SnapshotQuery(sender.address, ask.client_id, item.number)
                )
                continue
            if self._membership_changes.handle_operator_query(
                sender.address, ask.client_id, item.number, query
            ):
                continue
            self._reads.add(
                serving.Read(sender.address, ask.client_id, item.number, query, now)
            )
        self.serve_reads()

    def _answer(self, query: object) -> Any:
        if isinstance(query, queries.GetStatus):
            return self._replica.status()
        return serving.answer_query(query, self._applier.state, self._applier.time)

    def _request_snapshot(self, request: serving.SnapshotQuery) -> None:
        # A large state takes seconds to encode. If it were encoded here, the hub would
        # be blocked and the heartbeats with it, so that each backup would cost this
        # replica the leadership.
        if request not in self._snapshot_queries:
            self._snapshot_queries.add(request)
            self._replica.save(request)

    def send_snapshot(self, request: serving.SnapshotQuery, data: bytes) -> None:
        """Answer a query for a snapshot; without the lease, redirect the client.

        Without the lease, the snapshot may lack commands that another leader committed.
        """
        self._snapshot_queries.discard(request)
        if not self._replica.has_lease():
            numbers = [request.number]
            self._redirect(request.address, request.client_id, numbers, is_query=True)
            return
        item = messages.Item(request.number, codec.encode(queries.SavedState(data)))
        answers = messages.Answers(request.client_id, [item], is_query=True)
        self._carrier.send(request.address, answers)

    def serve_reads(self) -> None:
        """Answer the reads that can be answered now."""
        self._reads.serve(
            self._replica.node.commit_index,
            self._applier.index,
            self._replica.has_lease,
        )
        self.waiters.outbox.flush()

    def expire_reads(self, now: float) -> None:
        """Redirect the clients whose reads have waited too long."""
        for read in self._reads.pop_expired(now):
            self._redirect(read.address, read.client_id, [read.number], is_query=True)

    def redirect_reads(self) -> None:
        """Redirect the clients of all reads: this replica no longer leads."""
        for read in self._reads.pop_all():
            self._redirect(read.address, read.client_id, [read.number], is_query=True)
