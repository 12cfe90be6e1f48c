"""Upstreams that restart under their id, and announcements that arrive late."""

import random
import unittest

import eventlet
from nose2 import tools

from bilberrydrum.fleet import (
    commands,
    control,
    incarnations,
    messages,
    model,
    policy,
)
from bilberrydrum.fleet import liveness as fleet_liveness
from bilberrydrum.state import machine
from tests import helpers
from tests.fakes import lone_leader

SERVICE = "s"
# Upstreams announce themselves this often, in seconds.
ANNOUNCE_SECONDS = 1.2
SILENT_SECONDS = 4.0


def upstream(name="i-1", start=None, sequence=1, address="1.1.1.1:80", **fields):
    values = {"service": SERVICE, **fields}
    service = values.pop("service")
    return model.FleetUpstream(
        name,
        service,
        address,
        "zone",
        6,
        sequence=sequence,
        started_at_ms=start,
        **values,
    )


def leaving(*args, **fields):
    return upstream(*args, is_leaving=True, **fields)


class Leader:
    """The control group's leader, which gets one message at a time."""

    def __init__(self, clock):
        self.clock = clock
        self.replica = lone_leader.LoneLeader(clock)
        self.carrier = lone_leader.Carrier()
        options = control.ControlOptions(SILENT_SECONDS)
        self.service = control.ControlService(options, self.replica, self.carrier)
        self.service.start()

    def send(self, message):
        self.carrier.handlers_by_class[type(message)](None, message)
        # Let the task that sends the answer run.
        eventlet.sleep(0)
        eventlet.sleep(0)
        return self.carrier.answers.pop()

    def announce(self, announced):
        """Return whether the announcement was acknowledged."""
        return isinstance(self.send(messages.Announce(announced)), messages.Done)

    def depart(self, name, start=None):
        return self.send(messages.Depart(name, start))

    def put_policy(self, *services):
        known = tuple(policy.Service(each) for each in services)
        self.send(messages.SubmitPolicy(policy.Policy(1, (), known), b""))

    @property
    def section(self):
        return commands.section_of(self.replica.state())

    def known(self):
        return [
            (each.upstream_id, each.is_leaving)
            for each in self.section.upstreams_by_id.values()
        ]


class LeaderCase(unittest.TestCase):
    """Base of the tests that send messages to a leader."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.leader = Leader(self.clock)
        self.addCleanup(self.leader.service.stop)


class NewIncarnations(LeaderCase):
    """An upstream crashes and restarts under its id; earlier announcements come late.

    If the incarnations were not distinguished, the new one's announcements would be
    dropped as stale (their sequence numbers start again), its weight versions would be
    mixed up with the earlier ones, and an upstream that restarts after it announced
    that it is leaving would stay excluded. Late announcements of the earlier
    incarnation must change nothing.
    """

    @tools.params(
        ("first", [upstream(start=5)], [("i-1/5", False)]),
        (
            "restarts within a second; sequence numbers start again",
            [upstream(start=5, sequence=9), upstream(start=6, sequence=1)],
            [("i-1/6", False)],
        ),
        (
            "restarts at another address",
            [upstream(start=5), upstream(start=6, address="1.1.1.2:80")],
            [("i-1/6", False)],
        ),
        (
            "announcement of the earlier one after that of the new one",
            [upstream(start=6), upstream(start=5, sequence=99)],
            [("i-1/6", False)],
        ),
        (
            "the earlier one is leaving, after the start of the new one",
            [upstream(start=6), leaving(start=5, sequence=99)],
            [("i-1/6", False)],
        ),
        (
            "one that was leaving restarts",
            [leaving(start=5, sequence=9), upstream(start=6)],
            [("i-1/6", False)],
        ),
        (
            "the same start: one incarnation, in the order of sequence numbers",
            [upstream(start=5, sequence=9), leaving(start=5, sequence=8)],
            [("i-1/5", False)],
        ),
        (
            "the same start: a later announcement does not undo leaving",
            [leaving(start=5, sequence=9), upstream(start=5, sequence=10)],
            [("i-1/5", True)],
        ),
        (
            "an announcement without a start replaces none that has it",
            [upstream(start=5), upstream(sequence=99)],
            [("i-1/5", False)],
        ),
        (
            "one with a start replaces one without",
            [upstream(sequence=99), upstream(start=5)],
            [("i-1/5", False)],
        ),
        (
            "another upstream starts at the address",
            [upstream(start=5), upstream("i-2", start=6)],
            [("i-2/6", False)],
        ),
        (
            "announcement of an earlier upstream after its address was reused",
            [upstream("i-2", start=6), upstream(start=5, sequence=9)],
            [("i-2/6", False)],
        ),
        (
            "without starts, the previous upstream at the address is older",
            [upstream(), upstream("i-2"), upstream(sequence=9)],
            [("i-2", False)],
        ),
    )
    def test_announced(self, name, announced, expected):
        for each in announced:
            self.leader.announce(each)
            self.clock.advance(0.1)
        self.assertEqual(self.leader.known(), expected, name)

    @tools.params(
        ("the registered one", [upstream(start=5)], 5, []),
        ("no start given", [upstream(start=5)], None, []),
        (
            "the previous one, late",
            [upstream(start=5), upstream(start=6)],
            5,
            [("i-1/6", False)],
        ),
        ("one that was never announced", [upstream(start=5)], 6, []),
    )
    def test_departed(self, name, announced, start, expected):
        for each in announced:
            self.leader.announce(each)
        self.assertIsInstance(self.leader.depart("i-1", start), messages.Done)
        self.assertEqual(self.leader.known(), expected, name)

    @tools.params(
        ("the same one", upstream(start=5, sequence=99), []),
        ("an earlier one", upstream(start=4, sequence=99), []),
        ("one without a start", upstream(sequence=99), []),
        ("the next one", upstream(start=6), [("i-1/6", False)]),
    )
    def test_announced_after_a_departure(self, name, announced, expected):
        self.leader.announce(upstream(start=5))
        self.leader.depart("i-1", 5)
        self.leader.announce(announced)
        self.assertEqual(self.leader.known(), expected, name)

    def test_another_leader_in_between(self):
        """The leader is replaced after a restart; the new leader knows only the log.

        It must not accept a late announcement of the earlier incarnation just because
        it is the first announcement that it receives.
        """
        self.leader.announce(upstream(start=5, sequence=50))
        self.leader.announce(upstream(start=6))
        self.leader.replica.held = lone_leader.Leadership(2)
        self.leader.announce(upstream(start=5, sequence=51))
        self.assertEqual(self.leader.known(), [("i-1/6", False)])

    def test_registered_again_after_a_long_partition(self):
        """An upstream is partitioned until it is removed, then announces itself again.

        It never departed. If it stayed excluded, it would run without any requests.
        """
        self.leader.announce(upstream(sequence=3))
        self.leader.replica.propose(commands.RemoveUpstreams(("i-1",)))
        self.leader.announce(upstream(sequence=3))
        self.assertEqual(self.leader.known(), [])
        self.leader.announce(upstream(sequence=40))
        self.assertEqual(self.leader.known(), [("i-1", False)])


class UnconfirmedAnnouncements(LeaderCase):
    """A replaced incarnation's announcement is not acknowledged at first.

    Mostly it was delayed on its way. But the clock of a host may have gone back over a
    restart, or the first announcement of a crashed upstream may have arrived after that
    of its successor and replaced it. Then the unconfirmed incarnation is the running
    one: it goes on to announce itself, while the other one does not.
    """

    def announce_for(self, seconds, *makers):
        """Announce for some seconds; return whether the last one was acknowledged."""
        is_acknowledged = False
        for number in range(int(seconds / ANNOUNCE_SECONDS) + 1):
            for make in makers:
                is_acknowledged = self.leader.announce(make(100 + number))
            self.clock.advance(ANNOUNCE_SECONDS)
        return is_acknowledged

    @tools.params(
        ("clock went back", upstream(start=9), lambda n: upstream(start=5, sequence=n)),
        (
            "same address, starts given",
            upstream("i-2", start=9),
            lambda n: upstream(start=5, sequence=n),
        ),
    )
    def test_confirmed_once_the_other_is_silent(self, name, first, make):
        self.leader.announce(first)
        self.assertFalse(self.announce_for(SILENT_SECONDS - 1.0, make))
        self.assertEqual(self.leader.known(), [(first.upstream_id, False)], name)
        self.assertTrue(self.announce_for(SILENT_SECONDS, make), name)
        self.assertEqual(self.leader.known(), [("i-1/5", False)], name)

    def test_not_confirmed_while_the_other_announces_itself(self):
        self.leader.announce(upstream(start=9))
        self.announce_for(
            20.0,
            lambda n: upstream(start=5, sequence=n),
            lambda n: upstream(start=9, sequence=n),
        )
        self.assertEqual(self.leader.known(), [("i-1/9", False)])

    def test_repeated_announcement_is_not_confirmed(self):
        """A delayed announcement is retried, always with the same sequence number."""
        self.leader.announce(upstream(start=9))
        self.announce_for(20.0, lambda n: upstream(start=5, sequence=7))
        self.assertEqual(self.leader.known(), [("i-1/9", False)])

    def test_leaving_is_not_acknowledged_while_unconfirmed(self):
        """After an acknowledgement it would stop, though it is still sent requests."""
        self.leader.announce(upstream(start=9))
        answer = self.leader.send(messages.Announce(leaving(start=5)))
        self.assertIsInstance(answer, messages.AnnouncementRejected)

    def test_confirmation_takes_time(self):
        detector = fleet_liveness.Liveness(SILENT_SECONDS, 32.0)
        detector.reset(0.0)
        detector.record_announcement(upstream("i-2"), 1.0)
        answers = [
            detector.is_established(upstream(sequence=n), ("i-2",), at)
            for n, at in ((1, 2.0), (2, 5.9), (3, 6.1))
        ]
        self.assertEqual(answers, [False, False, True])


class AnnouncementsDelayedByPartition(LeaderCase):
    """Engines crash in a partition, and others without start times reuse the addresses.

    Announcements of the crashed engines arrive in the seconds after the partition. Each
    one that is accepted reassigns the address to an engine that no longer runs, and
    requests to it fail until the running one announces itself again. After one such
    partition, this happened 11 times within 3 s.
    """

    @tools.params(*range(5))
    def test_addresses_stay_with_running_engines(self, seed):
        rng = random.Random(seed)
        names = [f"i-{n}" for n in range(8)]
        for n, name in enumerate(names):
            self.leader.announce(upstream(name, address=f"1.1.1.{n}:80"))
        self.clock.advance(5.0)
        announcements = [
            (rng.uniform(0.0, ANNOUNCE_SECONDS) + ANNOUNCE_SECONDS * k, f"new-{n}", k)
            for n in range(len(names))
            for k in range(6)
        ]
        late = [
            (rng.uniform(0.1, 5.0), name, 1 + rng.randint(1, 5))
            for name in names
            for _ in range(3)
        ]
        n_reverted, began, at_before = 0, self.clock.now, {}
        for at, name, sequence in sorted(announcements + late):
            self.clock.now = began + at
            number = name.partition("-")[2]
            self.leader.announce(
                upstream(name, sequence=sequence, address=f"1.1.1.{number}:80")
            )
            holders = {e.address: e.upstream_id for e in self.registered()}
            n_reverted += sum(
                at_before.get(address, "").startswith("new") and holder[:3] != "new"
                for address, holder in holders.items()
            )
            at_before = holders
        self.assertEqual(n_reverted, 0)
        self.assertEqual({e.upstream_id[:3] for e in self.registered()}, {"new"})

    def registered(self):
        return list(self.leader.section.upstreams_by_id.values())


class UnknownServices(LeaderCase):
    """Announcements of services that are not in the policy replace no upstream."""

    def test_rejected_under_a_policy(self):
        self.leader.put_policy(SERVICE)
        self.leader.announce(upstream(start=5))
        for announced in (
            upstream("i-9", start=9, service="other"),
            upstream(start=9, service="other"),
            upstream(start=5, sequence=9, service="other"),
        ):
            self.assertFalse(self.leader.announce(announced))
        self.assertEqual(self.leader.known(), [("i-1/5", False)])

    def test_accepted_before_the_first_policy(self):
        """Upstreams may announce themselves before the operator's first policy."""
        self.assertTrue(self.leader.announce(upstream()))

    def test_leaving_after_the_service_was_dropped(self):
        """Upstreams of a removed service leave; their notice must be acknowledged."""
        self.leader.announce(upstream())
        self.leader.put_policy("other")
        self.assertTrue(self.leader.announce(leaving(sequence=2)))
        self.assertEqual(self.leader.known(), [("i-1", True)])


class CompleteFleet(unittest.TestCase):
    """Assessing a registered upstream alone gives the same as with the fleet."""

    def test_same_assessment(self):
        rng = random.Random(7)
        section = commands.Section()
        state = machine.State()
        state.sections[commands.SECTION] = section
        n_known = 0
        for index in range(3_000):
            announced = upstream(
                f"i-{rng.randrange(6)}",
                start=rng.choice([None, 1, 2, 3]),
                sequence=rng.randrange(8),
                address=f"1.1.1.{rng.randrange(5)}:80",
            )
            n_known += announced.upstream_id in section.upstreams_by_id
            former = section.formers_by_announced_id.get(announced.announced_id)
            expected = incarnations.assess(
                announced, section.upstreams_by_id.values(), former
            )
            self.assertEqual(section.assess(announced), expected, index)
            command = commands.PutUpstream(announced, rng.random() < 0.3)
            machine.apply(command, state, machine.Context(index, float(index)))
        self.assertGreater(n_known, 100)
