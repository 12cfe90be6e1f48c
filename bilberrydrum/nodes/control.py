"""The control process: a replica of the control group, and calls to its leader.

Only the modules whose commands can be in the group's log are imported. Importing the
other parts of the state machine would double the time to start.
"""

from typing import TYPE_CHECKING

from bilberrydrum.fleet import control
from bilberrydrum.nodes import groups, links, options
from bilberrydrum.state import fencing, replica

# Its commands may be in the log.
from bilberrydrum.usage import commands as usage_commands  # noqa: F401

if TYPE_CHECKING:
    from bilberrydrum.usage import reporter

# An upstream is marked silent after this many announcement intervals without one.
_MISSED_ANNOUNCEMENTS = 3.5


class Control:
    """The parts of one control process."""

    def __init__(
        self,
        node: options.NodeOptions,
        reports: "reporter.ReportProtocol | None" = None,
    ) -> None:
        """Make the parts; nothing runs before `start`.

        `reports` is the protocol of usage reports; None if usage is not reported.
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
        """Return why the process must exit, or an empty string."""
        return groups.failure_of(self.replica)

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses from changed settings."""
        self.calls.learn(addresses)
        self.replica.learn(addresses)

    def stop(self) -> None:
        """Stop all tasks; transfer the leadership if this process has it."""
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
    # Imported only where usage is reported, as the HTTP client adds 23 ms to each start
    # and 1.6 MB of memory.
    from bilberrydrum.requests import connections, single_calls
    from bilberrydrum.usage import reporter

    pool = connections.ConnectionPool()
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
