"""Requests that are passed on: what each way of failing means for the caller."""

import random
import socket
import struct
import unittest
from unittest import mock

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, quarantine, reasons, upstream_protocol
from bilberrydrum.fleet import messages, policy
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import (
    balancing,
    courses,
    crash_watch,
    hedging,
    model,
    relay,
    streams,
)
from bilberrydrum.requests import attempts, connections, fingerprints, watch
from bilberrydrum.state import client
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import scripted

ID = "X-Request-Id"


class Protocol:
    """The names that this stand-in speaks."""

    request_id_header = ID
    version_field = "version"

    def last_event_number(self, headers):
        return int(headers["Last"]) if "Last" in headers else None

    def relay_headers(self, headers, attempt):
        milliseconds = str(int(attempt.remaining_seconds * 1000))
        if attempt.last_event_number is not None:
            headers = {**headers, "Last": str(attempt.last_event_number)}
        sent = {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}
        return {**sent, "X-Left": milliseconds}

    def identity_of(self, headers):
        return headers.get("Caller", "")

    def read_head(self, headers):
        return upstream_protocol.AnswerHead(
            was_not_run="Not-Run" in headers, is_genuine="Foreign" not in headers
        )


class View:
    """Stands for a gateway's copy of the registry."""

    def __init__(self, upstreams):
        self.registry = fleet_model.Registry(1, tuple(upstreams))
        self.routes = policy.RouteTable(policy.Policy(1))
        self.crashes = quarantine.Book()
        self.crashes_index = 0

    def watch(self, callback):
        self.changed = callback


def answer(body=b"ok", status=200, *headers):
    def script(connection, received):
        lines = [f"HTTP/1.1 {status} X", f"{ID}: {received.request_id}", *headers]
        lines.append(f"Content-Length: {len(body)}")
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return script


def unframed(connection, received):
    head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n\r\n"
    connection.sendall(head.encode() + b"all of it")
    return False


def cut(connection, received):
    head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\nContent-Length: 9\r\n\r\n"
    connection.sendall(head.encode() + b"half")
    return False


def close(connection, received):
    return False


def hang(connection, received):
    eventlet.sleep(5.0)


def others_answer(connection, received):
    connection.sendall(scripted.answer(received, request_id="other"))


OK = answer()
FULL = answer(b"", 503, "Not-Run: 1")
ELSEWHERE = answer(b"", 421, "Not-Run: 1")
FAILED = answer(b"broken", 500)
FOREIGN = answer(b"ok", 200, "Foreign: 1")
IDEMPOTENT = policy.RouteKind.IDEMPOTENT
ONCE = policy.RouteKind.NON_IDEMPOTENT


class RelayCase(unittest.TestCase):
    def relay(self, *scripts):
        self.servers = []
        for script in scripts:
            server = scripted.Scripted(script, kind=upstream_model.KIND_APPLICATION)
            self.addCleanup(server.stop)
            self.servers.append(server)
        # The zone decides between idle upstreams, so they are asked in this order.
        zones = ["near", *["far"] * (len(scripts) - 1)]
        upstreams = [
            fleet_model.FleetUpstream(f"u{n}", "s", server.address, zones[n], 6)
            for n, server in enumerate(self.servers)
        ]
        self.view = View(upstreams)
        means = attempts.Means(connections.Connections(), watch.Watch())
        rng = random.Random(1)
        balancer = balancing.Balancer("near", rng)
        crashes = crash_watch.CrashWatch(self.view, None)
        parts = (Protocol(), self.view, means, balancer, rng, crashes)
        self.streams = streams.StreamRelay(*parts)
        return relay.Relay(*parts, hedges=hedging.Hedging())

    def handle(self, relay_, kind=IDEMPOTENT, seconds=1.0, max_attempts=2, target=0.05):
        route = policy.Route(
            "r",
            "h",
            "/",
            kind,
            (policy.Share("s", 1.0),),
            timeout_seconds=seconds,
            target_latency_seconds=target,
            max_attempts=max_attempts,
        )
        inbound = model.Inbound(
            "r1", "h", "POST", "/x?q=1", "/x", {}, b"body", clock.now() + seconds
        )
        with eventlet.Timeout(5.0):
            return relay_.handle(inbound, route)

    def n_received(self):
        return [len(each.received) for each in self.servers]


class Hedged(RelayCase):
    """An upstream takes the request and stands still.

    The caller would wait until that attempt is given up, twice the target and more.
    Another upstream is asked meanwhile, where the request may run more than once.
    """

    TARGET = 0.4

    def ask(self, relay_, **fields):
        began = clock.now()
        given = self.handle(relay_, seconds=2.0, target=self.TARGET, **fields)
        return given, clock.now() - began

    def slow(self, seconds, script=OK):
        def answer_late(connection, received):
            eventlet.sleep(seconds)
            return script(connection, received)

        return answer_late

    def test_answered_inside_the_target(self):
        given, seconds = self.ask(self.relay(hang, OK))
        self.assertEqual(given.status, 200)
        self.assertLess(seconds, self.TARGET)
        self.assertEqual(self.n_received(), [1, 1])

    @tools.params(
        ("runs once", hang, {"kind": ONCE}, [1, 0]),
        ("one upstream allowed", hang, {"max_attempts": 1}, [1, 0]),
        ("answers in time", OK, {}, [1, 0]),
    )
    def test_not_asked_twice(self, name, script, fields, n_received):
        self.ask(self.relay(script, OK), **fields)
        self.assertEqual(self.n_received(), n_received, name)

    @tools.params(
        ("the first, a little late", 0.25, OK, 0.6, OK, 200),
        ("the second fails", 0.3, OK, 0.0, FAILED, 200),
        ("the second is full", 0.3, OK, 0.0, FULL, 200),
        ("both fail", 0.25, close, 0.1, close, "may have run"),
        ("both are full", 0.25, FULL, 0.1, FULL, "not run"),
    )
    def test_either_answers(self, name, first, script, second, other, expected):
        """No third upstream is asked, and "not run" waits for the word of both."""
        given, _ = self.ask(
            self.relay(self.slow(first, script), self.slow(second, other))
        )
        if isinstance(given, model.Refused):
            may_have_run = given.may_have_run
            self.assertEqual("may have run" if may_have_run else "not run", expected)
        else:
            self.assertEqual(given.status, expected, name)
        self.assertLessEqual(max(self.n_received()), 1)

    def test_doubtful_request_is_sent_to_one_at_a_time(self):
        relay_ = self.relay(hang, OK, OK)
        crashes = {
            "standing": lambda _: quarantine.Standing.DOUBTFUL,
            "may_try": lambda _: True,
        }
        with mock.patch.multiple(relay_._crashes, **crashes):
            self.ask(relay_)
        self.assertEqual(self.n_received(), [1, 0, 0])

    def test_bounded(self):
        """All upstreams are slow: a second copy of each request would slow them more.

        Of 40 requests no more are asked twice than the budget has at its start.
        """
        given = hedging.Hedging()
        asked = 0
        for _ in range(400):
            given.first_attempt()
            asked += given.may_ask_second(1000.0)
        self.assertLess(asked, 400 * 0.05 + 20)

    @tools.params(
        ("nothing known", [], 0.2),
        ("quick answers", [0.04] * 20, 0.2),
        ("answers take most of the target", [0.3] * 20, 0.9),
    )
    def test_patience(self, name, seconds, expected):
        given = hedging.Hedging()
        for each in seconds:
            given.answered("s", each)
        route = policy.Route(
            "r", "h", "/", IDEMPOTENT, (), target_latency_seconds=self.TARGET
        )
        self.assertAlmostEqual(given.patience(route, "s"), expected, msg=name)


class Outcomes(RelayCase):
    """The caller's answer, and how often each upstream was asked."""

    @tools.params(
        ("answered", IDEMPOTENT, (OK, OK), 200, [1, 0]),
        ("full, then answered", IDEMPOTENT, (FULL, OK), 200, [1, 1]),
        ("another's address", IDEMPOTENT, (ELSEWHERE, OK), 200, [1, 1]),
        ("failed, then answered", IDEMPOTENT, (FAILED, OK), 200, [1, 1]),
        ("closed, then answered", IDEMPOTENT, (close, OK), 200, [1, 1]),
        ("cut, then answered", IDEMPOTENT, (cut, OK), 200, [1, 1]),
        ("hung, then answered", IDEMPOTENT, (hang, OK), 200, [1, 1]),
        ("other's answer", IDEMPOTENT, (others_answer, OK), 200, [1, 1]),
        ("not its own answer", IDEMPOTENT, (FOREIGN, OK), 200, [1, 1]),
        ("ends with its connection", IDEMPOTENT, (unframed,), 200, [1]),
        ("both failed", IDEMPOTENT, (FAILED, FAILED), 500, [1, 1]),
        ("both full", IDEMPOTENT, (FULL, FULL), "not run", [1, 1]),
        ("full and closed", IDEMPOTENT, (FULL, close), "may have run", [1, 1]),
        ("once: answered", ONCE, (OK, OK), 200, [1, 0]),
        ("once: full, then answered", ONCE, (FULL, OK), 200, [1, 1]),
        ("once: failed", ONCE, (FAILED, OK), 500, [1, 0]),
        ("once: closed", ONCE, (close, OK), "may have run", [1, 0]),
        ("once: cut", ONCE, (cut, OK), "may have run", [1, 0]),
        ("once: both full", ONCE, (FULL, FULL), "not run", [1, 1]),
    )
    def test_outcome(self, name, kind, scripts, expected, n_received):
        given = self.handle(self.relay(*scripts), kind)
        if isinstance(given, model.Answered):
            outcome = given.status
        else:
            outcome = "may have run" if given.may_have_run else "not run"
            self.assertEqual(given.retry_after_seconds > 0, not given.may_have_run)
        self.assertEqual(outcome, expected, name)
        self.assertEqual(self.n_received(), n_received, name)

    def test_no_upstream(self):
        given = self.handle(self.relay())
        self.assertEqual(given.reason, reasons.Reason.NO_UPSTREAM)
        self.assertFalse(given.may_have_run)

    def test_unreachable(self):
        relay_ = self.relay(OK)
        self.servers[0].stop()
        self.assertFalse(self.handle(relay_).may_have_run)

    def test_leaving_upstream_gets_nothing(self):
        relay_ = self.relay(OK)
        known = self.view.registry.upstreams[0]
        gone = fleet_model.FleetUpstream(
            known.upstream_id, "s", known.address, "near", 6, is_leaving=True
        )
        self.view.registry = fleet_model.Registry(2, (gone,))
        self.assertEqual(self.handle(relay_).reason, reasons.Reason.NO_UPSTREAM)
        self.assertEqual(self.n_received(), [0])

    def test_time_left_and_incarnation_are_sent(self):
        self.handle(self.relay(FULL, OK), seconds=1.0)
        for n, server in enumerate(self.servers):
            headers = server.received[0].headers
            self.assertEqual(headers["x-only"], f"u{n}")
            self.assertLess(int(headers["x-left"]), 1000)
            self.assertEqual(server.received[0].target, "/x?q=1")

    def test_hung_upstream_leaves_time_for_another(self):
        began = clock.now()
        given = self.handle(self.relay(hang, OK), seconds=1.0)
        self.assertEqual(given.status, 200)
        self.assertLess(clock.now() - began, 0.7)


def events(*numbers, is_whole=True):
    def script(connection, received):
        head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n"
        connection.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in numbers:
            data = b"id: %d\ndata: x\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        if is_whole:
            connection.sendall(b"0\r\n\r\n")
        return False

    return script


def framed(framing, *numbers):
    """Return a script whose answer tells its end as `framing` says, or lacks it."""
    if framing.endswith("chunks"):
        return events(*numbers, is_whole=framing == "chunks")

    def script(connection, received):
        body = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)
        head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n"
        if framing.endswith("length"):
            n_missing = 0 if framing == "length" else 9
            head += f"Content-Length: {len(body) + n_missing}\r\n"
        connection.sendall(head.encode() + b"\r\n" + body)
        return False

    return script


def half_an_event(connection, received):
    events(1, is_whole=False)(connection, received)
    connection.sendall(b"7\r\nid: 2\nd\r\n")
    return False


class Streams(RelayCase):
    """What the caller of a stream gets, and how often each upstream was asked."""

    def stream(self, scripts, is_resumable, headers=None, n_attempts=2, method="POST"):
        self.relay(*scripts)
        route = policy.Route(
            "r",
            "h",
            "/",
            policy.RouteKind.STREAMING,
            (policy.Share("s", 1.0),),
            timeout_seconds=3.0,
            target_latency_seconds=0.05,
            max_attempts=n_attempts,
            is_resumable=is_resumable,
        )
        inbound = model.Inbound(
            "r1", "h", method, "/x", "/x", headers or {}, b"body", clock.now() + 3.0
        )
        with eventlet.Timeout(5.0):
            answer = self.streams.handle(inbound, route)
            if isinstance(answer, model.Answered):
                return [], str(answer.status)
            if isinstance(answer, model.Refused):
                return [], "may have run" if answer.may_have_run else "not run"
            numbers = []
            try:
                for part in answer.parts:
                    numbers.append(int(part.split(b"\n")[0][4:]))
            except streams.BrokenError:
                return numbers, "broken"
            return numbers, "whole"

    CUT = staticmethod(events(1, 2, is_whole=False))

    @tools.params(
        ("whole", (events(1, 2),), False, [1, 2], "whole", [1]),
        ("full, then whole", (FULL, events(1)), False, [1], "whole", [1, 1]),
        ("cut", (CUT, events(3)), False, [1, 2], "broken", [1, 0]),
        ("cut, resumed", (CUT, events(3)), True, [1, 2, 3], "whole", [1, 1]),
        ("cut in an event", (half_an_event, events(2)), True, [1, 2], "whole", [1, 1]),
        ("resumed elsewhere wrongly", (CUT, events(1)), True, [1, 2], "broken", [1, 1]),
        (
            "cut twice",
            (CUT, events(3, is_whole=False)),
            True,
            [1, 2, 3],
            "broken",
            [1, 1],
        ),
        ("resumed by a stranger", (CUT, FOREIGN), True, [1, 2], "broken", [1, 1]),
        ("resumed and failed", (CUT, FAILED), True, [1, 2], "broken", [1, 1]),
        ("resumed, both full", (CUT, FULL, FULL), True, [1, 2], "broken", [1, 1, 1]),
        ("resumed as another's", (CUT, others_answer), True, [1, 2], "broken", [1, 1]),
        ("closed", (close, events(1)), False, [], "may have run", [1, 0]),
        ("closed, resumable", (close, events(1)), True, [1], "whole", [1, 1]),
        ("failed", (FAILED, events(1)), False, [], "500", [1, 0]),
        ("failed, resumable", (FAILED, events(1)), True, [1], "whole", [1, 1]),
        ("both full", (FULL, FULL), True, [], "not run", [1, 1]),
    )
    def test_stream(self, name, scripts, is_resumable, numbers, outcome, n_received):
        self.assertEqual(self.stream(scripts, is_resumable), (numbers, outcome), name)
        self.assertEqual(self.n_received(), n_received, name)

    def test_resumed_after_the_last_whole_event(self):
        self.stream((self.CUT, events(3)), True)
        self.assertEqual(self.servers[1].received[0].headers["last"], "2")

    @tools.params(
        ("goes on", events(5, 6), ["4"]),
        ("from its beginning", events(1, 2), ["4", "4"]),
        ("with the event before", events(4, 5), ["4", "4"]),
        ("begins late", events(6), ["4", "4"]),
        ("a gap", events(5, 7), ["4", "5"]),
        ("twice", events(5, 5), ["4", "5"]),
    )
    def test_stream_that_its_caller_resumes(self, name, first, asked_after):
        """What does not follow the caller's own number is asked for elsewhere."""

        def sound(connection, received):
            numbers = range(int(received.headers["last"]) + 1, 7)
            return events(*numbers)(connection, received)

        given = self.stream((first, sound), True, {"Last": "4"})
        self.assertEqual(given, ([5, 6], "whole"), name)
        asked = [each.headers["last"] for one in self.servers for each in one.received]
        self.assertEqual(asked, asked_after, name)

    @tools.params(
        ("chunks", "whole"),
        ("length", "whole"),
        ("close", "broken"),
        ("cut in its chunks", "broken"),
        ("cut in its length", "broken"),
    )
    def test_answer_without_an_event_to_a_stream_that_goes_on(self, framing, outcome):
        """The caller's stream ends as complete, and half of its events are missing.

        The first run breaks off after event 2. The engine that is asked to go on after
        it answers 200 and ends at once, as its own run fails. One that has nothing to
        add says so by its length or last chunk, in 125 of 125 answers of a play; one
        that ended before its first event left it out (9 of 9). An answer that only
        closes says nothing, so the caller must see a break.
        """
        given = self.stream((self.CUT, framed(framing)), True)
        self.assertEqual(given, ([1, 2], outcome))

    def test_another_engine_is_asked_after_an_answer_that_only_closes(self):
        asked_after = []

        def go_on(connection, received):
            asked_after.append(received.headers["last"])
            script = framed("close") if len(asked_after) == 1 else events(3)
            return script(connection, received)

        given = self.stream((self.CUT, go_on, go_on), True, n_attempts=3)
        self.assertEqual(given, ([1, 2, 3], "whole"))
        self.assertEqual(asked_after, ["2", "2"])

    @tools.params(
        # Framing, whether it may be resumed, the caller's own last number; the outcome.
        ("chunks", True, None, [1], "whole"),
        ("length", True, None, [1], "whole"),
        ("close", True, None, [1], "whole"),
        ("chunks", True, "0", [1], "whole"),
        ("chunks", False, None, [], "broken"),
        ("length", False, None, [], "broken"),
        ("close", False, None, [], "broken"),
        ("chunks", True, "4", [], "whole"),
        ("length", True, "4", [], "whole"),
        ("close", True, "4", [5], "whole"),
        ("cut in its chunks", True, "4", [5], "whole"),
    )
    def test_first_answer_without_an_event(
        self, framing, is_resumable, last, numbers, outcome
    ):
        """The caller gets a complete stream of no events at all.

        The engine takes the request, answers 200, and its run fails before event 1, or
        before the event after the one that the caller had read. Where the stream may be
        resumed another engine is asked, and where not its caller sees a break. A caller
        that had read the very last event is told that there are no more.
        """
        headers = {} if last is None else {"Last": last}
        scripts = (framed(framing), events(*(numbers or [1])))
        given = self.stream(scripts, is_resumable, headers)
        self.assertEqual(given, (numbers, outcome))

    @tools.params((True, [1, 2], "whole"), (False, [1], "broken"))
    def test_reset_does_not_end_a_stream(self, is_resumable, numbers, outcome):
        """The upstream ends between two events of an answer without length or chunks.

        Its connections are reset. Read as an end, the reset made the stream look whole.
        """

        def reset(connection, received):
            framed("close", 1)(connection, received)
            # Without this pause the reset may overtake the event.
            eventlet.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.fd.close()
            return False

        given = self.stream((reset, events(2)), is_resumable)
        self.assertEqual(given, (numbers, outcome))

    def test_answer_that_has_no_body_by_its_method_is_whole(self):
        given = self.stream((framed("length"),), True, method="HEAD")
        self.assertEqual((given, self.n_received()), (([], "whole"), [1]))

    @tools.params(
        ("begins late", events(2, 3), events(1, 2, 3), True, [1, 2, 3], "whole"),
        ("begins late, runs once", events(2, 3), events(1), False, [], "broken"),
        ("begins with 0", events(0, 1), events(1, 2), True, [1, 2], "whole"),
    )
    def test_stream_that_does_not_begin_with_its_first_event(
        self, name, first, second, is_resumable, numbers, outcome
    ):
        """The caller gets a complete stream that lacks its beginning.

        No event was asked to be skipped, and the engine's answer begins with event 2,
        as one does that was made for a resumed request. Any number was taken for the
        first.
        """
        given = self.stream((first, second), is_resumable)
        self.assertEqual(given, (numbers, outcome), name)


class Hurry(RelayCase):
    def test_hurried_callers_do_not_drive_others_away(self):
        """Callers with a few milliseconds each time out at a healthy upstream.

        Held against it, the next caller would be sent to the far one, and with all
        upstreams marked to whichever was marked first.
        """

        def slowly(connection, received):
            eventlet.sleep(0.05)
            return OK(connection, received)

        relay_ = self.relay(slowly, OK)
        for _ in range(3):
            self.handle(relay_, seconds=0.03, max_attempts=1)
        # An answer of 0.05 s is in time for this one: nobody else is asked beside it.
        self.handle(relay_, target=0.4)
        self.assertEqual(self.n_received()[1], 0)


class Group:
    """Stands for the control group: grants trials or not, and takes reports."""

    def __init__(self, grants):
        self.grants = grants
        self.n_asked = 0

    def call(self, message, timeout):
        self.n_asked += 1
        if self.grants is None:
            error = client.StateError(reasons.Reason.STATE_UNAVAILABLE)
            return result.Err(error)
        return result.Ok(messages.Trial(self.grants))


class HeldAgainst(RelayCase):
    """What becomes of a request that upstreams ended under, before and after a run."""

    def hold(self, relay_, ended_ids, n_seconds=1.0):
        """Have the control group hold ended upstreams against the request."""
        fingerprint = fingerprints.of_request("POST", "h", "/x?q=1", "", b"body")
        book = quarantine.Book()
        for number, upstream_id in enumerate(ended_ids):
            crash = quarantine.Crash(fingerprint, "", upstream_id)
            book.note(crash, 100.0 + number * n_seconds)
        self.view.crashes = book
        relay_._crashes._calls = self.group

    @tools.params(
        # Name, upstreams' scripts, those that ended, whether a trial is granted;
        # the outcome, the upstreams asked, and whether the group was asked.
        ("one end", (OK, OK), ("a",), False, "200", [1, 0], 0),
        ("two, tried", (OK, OK), ("a", "b"), True, "200", [1, 0], 1),
        ("two, another copy is", (OK, OK), ("a", "b"), False, "come back", [0, 0], 1),
        ("two, no leader", (OK, OK), ("a", "b"), None, "come back", [0, 0], 1),
        ("two, the last but one", (OK, OK), ("a", "u1"), True, "come back", [0, 0], 0),
        ("two, the only one", (OK,), ("a", "b"), True, "200", [1], 1),
        ("two, tried at one only", (close, OK), ("a", "b"), True, "ran", [1, 0], 1),
        ("two, a full one first", (FULL, OK), ("a", "b"), True, "200", [1, 1], 1),
        ("three", (OK, OK), ("a", "b", "c"), True, "final", [0, 0], 0),
    )
    def test_outcome(self, name, scripts, ended, grants, expected, received, n_asked):
        self.group = Group(grants)
        relay_ = self.relay(*scripts)
        self.hold(relay_, ended)
        given = self.handle(relay_)
        self.assertEqual(self.outcome(given), expected, name)
        self.assertEqual(self.n_received(), received, name)
        self.assertEqual(self.group.n_asked, n_asked, name)

    def outcome(self, given):
        if isinstance(given, model.Answered):
            return str(given.status)
        if given.is_final:
            return "final"
        if given.may_have_run:
            return "ran"
        least, most = courses.DOUBTFUL_RETRY_RANGE
        self.assertTrue(least <= given.retry_after_seconds <= most)
        return "come back"

    def test_verdict_between_two_attempts(self):
        """Others see the third end while the first attempt is under way.

        The copy that is on its way to the next upstream has to be stopped as well.
        """
        self.group = Group(True)

        def fail(connection, received):
            self.hold(relay_, ("a", "b", "c"))
            return FAILED(connection, received)

        relay_ = self.relay(fail, OK)
        given = self.handle(relay_)
        self.assertEqual(given.status, 500)
        self.assertEqual(self.n_received(), [1, 0])


class Balance(unittest.TestCase):
    """The choice, from what one gateway knows."""

    def upstreams(self, *zones):
        return [
            fleet_model.FleetUpstream(f"u{n}", "s", f"a{n}", zone, 2)
            for n, zone in enumerate(zones)
        ]

    def test_near_until_busy(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "far")
        chosen = []
        for _ in range(3):
            upstream = balancer.choose(known, (), 100.0)
            balancer.begin(upstream.upstream_id)
            chosen.append(upstream.upstream_id)
        self.assertEqual(chosen, ["u0", "u1", "u0"])

    def test_failed_is_passed_over_for_a_while(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "far")
        balancer.failed("u0", 100.0)
        self.assertEqual(balancer.choose(known, (), 100.1).upstream_id, "u1")
        self.assertEqual(balancer.choose(known, (), 100.6).upstream_id, "u0")

    def test_all_failed(self):
        """The one whose time ends first is tried; refusing would help nobody."""
        balancer = balancing.Balancer("near", random.Random(1))
        balancer.failed("u0", 100.2)
        balancer.failed("u1", 100.0)
        known = self.upstreams("near", "far")
        self.assertEqual(balancer.choose(known, (), 100.3).upstream_id, "u1")

    def test_reported_load_counts_while_it_is_fresh(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "near")
        head = upstream_protocol.AnswerHead(n_running=2, n_waiting=3)
        balancer.succeeded("u0", head, 100.0)
        for _ in range(20):
            chosen = balancer.choose(known, (), 100.1)
            self.assertEqual(chosen.upstream_id, "u1")
