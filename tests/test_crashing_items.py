"""Items and scoring requests under which upstreams crash again and again.

They were handed in for later, so nobody sends them again: they stay owed, and are
placed within seconds once all is calm. A quarantine, as single requests have it, held a
sound item back for two minutes and longer after a burst of crashes.
"""

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.batches import model as batch_model
from bilberrydrum.fleet import messages
from bilberrydrum.nodes import options, store
from bilberrydrum.requests import fingerprints
from tests import test_crashing_request, test_nodes_path
from tests.fakes import crashing, node_protocol

# Time within which an item has to be placed and completed after the last crash: it may
# wait for 6 s, and its engine has a backoff of 4 s at most.
PLACED_SECONDS = 10.0
# Time without a crash for which an item waits after its fourth one, and the longest
# time that each crash of an item may take in these tests.
QUIET_SECONDS = quarantine.QUIET_SECONDS
N_SECONDS_PER_CRASH = 10.0
STORE_START_SECONDS = 10.0


class CrashingItems(test_crashing_request.CrashingCase):
    def setUp(self):
        super().setUp()
        self.store = self.start(store.Store, options.Role.STORE, self.protocol)
        self.engine = node_protocol.PlainEngine()
        self.addCleanup(self.engine.stop)
        self.engines = self.start_upstreams(
            "engines", test_crashing_request.N_UPSTREAMS, self.engine.answer, {"m": 1}
        )
        stores = self.gateways[0].view
        self.wait_for(lambda: stores.registry.founder_addresses)

    def ask_stores(self, message):
        return self.gateways[0].store_calls.call(message, 10.0).unwrap()

    def submit(self, *items, batch_id="b"):
        batch = batch_model.Batch(batch_id, "h", items, 0, "m", 0)
        self.ask_stores(batch_messages.Submit.of(batch))

    def results(self, batch_id="b"):
        return self.ask_stores(batch_messages.Read(batch_id, 0, 0.2)).results

    def item(self, number, body, score=None):
        scoring = None
        if score is not None:
            scoring = batch_model.ScoringRequest(
                f"score-{number}", "h", "/look-ups/score", score
            )
        name = f"item-{number}"
        return batch_model.Item(
            name, "/batches/x", {}, body, 9, f"g{number}", scoring=scoring
        )

    def wait_until_completed(self, n_completed, seconds, batch_id="b"):
        """Wait for the results of a batch; fail after `seconds`."""
        with eventlet.Timeout(seconds):
            while len(self.results(batch_id)) < n_completed:
                clock.sleep(0.05)
        states = {each.state for each in self.results(batch_id)}
        self.assertEqual(states, {batch_model.ItemState.COMPLETED})

    def wait_for_crashes(self, given, n_crashed):
        with eventlet.Timeout(N_SECONDS_PER_CRASH * n_crashed):
            while len(given.ended_at) < n_crashed:
                clock.sleep(0.01)

    @tools.params(3, 7)
    def test_item(self, n_crashed):
        """Several engines die while they run the same item; it is never placed again.

        All is calm afterwards and the engines have room, but the item is quarantined.
        """
        self.engines.n_until_calm = n_crashed
        self.submit(self.item(9, crashing.MARK))
        self.wait_for_crashes(self.engines, n_crashed)
        self.wait_until_completed(1, PLACED_SECONDS)

    @tools.params(3, 6)
    def test_scoring_request(self, n_crashed):
        """Several upstreams die while they score the same item; it never ends."""
        self.apps.n_until_calm = n_crashed
        self.submit(self.item(9, b"body", crashing.MARK))
        self.wait_for_crashes(self.apps, n_crashed)
        self.wait_until_completed(1, PLACED_SECONDS)

    def test_many_items(self):
        """Items that were cut off wait for one another though the engines have room."""
        self.engines.n_until_calm = 12
        items = [self.item(number, crashing.MARK) for number in range(40)]
        self.submit(*items)
        self.wait_for_crashes(self.engines, 12)
        self.wait_until_completed(len(items), PLACED_SECONDS)

    @tools.params("engines", "apps")
    def test_others_beside_it(self, service):
        """One item is under each crash; the others have to be completed.

        If it were sent at once to each upstream that is back, nothing else would run.
        """
        given = getattr(self, service)
        is_item = service == "engines"
        marked = (crashing.MARK,) if is_item else (b"body", crashing.MARK)
        usual = (b"body",) if is_item else (b"body", b"score")
        others = [self.item(number, *usual) for number in range(6)]
        self.submit(self.item(9, *marked), *others)
        self.wait_until_completed(len(others), 10.0)
        self.wait_for_crashes(given, 4)
        n_before = len(given.ended_at)
        clock.sleep(8.0)
        n_after = len(given.ended_at) - n_before
        # Two attempts of a scoring request follow one another.
        self.assertLessEqual(n_after, (1 if is_item else 2) * 8.0 / QUIET_SECONDS + 1)
        given.n_until_calm = 0
        self.wait_until_completed(len(others) + 1, PLACED_SECONDS)

    def test_item_in_a_later_batch(self):
        """An item under which engines crashed is held back in later batches, too.

        Its trainer submits it again with every step that waits for its group.
        """
        self.submit(self.item(9, crashing.MARK))
        self.wait_for_crashes(self.engines, 5)
        self.ask_stores(batch_messages.AskEnd("b"))
        self.engines.n_until_calm = 0
        self.submit(self.item(9, crashing.MARK), batch_id="b1")
        self.wait_until_completed(1, PLACED_SECONDS, "b1")

    def test_leader_that_starts_again(self):
        """A new leader of the stores holds back what its predecessor had seen.

        The predecessor has reported the item as one that crashes its engines.
        """
        self.submit(self.item(9, crashing.MARK))
        self.wait_for_crashes(self.engines, 6)
        clock.sleep(1.0)
        self.start_store_again()
        self.engines.n_until_calm = 0
        self.wait_until_completed(1, PLACED_SECONDS + STORE_START_SECONDS)

    def test_single_request_with_the_same_content(self):
        """A quarantine of a single request holds back an item with its content.

        The control group's history may also have items of the release before.
        """
        self.engines.n_until_calm = 0
        fingerprint = fingerprints.of_request("POST", "h", "/batches/x", "", b"body")
        crashes = [
            quarantine.Crash(fingerprint, "POST h/batches/x", f"u{number}")
            for number in range(3)
        ]
        reports = tuple(
            messages.CrashReport(crash, 3.0 - number)
            for number, crash in enumerate(crashes)
        )
        self.ask_control(messages.ReportCrashes(reports))
        history = self.ask_control(messages.ListCrashes())
        (known,) = history.evidence_by_fingerprint.values()
        self.assertIs(known.standing(), quarantine.Standing.QUARANTINED)
        self.wait_for(lambda: not self.store.view.crashes.is_empty())
        self.submit(self.item(9, b"body"))
        self.wait_until_completed(1, PLACED_SECONDS)

    def test_group_knows_of_no_item(self):
        """Guard against a quarantine of single requests for the crashes of an item."""
        self.engines.n_until_calm = 6
        self.submit(self.item(9, crashing.MARK))
        self.wait_for_crashes(self.engines, 6)
        self.wait_until_completed(1, PLACED_SECONDS)
        self.assertTrue(self.ask_control(messages.ListCrashes()).is_empty())

    def start_store_again(self):
        node = self.nodes[self.store]
        self.store.stop()
        for address in (node.control_address, node.store_address):
            self.wait_for(lambda address=address: test_nodes_path.is_free(address))
        node = attrs.evolve(node, is_first_start=False)
        self.store = store.Store(node, self.protocol)
        self.nodes[self.store] = node
        self.store.start()
        self.addCleanup(self.store.stop)
