"""Bootstrap of the stores' group and retirement of stores, by the control leader.

The decisions are made in `bootstrap` and `retirement`.
"""

from collections.abc import Callable
from typing import Any, Final

import eliot

from bilberrydrum import clock, transport
from bilberrydrum.fleet import bootstrap, commands, messages, retirement, subscribers
from bilberrydrum.state import replica

# How long the leader waits after the first store has asked to bootstrap the group, in
# seconds, so that it chooses among all stores that start with the deployment. They
# start within 0.3 s of each other, and their requests arrive about 0.5 s later.
BOOTSTRAP_WAIT_SECONDS: Final = 1.5


class StoreCalls:
    """The part of the leader that handles the stores."""

    def __init__(
        self,
        replica_: replica.Replica,
        known: subscribers.Subscribers,
        n_voters: int,
        seconds_as_leader: Callable[[], float],
    ) -> None:
        """Make the handler of one leader.

        Parameters
        ----------
        n_voters : int
            Number of voting replicas of the stores' group.
        seconds_as_leader : callable
            Returns for how many seconds this replica has been the leader.
        """
        self._replica = replica_
        self._subscribers = known
        self._n_voters = n_voters
        self._seconds_as_leader = seconds_as_leader
        # When each store first asked to be an initial member of the group, by address.
        self._bootstrap_requests: dict[str, float] = {}

    def clear(self) -> None:
        """Forget the requests to bootstrap; stores repeat them to each new leader."""
        self._bootstrap_requests.clear()

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    def _commit(self, command: object) -> bool:
        return self._replica.propose(command, commands.COMMIT_SECONDS).is_ok()

    def record_store(self, message: messages.Subscribe) -> None:
        """Record a store that has renewed its subscription."""
        command = commands.PutStore(
            message.store_name, message.store_address, message.store_zone
        )
        if not self._section().is_store_recorded(command):
            self._commit(command)
        if message.may_found:
            self._bootstrap_requests.setdefault(message.store_address, clock.now())

    def choose_initial_members(self) -> None:
        """Choose the initial members of the group once all stores had time to ask."""
        if not self._bootstrap_requests or self._section().founder_addresses:
            return
        if (
            clock.now() - min(self._bootstrap_requests.values())
            < BOOTSTRAP_WAIT_SECONDS
        ):
            return
        stores = self._section().stores_by_name.values()
        zones = {each.address: each.availability_zone for each in stores}
        addresses = bootstrap.choose(self._bootstrap_requests, zones, self._n_voters)
        if self._commit(commands.BootstrapStores(addresses)):
            eliot.log_message(message_type="stores:bootstrapped", addresses=addresses)

    def on_begin_retirement(
        self, sender: transport.Sender, message: messages.BeginRetirement
    ) -> Any:
        """Start the retirement of a store, if enough other stores are running."""
        if self._seconds_as_leader() <= subscribers.SUBSCRIPTION_SECONDS:
            # Too early in the term to know which stores are running.
            return None
        section = self._section()
        known = section.stores_by_name.get(message.name)
        if known is None:
            return messages.Retirement(is_known=False)
        if known.retiring_index:
            return messages.Retirement()
        live = self._subscribers.live_store_addresses()
        if not retirement.may_retire(
            known, section.stores_by_name.values(), live, self._n_voters
        ):
            return messages.Retirement(is_refused=True)
        if not self._commit(commands.RetireStore(message.name)):
            return None
        eliot.log_message(
            message_type="stores:retiring",
            name=message.name,
            live_addresses=sorted(live),
        )
        return messages.Retirement()

    def on_read_retirement(
        self, sender: transport.Sender, message: messages.ReadRetirement
    ) -> Any:
        """Return the progress of a store's retirement."""
        known = self._section().stores_by_name.get(message.name)
        if known is None or not known.retiring_index:
            return messages.Retirement(is_known=known is not None)
        reports = [
            retirement.Report(
                each.request.store_term,
                each.request.registry_index,
                each.request.store_voter_addresses,
            )
            for each in self._subscribers.live().values()
            if each.request.store_term
        ]
        is_done = retirement.is_done(known, reports, self._n_voters)
        return messages.Retirement(is_done=is_done)
