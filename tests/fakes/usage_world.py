"""A control group, gateways and the receiver of reports, with a manual clock."""

import contextlib

import attrs
import result

from bilberrydrum import interfaces, reasons
from bilberrydrum.state import client, fencing, machine
from bilberrydrum.usage import meter, model, reporter
from tests import helpers
from tests.fakes import receiver

OPTIONS = model.UsageOptions(5.0, 10.0, "outside")
# The time of day, in seconds, when the hub's clock shows 1,000; a window begins then.
UNIX = 1_700_000_000.0
FIRST = model.window_at(UNIX, 5.0)


class Group:
    """A control group of several replicas that share one state; one of them leads."""

    def __init__(self, clock):
        self.clock = clock
        self.state_ = machine.State()
        self.term = 0
        self.leader = None
        self.index = 0
        # Whether commands are applied but their answers lost.
        self.loses_answers = False

    def elect(self, replica):
        self.term += 1
        self.leader = replica
        replica.held = interfaces.Leadership(self.term, self.clock.now)

    def commit(self, replica, command):
        if replica is not self.leader or replica.is_deposed():
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        self.index += 1
        context = machine.Context(self.index, self.clock.now)
        answer = machine.apply(command, self.state_, context)
        if self.loses_answers:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE, True))
        return result.Ok(answer)


@attrs.define(eq=False)
class Replica:
    """One replica; it learns that it was deposed when it checks its leadership."""

    group: Group
    held: interfaces.Leadership | None = None

    def is_deposed(self):
        return self.held is None or self.held.term != self.group.term

    def leadership(self):
        return None if self.is_deposed() else self.held

    def state(self):
        return self.group.state_

    def propose(self, command, timeout=5.0):
        return self.group.commit(self, command)


class World:
    """Three control processes, two gateways, and the receiver."""

    def __init__(self, clock, is_fenced=True):
        self.clock = clock
        self.receiver = receiver.Receiver(is_fenced)
        self.group = Group(clock)
        self.replicas = [Replica(self.group) for _ in range(3)]
        self.reporters = [
            self.make_reporter(n, each, is_fenced)
            for n, each in enumerate(self.replicas)
        ]
        self.meters = {f"g{n}": meter.Meter(5.0) for n in range(2)}
        # Numbers of requests that upstreams began, by window and account.
        self.truth = {}
        self.lead(0)

    def make_reporter(self, n, replica, is_fenced):
        reporter_ = reporter.UsageReporter(
            OPTIONS,
            replica,
            receiver.PlainReports(),
            f"control-{n}",
            fencing.FencingGuard(replica, 3.0, is_fenced),
            self.receiver.call,
        )
        reporter_.unix_time = lambda: UNIX + self.clock.now - 1000.0
        return reporter_

    def lead(self, n):
        self.group.elect(self.replicas[n])

    def renew(self, address):
        leading = [
            each
            for each, replica in zip(self.reporters, self.replicas, strict=True)
            if replica.leadership() is not None
        ]
        for each in leading:
            snapshot = self.meters[address].snapshot()
            each.handle_renewal(address, 0.0, snapshot)
            self.meters[address].update(
                each.unix_time(), self.clock.now, self.clock.now, each.closed_before()
            )

    def serve(self, address, account="acme"):
        with meter.attempt(self.meters[address], account) as attempt:
            attempt.began_at = self.clock.now
        window = model.window_at(UNIX + self.clock.now - 1000.0, 5.0)
        counts = self.truth.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1

    def step(self, seconds=0.5):
        self.clock.advance(seconds)
        for address in self.meters:
            self.renew(address)
        for each in self.reporters:
            each.close_windows()
            each.report()

    def run(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.step()


@contextlib.contextmanager
def world(is_fenced=True):
    with helpers.manual_clock() as clock:
        world_ = World(clock, is_fenced)
        world_.run(4.0)
        yield world_
