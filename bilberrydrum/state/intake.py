"""Clients' messages: commands into the log, queries to the leader, answers back."""

from typing import Any, Final, Protocol

from bilberrydrum import clock, codec, counters, reasons, transport
from bilberrydrum.state import (
    applier,
    events,
    log,
    messages,
    node,
    queries,
    serving,
    sessions,
    stewardship,
)

# Commands taken and not yet applied; beyond it clients are sent away to come again.
MAX_WAITERS: Final = 20_000


class Owner(Protocol):
    """What this module needs of the replica."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    @property
    def failure(self) -> str:
        """Why the replica has stopped; empty: it runs."""

    def put(self, event: Any) -> None:
        """Let the core take in an event."""

    def next_ticket(self) -> int:
        """Return a number for a proposal."""

    def save(self, request: serving.Save) -> None:
        """Have the state encoded, and `Intake.saved` called with it."""

    def has_lease(self) -> bool:
        """Tell whether this replica holds the leader lease now."""

    def status(self) -> queries.Status:
        """Return how the group stands."""


class Intake:
    """The clients' side of one replica."""

    def __init__(
        self,
        owner: Owner,
        carrier: transport.Transport,
        applied: applier.Applier,
        steward: stewardship.StewardTask,
    ) -> None:
        self._owner = owner
        self._carrier = carrier
        self._applier = applied
        self._steward = steward
        self._waiters_by_ticket: dict[int, list[serving.Waiter]] = {}
        self._saves: set[serving.Save] = set()
        self.waiters = serving.Waiters(carrier.send)
        self._reads = serving.Reads(self.waiters.outbox, self._answer)

    def listen(self) -> None:
        """Take clients' messages from now on."""
        self._carrier.on(messages.OpenSession, self._on_open_session)
        self._carrier.on(messages.Submit, self._on_submit)
        self._carrier.on(messages.Ask, self._on_ask)

    def placed(self, effect: events.Accepted | events.NotLeader) -> None:
        """Note what became of commands that were proposed."""
        waiters = self._waiters_by_ticket.pop(effect.ticket)
        if isinstance(effect, events.NotLeader):
            self._refuse(waiters)
            return
        for i, waiter in enumerate(waiters):
            waiter.term = effect.term
            self.waiters.add(effect.first_index + i, waiter)

    def take(
        self, items: list[tuple[int, bytes]], waiters: list[serving.Waiter]
    ) -> None:
        """Propose commands; each waiter is answered in the end."""
        if len(self.waiters) + len(items) > MAX_WAITERS:
            # Answered at once: waiting longer than its clients do, it would be sent
            # again and again, and the log would fill with what nobody waits for.
            counters.refused(reasons.Reason.QUEUE_FULL)
            self._refuse(waiters)
            return
        if self._owner.failure:
            self._refuse(waiters)
            return
        ticket = self._owner.next_ticket()
        self._waiters_by_ticket[ticket] = waiters
        self._owner.put(events.Propose(tuple(items), serving.wall_time(), ticket))

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
        role = self._owner.node.role
        leader_address = ""
        if isinstance(role, node.Follower) and role.leader_address != "":
            leader_address = role.leader_address
        addresses = [each.peer_address for each in self._owner.node.members.replicas]
        self._carrier.send(
            address,
            messages.Redirect(client_id, numbers, is_query, leader_address, addresses),
        )

    def _on_open_session(
        self, sender: transport.Sender, message: messages.OpenSession
    ) -> None:
        waiter = serving.Waiter(0, None, sender.address, message.client_id)
        self.take([(log.KIND_OPEN_SESSION, message.client_id.encode())], [waiter])

    def _on_submit(self, sender: transport.Sender, submit: messages.Submit) -> None:
        items, waiters = [], []
        for item in submit.items:
            try:
                command = codec.decode(item.data)
            except codec.DecodeError as error:
                # Kept out of the log: a replica that cannot decode an entry stops.
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
            self.take(items, waiters)
        self.waiters.outbox.flush()

    def _on_ask(self, sender: transport.Sender, ask: messages.Ask) -> None:
        if self._owner.failure or not isinstance(self._owner.node.role, node.Leader):
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
                self._save(serving.Save(sender.address, ask.client_id, item.number))
                continue
            if self._steward.takes(sender.address, ask.client_id, item.number, query):
                continue
            self._reads.add(
                serving.Read(sender.address, ask.client_id, item.number, query, now)
            )
        self.serve_reads()

    def _answer(self, query: object) -> Any:
        if isinstance(query, queries.GetStatus):
            return self._owner.status()
        return serving.answer_query(query, self._applier.state, self._applier.time)

    def _save(self, request: serving.Save) -> None:
        # A large state takes seconds to encode. Done here, it would stop the hub, and
        # with it the heartbeats: each back-up would cost the leadership.
        if request not in self._saves:
            self._saves.add(request)
            self._owner.save(request)

    def saved(self, request: serving.Save, data: bytes) -> None:
        """Answer a query for a snapshot, if it is still the group's state."""
        self._saves.discard(request)
        if not self._owner.has_lease():
            numbers = [request.number]
            self._redirect(request.address, request.client_id, numbers, is_query=True)
            return
        item = messages.Item(request.number, codec.encode(queries.SavedState(data)))
        answers = messages.Answers(request.client_id, [item], is_query=True)
        self._carrier.send(request.address, answers)

    def serve_reads(self) -> None:
        """Answer the reads that can be answered now."""
        self._reads.serve(
            self._owner.node.commit_index, self._applier.index, self._owner.has_lease
        )
        self.waiters.outbox.flush()

    def expire_reads(self, now: float) -> None:
        """Send on the clients whose reads have waited too long."""
        for read in self._reads.take_expired(now):
            self._redirect(read.address, read.client_id, [read.number], is_query=True)

    def send_reads_on(self) -> None:
        """Send on the clients whose reads wait; this replica leads no more."""
        for read in self._reads.take_all():
            self._redirect(read.address, read.client_id, [read.number], is_query=True)
