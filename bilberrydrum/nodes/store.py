"""The store: a replica of the stores' group, and the tasks that run batches.

The group's log holds only commands of `batches.commands`, so no other part of the state
machine is imported, as that would double the time to start.
"""

import random

import eventlet

from bilberrydrum import clock, memory, tasks, upstream_protocol
from bilberrydrum.batches import service
from bilberrydrum.fleet import messages, subscriber
from bilberrydrum.nodes import groups, links, options
from bilberrydrum.relay import balancing, crash_watch, relay
from bilberrydrum.requests import answer_memory, attempts, connections, watch
from bilberrydrum.state import fencing, files, replica, storage
from bilberrydrum.state import node as state_node

_POLL_SECONDS = 0.1


class Store:
    """The parts of one store."""

    def __init__(
        self,
        node: options.NodeOptions,
        protocol: upstream_protocol.UpstreamProtocol,
    ) -> None:
        self._node = node
        self._protocol = protocol
        self._budget = memory.Budget.of_process(node.limits.memory_mb)
        self._control = links.ControlLink(node)
        self._stores = links.StoreLink(node)
        self.view = subscriber.Subscriber(
            self._control.carrier, self._control.calls, self._make_request
        )
        self.view.watch(self._on_registry_change)
        self._clients = watch.ClientWatch()
        self._pool = connections.ConnectionPool()
        # Crashes of upstreams that ran scoring requests, and of engines that ran items.
        self._crashes = crash_watch.CrashWatch(
            self.view, self._control.calls, is_owed=True
        )
        self._item_crashes = crash_watch.CrashWatch(
            self.view, self._control.calls, is_crowded=True, is_owed=True
        )
        self.replica: replica.Replica | None = None
        self.service: service.BatchService | None = None
        # Why the start failed; empty if it has not.
        self._start_failure = ""
        self._starter: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start all tasks; the replica starts once the initial members are known."""
        self._control.carrier.start()
        self._stores.carrier.start()
        self._clients.start()
        self.view.start()
        self._crashes.start()
        self._item_crashes.start()
        self._starter = eventlet.spawn(self._start_or_fail)

    def _start_or_fail(self) -> None:
        try:
            self._start_replica()
        except tasks.UNEXPECTED_ERRORS as error:
            # Only a part of the store would run, to no use. After a restart it opens
            # its data folder again.
            tasks.record_error("store-start")
            self._start_failure = f"start failed: {error!r}"

    def _start_replica(self) -> None:
        # The control group chooses the initial members of the group, as stores with
        # lists of their own could each start a group. A store that holds data has the
        # membership in it, so after a power loss everywhere it does not wait for the
        # control group.
        is_known = self._holds_data() and not self._node.is_first_start
        while not self.view.registry.founder_addresses and not is_known:
            clock.sleep(_POLL_SECONDS)
        initial_members = self.view.registry.founder_addresses
        self.replica = replica.Replica(
            groups.store_options(self._node, initial_members), self._stores.carrier
        )
        groups.start_replica(self.replica)
        if self.replica.failure:
            return
        resources = attempts.Resources(
            self._pool,
            self._clients,
            answer_memory.AnswerMemory(self._node.answer_memory_bytes),
        )
        self.service = service.BatchService(
            self.replica,
            self._stores.carrier,
            self.view,
            self._protocol,
            resources,
            self._make_relay(resources),
            self._item_crashes,
            self._node.retention_seconds,
            fencing.FencingGuard(
                self.replica,
                self._node.order_lease_seconds,
                self._node.do_upstreams_check_fencing,
            ),
            self._budget.max_bytes,
        )
        self.service.start()
        self._on_registry_change()

    def _make_relay(self, resources: attempts.Resources) -> relay.Relay:
        rng = random.Random()
        balancer = balancing.Balancer(self._node.availability_zone, rng)
        return relay.Relay(
            self._protocol, self.view, resources, balancer, rng, self._crashes
        )

    def _holds_data(self) -> bool:
        return storage.holds_log(files.DiskFiles(), self._node.data_folder)

    def _make_request(self) -> messages.Subscribe:
        term = 0
        voters: tuple[str, ...] = ()
        if self.replica is not None and self.replica.leadership() is not None:
            state = self.replica.node
            if state.membership_index <= state.commit_index:
                term = state.term
                voters = _voter_addresses(state)
        return messages.Subscribe(
            store_name=self._node.name,
            store_address=self._node.store_address,
            may_found=self._node.is_first_start,
            store_term=term,
            store_voter_addresses=voters,
            store_zone=self._node.availability_zone,
        )

    def _on_registry_change(self) -> None:
        if self.replica is None:
            return
        stores = self.view.registry.stores
        self.replica.learn(tuple(each.address for each in stores))
        self.replica.spread_over(
            {each.address: each.availability_zone for each in stores}
        )
        self.replica.replace_processes(
            frozenset(each.address for each in stores if each.retiring_index)
        )

    def failure(self) -> str:
        """Return why the process must exit, or an empty string."""
        if self._start_failure:
            return self._start_failure
        return groups.failure_of(self.replica) if self.replica is not None else ""

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses from changed settings."""
        self._control.calls.learn(addresses)

    def stop(self) -> None:
        """Stop all tasks; transfer the leadership if this process has it."""
        if self._starter is not None:
            self._starter.kill()
        if self.service is not None:
            self.service.stop()
        if self.replica is not None:
            self.replica.stop()
        self._crashes.stop()
        self._item_crashes.stop()
        self.view.stop()
        self._clients.stop()
        self._pool.close()
        self._control.carrier.stop()
        self._stores.carrier.stop()


def _voter_addresses(state: state_node.Node) -> tuple[str, ...]:
    return tuple(e.peer_address for e in state.members.replicas if e.is_voter)
