"""The control process: a replica of the control group, and the way to its leader.

The group's log holds commands of `fleet.commands` only, so no other part of the state
machine is imported: that would double the time to start.
"""

from typing import TYPE_CHECKING

from bilberrydrum.fleet import control
from bilberrydrum.nodes import groups, links, options
from bilberrydrum.state import fencing, replica

# Its commands may be in the log.
from bilberrydrum.usage import commands as usage_commands  # noqa: F401

if TYPE_CHECKING:
    from bilberrydrum.usage import reporter

# An upstream is called silent after this many announcements that did not come.
_MISSED_ANNOUNCEMENTS = 3.5


class Control:
    """The parts of one control process."""

    def __init__(
        self,
        node: options.NodeOptions,
        reports: "reporter.ReportProtocol | None" = None,
    ) -> None:
        """Make the parts; nothing runs before `start`.

        `reports` says how use is reported; None: it is not.
        """
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
            _make_reporter(node, self.replica, reports),
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


def _make_reporter(
    node: options.NodeOptions,
    replica_: replica.Replica,
    reports: "reporter.ReportProtocol | None",
) -> "reporter.UsageReporter | None":
    if node.usage is None or reports is None:
        return None
    # Imported where it is needed: the HTTP client takes 23 ms of each start, 1.6 MB.
    from bilberrydrum.requests import connections, single_calls
    from bilberrydrum.usage import reporter

    pool = connections.Connections()
    address = node.usage.address
    return reporter.UsageReporter(
        node.usage,
        replica_,
        reports,
        node.name,
        fencing.FencingGuard(
            replica_, node.order_lease_seconds, node.do_upstreams_check_fencing
        ),
        lambda prepare: single_calls.call(
            pool, address, prepare, reporter.ANSWER_SECONDS, "usage"
        ),
    )
