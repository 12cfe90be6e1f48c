"""What gateways learn from each other of failed upstreams."""

import json
import pathlib
import unittest
from unittest import mock

import attrs
import eventlet
import msgpack
import result
from nose2 import tools

from bilberrydrum import codec, reasons, upstream_protocol
from bilberrydrum.fleet import messages, subscriber, upstream_health
from bilberrydrum.nodes import gateway, options
from bilberrydrum.relay import balancing, shared_health
from bilberrydrum.state import client
from tests import helpers, test_fleet_incarnations
from tests.fakes import node_protocol

STORED = pathlib.Path(__file__).resolve().parent / "stored" / "values.json"
NO_LEADER = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
ANSWER = upstream_protocol.AnswerHead()
Observation = upstream_health.Observation


class Link:
    """A gateway's calls to the leader; each message is encoded and decoded."""

    def __init__(self, leader, address):
        self.leader = leader
        self.sender = mock.Mock(address=address)
        self.is_cut = False
        # The leader receives renewals, but its answers are lost.
        self.loses_answers = False
        self.requests = []
        self.feeds = []

    def learn(self, addresses):
        pass

    def call(self, request, timeout):
        if self.is_cut:
            return NO_LEADER
        carrier = self.leader.carrier
        data = codec.encode(request)
        self.requests.append(data)
        carrier.handlers_by_class[messages.Subscribe](self.sender, codec.decode(data))
        eventlet.sleep(0)
        eventlet.sleep(0)
        data = codec.encode(carrier.answers.pop())
        if self.loses_answers:
            return NO_LEADER
        self.feeds.append(data)
        return result.Ok(codec.decode(data))


class Gateway:
    """A gateway whose attempts at upstreams fail or succeed as a test says."""

    def __init__(self, leader, number, clock):
        address = f"10.0.0.{number}:1"
        node = options.NodeOptions(
            options.Role.GATEWAY, f"g{number}", "zone", address, address, (address,)
        )
        self.clock = clock
        self.gateway = gateway.Gateway(node, node_protocol.PlainProtocol())
        self.link = Link(leader, address)
        self.gateway.view._calls = self.link
        self.balancer = self.gateway.relay._balancer

    def renew(self):
        self.gateway.view.renew()

    def fail(self, upstream_id="u0"):
        self.balancer.record_failure(upstream_id, self.clock.now)

    def answer(self, upstream_id="u0"):
        self.balancer.record_success(upstream_id, ANSWER, self.clock.now)

    def avoids(self, upstream_id="u0"):
        return self.balancer._backoff_of(upstream_id, self.clock.now) > 0

    def observations(self):
        """Return those of the last renewal, and of its answer."""
        sent = codec.decode(self.link.requests[-1]).observations
        return sent, codec.decode(self.link.feeds[-1]).observations


class FleetCase(unittest.TestCase):
    """A control leader and gateways that renew when a test says so."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.leader = test_fleet_incarnations.Leader(self.clock)
        self.addCleanup(self.leader.service.stop)
        self.leader.put_policy(test_fleet_incarnations.SERVICE)
        self.register("u0", "u1")
        self.gateways = [Gateway(self.leader, n, self.clock) for n in range(6)]
        self.renew()

    def register(self, *names):
        for n, name in enumerate(names):
            upstream = test_fleet_incarnations.upstream(name, address=f"1.1.1.{n}:80")
            self.assertTrue(self.leader.announce(upstream))

    def renew(self, n_times=1):
        """Let all gateways renew, in the order of their numbers."""
        for _ in range(n_times):
            self.clock.advance(subscriber.RENEW_SECONDS)
            for each in self.gateways:
                each.renew()

    def avoiding(self, upstream_id="u0"):
        """Return the numbers of the gateways that avoid the upstream."""
        return [n for n, each in enumerate(self.gateways) if each.avoids(upstream_id)]

    def fail_at(self, *numbers):
        for number in numbers:
            self.gateways[number].fail()


class SharedFailures(FleetCase):
    """Failures of an upstream at some gateways, and what the others do."""

    @tools.params((2, 1.0), (3, 2.0), (4, 4.0), (5, 4.0))
    def test_pause_by_number_of_gateways(self, n_gateways, seconds):
        """A gateway that has sent nothing for seconds tries a failed upstream first."""
        failed_at = self.clock.now
        self.fail_at(*range(n_gateways))
        self.renew()
        self.assertIn(5, self.avoiding())
        self.clock.advance(failed_at + seconds - self.clock.now - 0.01)
        self.assertIn(5, self.avoiding())
        self.clock.advance(0.02)
        self.assertEqual(self.avoiding(), [])

    def test_gateway_cut_off_from_an_upstream(self):
        """A gateway's broken link makes the upstream unavailable to all gateways.

        Only this gateway cannot reach it, and fails there for ten seconds. Failures of
        one gateway alone must not count for others, however many there are.
        """
        for _ in range(20):
            self.fail_at(0)
            self.renew()
            self.assertLessEqual(set(self.avoiding()), {0})

    @tools.params((1.9, True), (2.1, False))
    def test_time_between_failures(self, seconds, expected):
        """Two unrelated failures make an upstream unavailable to all gateways."""
        self.fail_at(0)
        self.renew()
        self.clock.advance(seconds - subscriber.RENEW_SECONDS)
        self.fail_at(1)
        self.renew()
        self.assertEqual(5 in self.avoiding(), expected)

    def test_answer_ends_the_pause(self):
        """An upstream gets no requests for seconds after it has recovered."""
        self.fail_at(0, 1, 2, 3)
        self.renew()
        self.clock.advance(0.6)
        self.gateways[4].answer()
        self.assertNotIn(4, self.avoiding())
        self.renew(2)
        self.assertEqual(self.avoiding(), [])

    def test_answer_to_others_does_not_end_own_failures(self):
        """A gateway that is cut off from an upstream tries it with each request.

        The upstream answers other gateways, and their answers ended the pause of this
        one as well.
        """
        for _ in range(4):
            self.fail_at(0)
        self.fail_at(1)
        self.renew()
        self.gateways[4].answer()
        self.renew(2)
        self.assertEqual(self.avoiding(), [0])

    def test_own_answer_overrides_earlier_failures(self):
        """Failures that others saw before the last own answer are applied after it."""
        self.fail_at(0, 1)
        self.clock.advance(0.2)
        self.gateways[5].answer()
        self.renew()
        self.assertNotIn(5, self.avoiding())
        self.fail_at(0, 1)
        self.renew()
        self.assertIn(5, self.avoiding())

    def test_failing_again_after_the_longest_pause(self):
        """The first pauses of an upstream that is down for long are short each time."""
        self.fail_at(0, 1, 2, 3)
        self.renew(9)
        self.assertEqual(self.avoiding(), [])
        self.fail_at(0, 4)
        self.renew(7)
        self.assertIn(5, self.avoiding())

    def test_other_upstreams_are_used(self):
        self.fail_at(0, 1)
        self.renew()
        known = self.gateways[5].gateway.view.registry.upstreams
        balancer = self.gateways[5].balancer
        chosen = {
            balancer.choose(known, (), self.clock.now).upstream_id for _ in range(20)
        }
        self.assertEqual(chosen, {"u1"})
        self.assertFalse(balancer.has_spare(known, (), self.clock.now))


class Interruptions(FleetCase):
    """Failures of the leader and of the links to it."""

    def test_leader_changes(self):
        """Gateways ignore what a new leader passes on until the last one's index.

        The new leader knows nothing, and its indexes are above those of the last one.
        """
        for _ in range(3):
            self.fail_at(0, 1)
            self.renew()
        self.leader.replica.elect(2)
        self.renew()
        self.assertEqual(self.gateways[5].observations(), ((), ()))
        self.fail_at(2)
        self.renew()
        self.assertEqual(self.gateways[5].observations(), ((), ()))
        self.fail_at(3)
        self.renew()
        self.assertIn(5, self.avoiding())
        self.assertTrue(self.gateways[5].observations()[1])

    def test_no_leader(self):
        """Upstreams stay avoided, or failures are lost, while there is no leader.

        Gateways then decide by their own observations alone.
        """
        self.fail_at(0, 1, 2, 3)
        self.renew()
        self.assertIn(5, self.avoiding())
        for each in self.gateways:
            each.link.is_cut = True
        self.clock.advance(upstream_health.EXPIRY_SECONDS)
        self.assertEqual(self.avoiding(), [])
        self.fail_at(4)
        self.renew()
        self.assertEqual(self.avoiding(), [])
        self.fail_at(4)
        self.assertEqual(self.avoiding(), [4])

    def test_old_observations_are_not_sent(self):
        """A gateway that was cut off from the leader reports failures of long ago."""
        self.fail_at(0, 1)
        for number in (0, 1):
            self.gateways[number].link.is_cut = True
        self.renew(9)
        for number in (0, 1):
            self.gateways[number].link.is_cut = False
        self.renew()
        self.assertEqual(self.gateways[0].observations(), ((), ()))
        self.assertNotIn(5, self.avoiding())

    def test_lost_answers(self):
        """A gateway misses a failure because the answer to its renewal was lost.

        The failures of a renewal that is repeated must not count twice: their time
        would move on with each repetition.
        """
        self.gateways[0].link.loses_answers = True
        self.gateways[5].link.loses_answers = True
        self.fail_at(0, 1, 2, 3)
        failed_at = self.clock.now
        self.renew(3)
        self.assertNotIn(5, self.avoiding())
        self.gateways[0].link.loses_answers = False
        self.gateways[5].link.loses_answers = False
        self.renew()
        self.assertIn(5, self.avoiding())
        self.clock.advance(failed_at + 4.01 - self.clock.now)
        self.assertEqual(self.avoiding(), [])

    def test_failure_while_a_renewal_is_on_its_way(self):
        """An observation is lost because an earlier one of the upstream was sent."""
        shared = shared_health.SharedHealth(0.5, 4.0)
        shared.record_failure("u0", 1, 100.0)
        self.assertEqual(shared.due(100.1), (Observation("u0", 1, 100),))
        shared.record_failure("u0", 2, 100.2)
        shared.confirm_sent()
        self.assertEqual(shared.due(100.3), (Observation("u0", 2, 100),))
        shared.confirm_sent()
        self.assertEqual(shared.due(100.4), ())

    def test_answer_to_a_renewal_is_delayed(self):
        """An upstream is avoided for longer than four seconds after its failure."""
        shared = shared_health.SharedHealth(0.5, 4.0)
        shared.apply([Observation("u0", 4, 1000)], 7, sent_at=100.0, now=101.5)
        self.assertAlmostEqual(shared.remaining("u0", 101.5), 1.5)

    def test_answer_after_the_failure_has_expired(self):
        """Each answer is sent, since an upstream failed long ago."""
        shared = shared_health.SharedHealth(0.5, 4.0)
        shared.apply([Observation("u0", 4, 0)], 7, sent_at=100.0, now=100.0)
        self.assertEqual(shared.due(104.1), ())
        shared.record_answer("u0", 0, 104.2)
        self.assertEqual(shared.due(104.3), ())


class Sizes(FleetCase):
    """The size of messages and of what is kept."""

    def sizes(self):
        """Return the sizes of a gateway's last messages, also without the fields."""
        link = self.gateways[0].link
        found = []
        for data in (link.requests[-1], link.feeds[-1]):
            name, fields = msgpack.unpackb(data)
            names = ("observations", "observations_index")
            old = {k: v for k, v in fields.items() if k not in names}
            found.append((len(data), len(msgpack.packb([name, old]))))
        return found

    def test_nothing_is_sent_where_nothing_fails(self):
        """The messages of a deployment without failures grow."""
        for upstream_id in ("u0", "u1"):
            self.gateways[0].answer(upstream_id)
        self.renew()
        for size, size_without in self.sizes():
            self.assertEqual(size, size_without)
        self.fail_at(0, 1)
        self.renew(3)
        self.assertGreater(self.sizes()[0][0], self.sizes()[0][1])
        self.renew(9)
        for size, size_without in self.sizes():
            self.assertEqual(size, size_without)

    def test_many_upstreams_fail(self):
        """A lost zone makes renewals too large, or some failures reach no gateway.

        Each message has at most 16 observations; the others follow.
        """
        names = [f"i{n}" for n in range(40)]
        self.register(*names)
        for name in names:
            for _ in range(4):
                self.gateways[0].fail(name)
                self.gateways[1].fail(name)
        self.gateways[5].link.is_cut = True
        self.renew(3)
        self.gateways[5].link.is_cut = False
        received = set()
        for _ in range(3):
            self.renew()
            sent, news = self.gateways[5].observations()
            self.assertEqual(sent, ())
            self.assertLessEqual(len(news), upstream_health.MAX_OBSERVATIONS)
            received |= {each.upstream_id for each in news}
        self.assertEqual(received, set(names))
        sent = [codec.decode(each) for each in self.gateways[0].link.requests]
        self.assertEqual(max(len(each.observations) for each in sent), 16)

    def test_newest_are_sent_first(self):
        """The last failures are sent when they are outdated, after earlier ones."""
        shared = shared_health.SharedHealth(0.5, 4.0)
        for number in range(20):
            shared.record_failure(f"u{number}", 1, 100.0 + number / 10)
        names = [each.upstream_id for each in shared.due(102.0)]
        self.assertEqual(names, [f"u{number}" for number in range(19, 3, -1)])

    def test_unknown_and_old_are_not_kept(self):
        """The leader's memory grows with observations of upstreams that have left."""
        health = upstream_health.UpstreamHealth()
        for number in range(100):
            seen = (Observation(f"u{number}", 1, 0), Observation("u", 1, 0))
            health.record(f"g{number}", seen, {"u"}, 100.0 + number / 100)
        self.assertEqual(len(health), 1)
        health.expire(100.0 + 20)
        self.assertEqual(len(health), 0)

    def test_nothing_is_kept_for_long(self):
        """Processes keep what is known of upstreams to which nothing is sent."""
        self.fail_at(0, 1)
        self.gateways[2].answer()
        self.renew(2)
        kept = [each.gateway._shared for each in self.gateways]
        kept.append(self.leader.service._health)
        self.assertNotIn(0, [len(each) for each in kept])
        self.renew(20)
        self.assertEqual({len(each) for each in kept}, {0})


class Merge(unittest.TestCase):
    """The order in which the leader receives observations, with their ages."""

    @tools.params(
        ("two gateways", [("a", 1, 0.0), ("b", 1, 0.5)], (2, 0.5)),
        ("out of order", [("a", 1, 0.5), ("b", 1, 0.0)], (2, 0.5)),
        ("one gateway twice", [("a", 1, 0.0), ("a", 2, 0.5)], None),
        ("too far apart", [("a", 1, 0.0), ("b", 1, 2.1)], None),
        ("repeated", [("a", 1, 0.0), ("b", 1, 0.5), ("a", 1, 0.9)], (2, 0.5)),
        ("another one", [("a", 1, 0.0), ("b", 1, 0.5), ("a", 2, 0.9)], (2, 0.9)),
        ("answer in between", [("a", 1, 0.0), ("c", 0, 0.2), ("b", 1, 0.5)], None),
        ("answer", [("a", 1, 0.0), ("b", 1, 0.5), ("c", 0, 0.6)], (0, 0.6)),
        ("late answer", [("a", 1, 0.2), ("b", 1, 0.5), ("c", 0, 0.1)], (2, 0.5)),
        ("late in between", [("a", 1, 0.0), ("b", 1, 0.5), ("c", 0, 0.2)], (0, 0.5)),
        ("late failures", [("c", 0, 0.6), ("a", 1, 0.0), ("b", 1, 0.5)], None),
        ("an answer and no failure", [("a", 0, 0.0)], None),
        ("an answer to the only one", [("a", 1, 0.0), ("a", 0, 0.5)], None),
    )
    def test_merge(self, name, observed, expected):
        """Late messages make an upstream avoided that has answered, or used again."""
        health = upstream_health.UpstreamHealth()
        now = 103.0
        for sender, n_failures, at in observed:
            age_ms = round((now - 100.0 - at) * 1000)
            health.record(sender, [Observation("u", n_failures, age_ms)], {"u"}, now)
        found = [
            (each.n_failures, round(3.0 - each.age_ms / 1000, 3))
            for each in health.missing_after(0, now).observations
        ]
        self.assertEqual(found, [] if expected is None else [expected], name)


class Releases(unittest.TestCase):
    """Processes of two releases in one group."""

    @tools.params("fleet.subscribe", "fleet.feed")
    def test_message_of_the_last_release(self, name):
        """A message without the new fields is refused, or written differently."""
        for encoded in json.loads(STORED.read_text())[name]:
            data = bytes.fromhex(encoded)
            self.assertNotIn(b"observations", data)
            value = codec.decode(data)
            self.assertEqual((value.observations, value.observations_index), ((), 0))
            self.assertEqual(codec.encode(value), data)

    @tools.params(
        messages.Subscribe(observations=(Observation("u", 1, 5),)),
        messages.Feed(
            1, b"", 1, b"", observations=(Observation("u", 2, 5),), observations_index=7
        ),
    )
    def test_message_to_the_last_release(self, message):
        """The last release cannot read a message that has the new fields.

        Its classes do not have them, so that it reads what it knows.
        """
        added = ("observations", "observations_index")
        names = [each.name for each in attrs.fields(type(message))]
        old = [name for name in names if name not in added]
        former = attrs.make_class("Former", old)
        fields = msgpack.unpackb(codec.encode(message))[1]
        self.assertIn("observations", fields)
        read = codec.from_plain(fields, former)
        self.assertEqual(attrs.asdict(read), {name: fields[name] for name in old})

    def test_longest_pause_is_the_expiry(self):
        """Upstreams are avoided by observations that have expired elsewhere."""
        self.assertEqual(upstream_health.EXPIRY_SECONDS, balancing.MAX_BACKOFF_SECONDS)
