"""The control process: a replica of the control group, and the way to its leader.

The group's log holds commands of `fleet.commands` only, so no other part of the state
machine is imported: that would double the time to start.
"""

from bilberrydrum.fleet import control
from bilberrydrum.nodes import groups, links, options
from bilberrydrum.state import replica

# An upstream is called silent after this many announcements that did not come.
_MISSED_ANNOUNCEMENTS = 3.5


class Control:
    """The parts of one control process."""

    def __init__(self, node: options.NodeOptions) -> None:
        self._link = links.ControlLink(node)
        self.calls = self._link.calls
        self.replica = replica.Replica(groups.control_options(node), self._link.carrier)
        self.service = control.ControlService(
            control.ControlOptions(
                silent_seconds=_MISSED_ANNOUNCEMENTS * node.announce_seconds,
                n_store_voters=node.n_voters(),
            ),
            self.replica,
            self._link.carrier,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._link.carrier.start()
        groups.start_replica(self.replica)
        self.service.start()

    def failure(self) -> str:
        """Return why the process cannot go on; empty: it can."""
        return groups.failure_of(self.replica)

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take over control addresses from changed settings."""
        self.calls.learn(addresses)
        self.replica.learn(addresses)

    def stop(self) -> None:
        """End all tasks; the leadership is handed over."""
        self.service.stop()
        self.replica.stop()
        self._link.carrier.stop()
