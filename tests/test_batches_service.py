"""What a leader hands over for commitment, and what its runner believes after it."""

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
    """Refuses what the test says, and lacks its lease when the test says."""

    def __init__(self, manual_clock):
        super().__init__(manual_clock)
        self.proposed = []
        # Called with each command; its answer, if any, is that of `propose`.
        self.intervene = lambda command: None
        # So many looks at the leadership find no lease.
        self.n_lapsed = 0

    def leadership(self):
        if self.n_lapsed:
            self.n_lapsed -= 1
            return None
        return super().leadership()

    def propose(self, command, timeout=5.0):
        self.proposed.append(command)
        answer = self.intervene(command)
        return super().propose(command, timeout) if answer is None else answer


@attrs.define
class Runner:
    """Takes the place of the runner: notes what it is told."""

    hooks: object
    finished_by_batch: dict[str, list[str]] = attrs.field(factory=dict)
    open_ids: set[tuple[str, str]] = attrs.field(factory=set)
    is_stopped: bool = False
    # Raised at each stop.
    fault: Exception | None = None

    def start(self, kept):
        for each in kept:
            self.accept(each)

    def accept(self, kept):
        finished = kept.finished_ids()
        for item in kept.decode().items:
            if item.item_id not in finished:
                self.open_ids.add((kept.batch_id, item.item_id))

    def finished(self, batch_id, item_ids):
        self.finished_by_batch.setdefault(batch_id, []).extend(item_ids)

    def end(self, batch_id):
        pass

    def stop(self):
        self.is_stopped = True
        if self.fault is not None:
            raise self.fault


class Leading(unittest.TestCase):
    """A leader whose proposals are refused, and whose lease or term goes."""

    def setUp(self):
        self.runners = []
        made = mock.patch.object(service.runner, "BatchRunner", self.make_runner)
        made.start()
        self.addCleanup(made.stop)
        self.replica = Replica(helpers.ManualClock(1000.0))
        self.carrier = mock.Mock(process_id="me")
        given = dict.fromkeys(("view", "protocol", "means", "passing_on", "crashes"))
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

    def make_runner(self, protocol, view, means, hooks, passing_on, crashes):
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

    def test_dropped_result_is_made_again(self):
        """A trainer waits for an item that is never listed, though its leader is well.

        A result is not committed in time, and at that moment the lease has lapsed, for
        less time than the service takes to look. The result is dropped, but the runner,
        which counts the item as finished, goes on in the same term: no other leader
        comes to run it again.
        """

        def refuse(command):
            self.replica.n_lapsed = 1
            return REFUSED

        self.replica.intervene = refuse
        self.runners[0].hooks.finish("b", text_of("i0"))
        self.wait_for(lambda: len(self.runners) == 2)
        self.assertTrue(self.runners[0].is_stopped)
        self.assertIn(("b", "i0"), self.runners[1].open_ids)

    def test_stop_that_fails(self):
        """No item runs for the rest of the day, though the stores have a leader.

        The lease lapses for a moment. Breaking off the runner's attempts fails, here as
        it did with `KeyError`; the runner, whose loop has ended, stays in its place,
        and is asked to stop once more at each look: ten tracebacks a second.
        """
        self.runners[0].fault = KeyError("an attempt that has just ended")
        self.replica.n_lapsed = 1
        self.wait_for(lambda: len(self.runners) == 2)
        self.assertEqual(len(self.runners[1].open_ids), 4)

    def test_nothing_of_an_earlier_term_is_committed(self):
        """A result has the text of one run and the score of another run's.

        Results of two batches wait. While the first is proposed the leader is deposed
        and elected again; the second, a text of the earlier term, is committed in the
        later one, over a text that the leader in between has kept and that is being
        scored.
        """

        def depose(command):
            self.replica.intervene = lambda command: None
            self.replica.hold(3)
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
        """A result has the text of one run and the score of another run's.

        A whole text and its score wait to be committed while the log is slow. The lease
        lapses and comes back in the same term, and the runner that begins then makes
        the text again. All three are taken from the queue together; one command has
        texts before scores, so the second text got the score of the first.
        """

        def begin_another(command):
            self.replica.intervene = lambda command: None
            self.runners[0].hooks.keep_text("c", text_of("i0", b"first"))
            self.runners[0].hooks.score("c", "i0", "of the first")
            self.replica.n_lapsed = 1
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
        """No result of any batch is listed any more, though the leader is well.

        An unexpected error comes up while one result is committed. It ended the task
        that commits all of them. The runner went on, held its items for finished, and
        what it handed over was committed by nobody until another process led.
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
        """Engines are broken off all the time, and the log fills.

        A new runner hands over at its start what was carried over from an earlier
        batch, and committing that fails again, so the next one begins at once.
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
        """Nothing is answered by the stores' leader, and no other takes its place.

        The group has as many proposals as it takes, and refuses more without a wait. A
        task that commits results tried again at once, as long as its process led, and
        let no other task run: none that answers, nor the one that learns that the
        lease is out.
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
    def test_each_save_is_told_its_end(self, name, n_before):
        """A long item is made from its beginning again when the stores' leader goes.

        The text waits for the end of its last save before it hands over more. A save
        that ends in any way untold, an error of the log included, was its last.
        """

        def intervene(command):
            if name == "raises":
                raise OSError(name)
            return REFUSED if name == "refused" else None

        text = texts.Text()
        for number in (1, 2):
            text.add(event_stream.Event(number, b"e"), 1)
        self.replica.intervene = intervene
        self.runners[0].hooks.save("b", (text.take_progress("i0"),))
        n_proposed = len(self.replica.proposed)
        self.wait_for(self.n_proposed(n_proposed + 1))
        text.add(event_stream.Event(3, b"e"), 1)
        following = text.take_progress("i0")
        self.assertIsNotNone(following, name)
        self.assertEqual(following.progress.n_before, n_before, name)
        self.assertEqual(bool(following.progress.follows), bool(n_before), name)

    @tools.params(("not in the log", False), ("skipped by a snapshot", True))
    def test_submission_that_is_not_committed_here(self, name, may_have_applied):
        """A batch is refused with the promise that it never runs, and runs.

        It is in the log, but this replica doesn't see its commit. The gateway was told
        that this replica can't take it, as if it were not in the log.
        """
        self.replica.intervene = lambda command: result.Err(
            client.StateError(reasons.Reason.STATE_UNAVAILABLE, may_have_applied)
        )
        handlers = {call.args[0]: call.args[1] for call in self.carrier.on.mock_calls}
        submit = messages.Submit("d", 2, accept("d").data)
        handlers[messages.Submit](mock.Mock(), submit)
        self.wait_for(lambda: self.carrier.answer.called)
        answer = self.carrier.answer.call_args.args[1]
        self.assertIsInstance(answer, leader_calls.NotLeading, name)
        self.assertEqual(answer.may_have_applied, may_have_applied, name)

    def test_score_without_its_text_finishes_nothing(self):
        """A trainer waits for an item that is never listed.

        Its whole text was dropped while the lease had lapsed; its score, which came a
        moment later, is committed. Nothing is listed, but the runner is told that the
        item is finished, and generates it no more.
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
