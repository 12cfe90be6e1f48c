"""The commit of a runner's updates, and the runner's state after a failed commit."""

import unittest
from unittest import mock

import attrs
import result
from nose2 import tools

from bilberrydrum import clock, event_stream, reasons
from bilberrydrum.batches import commands, messages, model, service, texts
from bilberrydrum.state import client, leader_calls
from tests import helpers
from tests.fakes import lone_leader

WAIT_SECONDS = 10.0
REFUSED = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))


def accept(batch_id):
    items = tuple(model.Item(f"i{n}", "/p/x", {}, b"", 10) for n in range(2))
    data = model.pack_batch(model.Batch(batch_id, "h", items))
    return commands.AcceptBatch(batch_id, len(items), data, 60.0)


def text_of(item_id, text=b"a\nb"):
    return model.Result.of(item_id, model.ItemState.COMPLETED, text, (1,))


class Replica(lone_leader.LoneLeader):
    """A replica whose proposals and lease the test controls."""

    def __init__(self, manual_clock):
        super().__init__(manual_clock)
        self.proposed = []
        # Called with each command. If it returns a result, `propose` returns this.
        self.intervene = lambda command: None
        # Number of following checks of the leadership that find no lease.
        self.n_missing_leases = 0

    def leadership(self):
        if self.n_missing_leases:
            self.n_missing_leases -= 1
            return None
        return super().leadership()

    def propose(self, command, timeout=5.0):
        self.proposed.append(command)
        answer = self.intervene(command)
        return super().propose(command, timeout) if answer is None else answer


@attrs.define
class Runner:
    """Substitute for the runner that records its calls."""

    hooks: object
    finished_by_batch: dict[str, list[str]] = attrs.field(factory=dict)
    open_ids: set[tuple[str, str]] = attrs.field(factory=set)
    is_stopped: bool = False
    # Raised by each call of `stop`.
    fault: Exception | None = None
    # What a batch that is submitted would have to wait; 0: nothing.
    wait_seconds: float = 0.0

    def start(self, kept):
        for each in kept:
            self.accept(each)

    def accept(self, kept):
        finished = kept.finished_ids()
        for item in kept.decode().items:
            if item.item_id not in finished:
                self.open_ids.add((kept.batch_id, item.item_id))

    def mark_finished(self, batch_id, item_ids):
        self.finished_by_batch.setdefault(batch_id, []).extend(item_ids)

    def end(self, batch_id):
        pass

    def has_queue(self):
        return self.wait_seconds > 0

    def retry_after_seconds(self, batch):
        return self.wait_seconds

    def stop(self):
        self.is_stopped = True
        if self.fault is not None:
            raise self.fault


class Leading(unittest.TestCase):
    """A leader whose proposals are refused, or that loses its lease or term."""

    def setUp(self):
        self.runners = []
        runner_patch = mock.patch.object(
            service.runner, "BatchRunner", self.make_runner
        )
        runner_patch.start()
        self.addCleanup(runner_patch.stop)
        self.replica = Replica(helpers.ManualClock(1000.0))
        self.carrier = mock.Mock(process_id="me")
        given = dict.fromkeys(("view", "protocol", "resources", "relay_", "crashes"))
        self.service = service.BatchService(
            self.replica,
            self.carrier,
            retention_seconds=60.0,
            orders_guard=mock.Mock(),
            **given,
        )
        for batch_id in ("b", "c"):
            self.replica.propose(accept(batch_id))
        self.service.start()
        self.addCleanup(self.service.stop)
        self.wait_for(lambda: len(self.runners) == 1)

    def make_runner(self, protocol, view, resources, hooks, relay_, crashes):
        self.runners.append(Runner(hooks))
        return self.runners[-1]

    def wait_for(self, is_done):
        end = clock.now() + WAIT_SECONDS
        while not is_done() and clock.now() < end:
            clock.sleep(0.005)
        self.assertTrue(is_done())

    def n_proposed(self, n_commands):
        return lambda: len(self.replica.proposed) >= n_commands

    def kept(self, batch_id="b"):
        section = commands.section_of(self.replica.state())
        return section.batches_by_id[batch_id]

    def test_dropped_result_is_generated_again(self):
        """Guard against an item that is never listed although the leader is healthy.

        A result is not committed in time, and at that moment the lease has expired, for
        less time than the interval of the leadership check. The result is dropped. If
        the same runner continued, it would treat the item as finished, and no other
        leader would run the item again.
        """

        def refuse(command):
            self.replica.n_missing_leases = 1
            return REFUSED

        self.replica.intervene = refuse
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: len(self.runners) == 2)
        self.assertTrue(self.runners[0].is_stopped)
        self.assertIn(("b", "i0"), self.runners[1].open_ids)

    def test_stop_that_fails(self):
        """Guard against a leader that runs no items any more.

        The lease expires for a moment, and cancelling the runner's attempts fails with
        `KeyError`. If the runner, whose loop has ended, is kept, it is stopped again at
        each check of the leadership, with ten tracebacks a second.
        """
        self.runners[0].fault = KeyError("an attempt that has just ended")
        self.replica.n_missing_leases = 1
        self.wait_for(lambda: len(self.runners) == 2)
        self.assertEqual(len(self.runners[1].open_ids), 4)

    def test_nothing_of_an_earlier_term_is_committed(self):
        """Guard against a result with the text of one run and the score of another.

        Updates of two batches are queued. During the first one's proposal, the leader
        is deposed and elected again. If the second one, a text of the earlier term,
        were committed in the later term, it would replace a text that the leader in
        between has stored and that is being scored.
        """

        def depose(command):
            self.replica.intervene = lambda command: None
            self.replica.elect(3)
            self.wait_for(lambda: len(self.runners) == 2)
            return REFUSED

        n_before = len(self.replica.proposed)
        self.replica.intervene = depose
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.runners[0].hooks.keep_text("c", text_of("i0"))
        self.wait_for(lambda: len(self.runners) == 2)
        self.runners[1].hooks.finish("b", text_of("i1"))
        self.wait_for(lambda: [each.item_id for each in self.kept().results] == ["i1"])
        self.assertEqual(len(self.replica.proposed), n_before + 2)
        self.assertEqual(self.kept("c").unscored_by_item_id, {})

    def test_nothing_of_an_earlier_runner_is_committed(self):
        """Guard against a result with the text of one run and the score of another.

        A complete text and its score are queued while the log is slow. The lease
        expires and is regained in the same term, and the new runner generates the text
        again. If all three updates are merged into one command, which applies texts
        before scores, the second text gets the score of the first.
        """

        def begin_another(command):
            self.replica.intervene = lambda command: None
            self.runners[0].hooks.keep_text("c", text_of("i0", b"first"))
            self.runners[0].hooks.score("c", "i0", "of the first")
            self.replica.n_missing_leases = 1
            self.wait_for(lambda: len(self.runners) == 2)
            self.runners[1].hooks.keep_text("c", text_of("i0", b"second"))

        self.replica.intervene = begin_another
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: len(self.runners) == 2)
        self.runners[1].hooks.score("c", "i0", "of the second")
        self.runners[1].hooks.finish("b", text_of("i1"))
        self.wait_for(lambda: len(self.kept().results) == 2)
        listed = [(each.text, each.score) for each in self.kept("c").results]
        self.assertEqual(listed, [(b"second", "of the second")])

    def test_commit_that_fails(self):
        """Guard against a healthy leader that lists no results any more.

        The commit of one result fails with an unexpected error. If that ends the task
        that commits all of them, the runner continues and treats its items as finished,
        but its updates are not committed until another process becomes the leader.
        """

        def fail(command):
            self.replica.intervene = lambda command: None
            raise KeyError("a fault of this program")

        self.replica.intervene = fail
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: len(self.runners) == 2)
        self.assertIn(("b", "i0"), self.runners[1].open_ids)
        self.runners[1].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: self.kept().results)
        self.assertEqual([each.item_id for each in self.kept().results], ["i0"])

    def test_commit_that_fails_each_time(self):
        """Guard against runners that are replaced without a pause.

        A new runner queues at its start the results reused of an earlier batch. If
        their commit fails again, the next runner starts at once. The engines' runs are
        then cancelled all the time, and the log fills.
        """

        def fail(command):
            raise KeyError("a fault of this program")

        def start(started, kept):
            started.hooks.finish("b", text_of("i0"))

        self.replica.intervene = fail
        with mock.patch.object(Runner, "start", start):
            self.runners[0].hooks.finish("b", text_of("i0"))
            clock.sleep(0.5)
            self.assertEqual(len(self.runners), 2)

    def test_commit_that_is_refused_at_once(self):
        """Guard against retries that block all other tasks of the leader.

        A group with a full queue refuses proposals immediately. If the task that
        commits results retries without a pause for as long as its process leads, no
        other task can run, neither those that answer gateways nor the one that detects
        the expiry of the lease, so no other replica can become the leader.
        """
        refusal = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE, False))
        n_refused = []

        def refuse(command):
            n_refused.append(command)
            self.assertLess(len(n_refused), 1000, "no other task ran")
            return refusal

        self.replica.intervene = refuse
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: n_refused)
        self.replica.intervene = lambda command: None
        self.wait_for(lambda: self.kept().results)
        self.assertLess(len(n_refused), 10)

    @tools.params(("kept", 2), ("refused", 0), ("raises", 0))
    def test_each_save_is_ended(self, name, n_before):
        """Guard against a text that is no longer saved after one save.

        A text begins no save before its last one has ended. If a save were not ended,
        for example after an error of the log, no later events would be stored, and a
        new leader would generate a long item again from its beginning.
        """

        def intervene(command):
            if name == "raises":
                raise OSError(name)
            return REFUSED if name == "refused" else None

        text = texts.Text()
        for number in (1, 2):
            text.add(event_stream.Event(number, b"e"), 1)
        self.replica.intervene = intervene
        self.runners[0].hooks.save("b", (text.begin_save("i0"),))
        n_proposed = len(self.replica.proposed)
        self.wait_for(self.n_proposed(n_proposed + 1))
        text.add(event_stream.Event(3, b"e"), 1)
        following = text.begin_save("i0")
        self.assertIsNotNone(following, name)
        self.assertEqual(following.progress.n_before, n_before, name)
        self.assertEqual(bool(following.progress.follows), bool(n_before), name)

    @tools.params(("not in the log", False), ("skipped by a snapshot", True))
    def test_submission_that_is_not_committed_here(self, name, may_have_applied):
        """Guard against a batch that runs although its submission was refused.

        The batch is in the log, but this replica does not see its commit. If it answers
        that it cannot accept the batch, as if the batch were not in the log, the
        gateway refuses the batch with the promise that it never runs.
        """
        self.replica.intervene = lambda command: result.Err(
            client.StateError(reasons.Reason.STATE_UNAVAILABLE, may_have_applied)
        )
        answer = self.submit(messages.Submit("d", 2, accept("d").data))
        self.assertIsInstance(answer, leader_calls.NotLeading, name)
        self.assertEqual(answer.may_have_applied, may_have_applied, name)

    def submit(self, message):
        """Return the answer to a submission."""
        self.carrier.answer.reset_mock()
        handlers = {call.args[0]: call.args[1] for call in self.carrier.on.mock_calls}
        handlers[messages.Submit](mock.Mock(), message)
        self.wait_for(lambda: self.carrier.answer.called)
        return self.carrier.answer.call_args.args[1]

    def test_refused_batch_is_not_stored(self):
        """Guard against a batch that runs although it was refused as not run."""
        self.runners[0].wait_seconds = 12.5
        n_proposed = len(self.replica.proposed)
        submit = messages.Submit("d", 2, accept("d").data, accepts_refusal=True)
        self.assertEqual(self.submit(submit), messages.Refused(12.5))
        self.assertEqual(len(self.replica.proposed), n_proposed)
        self.runners[0].wait_seconds = 0.0
        self.assertEqual(self.submit(submit), messages.Submitted())
        self.assertIn("d", commands.section_of(self.replica.state()).batches_by_id)

    @tools.params(
        ("stored", "b", True),
        ("from an earlier release", "d", False),
    )
    def test_batch_that_is_not_refused(self, name, batch_id, accepts_refusal):
        """Guard against a batch that runs, and whose submitter is told otherwise.

        A submission is sent again if its answer was lost. A gateway of an earlier
        release drops the refusal as unknown, and answers that the outcome is unknown.
        """
        self.runners[0].wait_seconds = 12.5
        data = accept(batch_id).data
        submit = messages.Submit(batch_id, 2, data, accepts_refusal)
        self.assertEqual(self.submit(submit), messages.Submitted(), name)

    def test_batch_that_may_be_committed_is_not_refused(self):
        """Guard against a batch that runs although its submission was refused.

        The commit takes too long, and the gateway sends the submission again. In the
        meantime the queue has grown. If the second submission were refused, the client
        would learn that the batch does not run, and the first one may be committed.
        """
        submit = messages.Submit("d", 2, accept("d").data, accepts_refusal=True)
        self.replica.intervene = lambda command: result.Err(
            client.StateError(reasons.Reason.STATE_UNAVAILABLE, True)
        )
        self.assertIsInstance(self.submit(submit), leader_calls.NotLeading)
        self.replica.intervene = lambda command: None
        self.runners[0].wait_seconds = 12.5
        self.assertEqual(self.submit(submit), messages.Submitted())

    def test_score_without_its_text_finishes_nothing(self):
        """Guard against an item that is never listed.

        The item's complete text was dropped while the lease had expired, and its score,
        which came a moment later, is committed. No result is listed. If the runner
        marked the item as finished, it would never run the item again.
        """
        n_before = len(self.replica.proposed)
        self.runners[0].hooks.score("b", "i0", "mark")
        self.wait_for(self.n_proposed(n_before + 1))
        self.runners[0].hooks.finish("b", text_of("i1"))
        self.wait_for(self.n_proposed(n_before + 2))
        self.assertEqual([each.item_id for each in self.kept().results], ["i1"])
        self.assertEqual(self.runners[0].finished_by_batch["b"], ["i1"])


if __name__ == "__main__":
    unittest.main()
