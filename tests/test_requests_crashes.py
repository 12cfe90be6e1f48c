"""Calls that end the upstreams that run them, through one gateway of the daemon.

A caller sends such a call again and again. Each of its attempts is tried at several
upstreams, since nothing is remembered of the call beyond its answer, and all upstreams
of the application end, each time that they are back.
"""

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.requests import model
from tests.fakes import dispatching, scripted

MARK = "ends whatever runs it"
N_UPSTREAMS = 3
N_ROUNDS = 6
# Until its caller sends it again, and until an upstream that it ends is gone.
PAUSE_SECONDS = 1.0
RUN_SECONDS = 0.03


class Crashing(dispatching.Gateway):
    def setUp(self):
        super().setUp()
        self.n_ended = 0

    def put(self, kind, number):
        """Start an upstream, or start it again."""
        name = f"{kind}-{number}"

        def run(connection, received):
            is_marked = MARK.encode() in received.body
            if is_marked:
                eventlet.sleep(RUN_SECONDS)
                self.n_ended += 1
                server.stop()
            elif kind == "engine":
                connection.sendall(scripted.complete_stream(received))
            else:
                connection.sendall(scripted.answer(received))
            return not is_marked

        server = getattr(self, kind)(name, run)

    def put_all(self, kind):
        self.registry.upstreams = {}
        for number in range(N_UPSTREAMS):
            self.put(kind, number)

    def call(self, kind, mark, number, dispatcher=None):
        """Make one call; return why it failed, or None."""
        dispatcher = dispatcher or self.dispatcher
        deadline = clock.now() + 5.0
        if kind == "engine":
            asked = model.ModelCall(f"r{number}", "planner", mark, 5, "desk", deadline)
            last = list(dispatcher.stream(asked))[-1]
            return last.reason if isinstance(last, model.Failed) else None
        asked = model.ApplicationCall(
            f"r{number}",
            "schedule",
            "GET",
            "/x",
            (),
            mark.encode(),
            "desk",
            deadline,
        )
        answer = dispatcher.call_application(asked)
        return answer.err_value.reason if isinstance(answer, result.Err) else None

    @tools.params("application", "engine")
    def test_comes_again(self, kind):
        """Three upstreams are the most that it may end; others go on being served."""
        for number in range(N_ROUNDS):
            self.put_all(kind)
            failed = self.call(kind, MARK, number)
            self.assertIsNotNone(failed)
            self.put_all(kind)
            self.assertIsNone(self.call(kind, "innocent", number))
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(self.n_ended, quarantine.N_FOR_QUARANTINE)
        self.assertEqual(failed, reasons.Reason.REQUEST_QUARANTINED)

    @tools.params("application", "engine")
    def test_comes_again_through_other_gateways(self, kind):
        """Each gateway sees one crash in three; what they have seen counts together.

        Else three gateways let a call end nine upstreams.
        """
        dispatchers = [self.dispatcher, *(self.start_dispatcher() for _ in range(2))]
        for number in range(2 * N_ROUNDS):
            self.put_all(kind)
            asked = dispatchers[number % len(dispatchers)]
            failed = self.call(kind, MARK, number, asked)
            self.assertIsNotNone(failed)
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(self.n_ended, quarantine.N_FOR_QUARANTINE)
        self.put_all(kind)
        for each in dispatchers:
            refused = self.call(kind, MARK, 99, each)
            self.assertEqual(refused, reasons.Reason.REQUEST_QUARANTINED)
            self.assertIsNone(self.call(kind, "innocent", 100, each))
