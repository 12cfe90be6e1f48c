"""Several directories on a network that loses, delays and cuts, in one thread.

Time moves in steps; each gateway has its own clock, with its own offset and rate.
Upstreams renew through a load balancer that chooses any gateway. The net knows the true
state of each upstream, so that a test can check what a gateway must not list.
"""

import random

import attrs

from bilberrydrum.upstreams import directory, events, messages, model, records
from tests.fakes import trace

LEASE = 2.0
RENEW = 0.5
STANDING = 0.5
# Longest time, in seconds, that an upstream may be listed after it left or fell silent.
BOUND = 3.0
STEP = 0.05
LATENCY = 0.002
WALL = 1_700_000_000_000


def engine(upstream_id, **fields):
    return model.Upstream(upstream_id, model.KIND_ENGINE, "127.0.0.1:9000", **fields)


@attrs.define
class Node:
    """One gateway; `core` is None while it is dead."""

    process_id: str
    offset: float
    rate: float
    incarnation: int
    core: object = None
    is_suspended: bool = False
    # Events that wait while the process is paused.
    waiting: list = attrs.field(factory=list)
    replies: list = attrs.field(factory=list)
    confirmed_leaves: set = attrs.field(factory=set)


@attrs.define
class Agent:
    """One upstream in its true state."""

    upstream: object
    is_running: bool = True
    # It announced that it is leaving, and has not announced itself since.
    is_leaving: bool = False
    renewed_at: float = float("-inf")
    left_at: float = float("inf")
    next_renewal: float = 0.0


class Net:
    """Gateways, upstreams, and the messages between them."""

    def __init__(self, n_gateways, n_upstreams, seed=1, max_mesh=16):
        self.now = 0.0
        self.random = random.Random(seed)
        self.max_mesh = max_mesh
        self.nodes_by_id = {}
        self.cut = set()
        # True: messages on a cut link wait as in a socket until it heals; False: lost.
        self.holds_on_cut = False
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay = 0.0
        self.drop = lambda sender, receiver, message: False
        self.in_flight = []
        self.held = []
        self.n_sent = 0
        self.agents_by_id = {}
        # If set, renewals go only to these gateways.
        self.balancer = None
        for i in range(n_gateways):
            node = Node(f"gw-{i}", 1000.0 * i, 1.0 + 0.0001 * (i % 3 - 1), 1)
            self.nodes_by_id[node.process_id] = node
        for node in self.nodes_by_id.values():
            self.start(node.process_id)
        self.advance(0.3)
        for i in range(n_upstreams):
            self.announce(f"e{i}")
        self.advance(0.3)

    # Actions of a test.

    def start(self, process_id):
        node = self.nodes_by_id[process_id]
        node.core = directory.Directory(
            process_id, node.incarnation, LEASE, RENEW, STANDING, self.max_mesh
        )
        node.is_suspended = False
        node.waiting = []
        self._step(node, self._tick())

    def kill(self, process_id):
        node = self.nodes_by_id[process_id]
        node.core = None
        node.incarnation += 1
        node.waiting = []

    def suspend(self, process_id):
        self.nodes_by_id[process_id].is_suspended = True

    def resume(self, process_id):
        node = self.nodes_by_id[process_id]
        node.is_suspended = False
        waiting, node.waiting = node.waiting, []
        for event in waiting:
            self._step(node, event)
            self.check()

    def cut_off(self, *process_ids):
        """Cut the links between these gateways and all others."""
        for a in process_ids:
            for b in self.nodes_by_id.keys() - set(process_ids):
                self.cut |= {(a, b), (b, a)}

    def heal(self):
        self.cut = set()
        held, self.held = self.held, []
        for sender, receiver, event in held:
            self.in_flight.append((self.now + LATENCY, sender, receiver, event))

    def announce(self, upstream_id, at=None, incarnation=None, **fields):
        agent = self.agents_by_id.setdefault(
            upstream_id, Agent(engine(upstream_id, **fields))
        )
        reply = self.ask(
            at or self._pick(),
            events.Announced(agent.upstream, incarnation, WALL + int(self.now * 1000)),
        )
        if reply is not None and reply.refusal is None:
            agent.is_running = True
            agent.is_leaving = False
            agent.left_at = float("inf")
            agent.renewed_at = self.now
            agent.next_renewal = self.now + RENEW
        return reply

    def renew(self, upstream_id, at=None, **fields):
        agent = self.agents_by_id[upstream_id]
        reply = self.ask(at or self._pick(), events.Renewed(upstream_id, **fields))
        if reply is not None and reply.refusal is None:
            agent.renewed_at = self.now
        return reply

    def leave(self, upstream_id, at, is_silent=True):
        """Send a leave; if `is_silent`, the upstream stops renewing."""
        agent = self.agents_by_id[upstream_id]
        reply = self.ask(at, events.Leaving(upstream_id))
        agent.left_at = self.now
        agent.is_running = not is_silent
        agent.is_leaving = True
        return reply

    def crash(self, upstream_id):
        self.agents_by_id[upstream_id].is_running = False

    def ask(self, process_id, event):
        node = self.nodes_by_id[process_id]
        if node.core is None:
            return None
        if node.is_suspended:
            node.waiting.append(event)
            return None
        node.replies = []
        self._step(node, event)
        return node.replies[-1]

    def advance(self, seconds, check=True):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP
            self._deliver()
            self._renew_all()
            for node in self.nodes_by_id.values():
                if node.core is not None and not node.is_suspended:
                    self._step(node, self._tick())
            self._deliver()
            if check:
                self.check()

    # Observations of a test.

    def clock(self, node):
        return node.offset + self.now * node.rate

    def listed(self, process_id):
        node = self.nodes_by_id[process_id]
        if node.core is None:
            return set()
        return set(node.core.listing.active_by_id(self.clock(node)))

    def all_listed(self):
        return [
            self.listed(node.process_id)
            for node in self.nodes_by_id.values()
            if node.core is not None
        ]

    def record(self, process_id, upstream_id):
        return (
            self.nodes_by_id[process_id].core.listing.records_by_id().get(upstream_id)
        )

    def check(self):
        """Check that no gateway lists an upstream for longer than the bound."""
        for node in self.nodes_by_id.values():
            if node.core is None:
                continue
            usable = set(node.core.listing.usable_by_id(self.clock(node)))
            for upstream_id in self.listed(node.process_id) | usable:
                agent = self.agents_by_id[upstream_id]
                silent = self.now - agent.renewed_at
                left = self.now - agent.left_at
                assert silent <= BOUND, (
                    f"{node.process_id} lists {upstream_id}, silent for {silent:.2f} s"
                )
                assert left <= BOUND, (
                    f"{node.process_id} lists {upstream_id}, left {left:.2f} s ago"
                )

    # Implementation.

    def _tick(self):
        zones = {name: f"zone-{i % 3}" for i, name in enumerate(self.nodes_by_id)}
        return events.Tick(zones)

    def _pick(self):
        usable = [
            node.process_id
            for node in self.nodes_by_id.values()
            if node.core is not None
            and not node.is_suspended
            and (self.balancer is None or node.process_id in self.balancer)
        ]
        return self.random.choice(usable)

    def _renew_all(self):
        for upstream_id, agent in self.agents_by_id.items():
            if not agent.is_running or self.now < agent.next_renewal:
                continue
            agent.next_renewal = self.now + RENEW
            reply = self.renew(upstream_id)
            refused = reply is not None and reply.refusal is not None
            if refused and not agent.is_leaving:
                self.announce(upstream_id)

    def _step(self, node, event):
        trace.note(self.now, node.process_id, event)
        sent = []
        for effect in node.core.step(self.clock(node), event):
            if isinstance(effect, events.Send):
                sent.append((effect.process_id, effect.message))
            elif isinstance(effect, events.SendAll):
                peers = self.nodes_by_id.keys() - {node.process_id}
                sent += [(peer, effect.message) for peer in peers]
            elif isinstance(effect, events.Reply):
                node.replies.append(effect)
            elif isinstance(effect, events.LeaveConfirmed):
                node.confirmed_leaves.add(effect.upstream_id)
        # A gateway sends to owners in the order of a set, which differs by process, and
        # the random loss and delay are drawn per message. So the messages are sorted by
        # receiver; those to one receiver stay in order.
        for peer, message in sorted(sent, key=lambda each: each[0]):
            self._send(node, peer, in_order(message))

    def _send(self, node, receiver, message):
        self.n_sent += 1
        event = events.Received(node.process_id, node.incarnation, message)
        if (node.process_id, receiver) in self.cut:
            if self.holds_on_cut:
                self.held.append((node.process_id, receiver, event))
            return
        if self.drop(node.process_id, receiver, message):
            return
        if self.random.random() < self.loss:
            return
        n_copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(n_copies):
            delay = LATENCY + self.random.random() * self.max_delay
            self.in_flight.append((self.now + delay, node.process_id, receiver, event))

    def _deliver(self):
        for _ in range(20):
            due = [entry for entry in self.in_flight if entry[0] <= self.now + LATENCY]
            if not due:
                return
            self.in_flight = [
                entry for entry in self.in_flight if entry[0] > self.now + LATENCY
            ]
            due.sort(key=lambda entry: entry[0])
            for _, _, receiver, event in due:
                node = self.nodes_by_id[receiver]
                if node.core is None:
                    continue
                if node.is_suspended:
                    node.waiting.append(event)
                else:
                    self._step(node, event)


def in_order(message):
    """Return a message whose lists, made from sets, are sorted."""
    if not isinstance(message, messages.Relayed):
        return message
    late_homes = tuple(sorted(message.late_homes, key=lambda late: late.home))
    late = tuple(sorted(message.late, key=lambda late: (late.home, late.upstream_id)))
    return attrs.evolve(message, late_homes=late_homes, late=late)


def left(record):
    return record is not None and record.state == records.STATE_LEFT
