"""The soak: what it draws, what its ledger finds, and a short run of it."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import eventlet
from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import (  # noqa: E402
    standin_accounts,
    standins,
    upstreams,
)

from bilberrydrum import clock, upstream_protocol  # noqa: E402
from bilberrydrum.batches import model as batch_model  # noqa: E402
from misc.soaks import (  # noqa: E402
    soak_accounts,
    soak_clients,
    soak_faults,
    soak_ledger,
    soak_run,
    soak_runs,
    soak_site,
    soak_streams,
    soak_upstreams,
)

TARGETS = soak_faults.Targets(
    {"control": ("c0", "c1"), "store": ("s0", "s1"), "gateway": ("g0",)},
    ("control", "store"),
    ("e0", "a0"),
)
# Seeds that have found a fault, and how long they run; run on each change.
# 202: two tasks of the soak started the same process, and the second ended again and
# again on the ports of the first. Engines that were asked to go on with a text ended
# their answers without an event, and the text was listed as whole: by what is drawn,
# two items of the first trainer's batch meet that.
# 3, which `test_one_seed` runs: the soak stopped its trainer between the commit of an
# end and its answer, and then asked for the items that were left. An engine left out
# the first event of an item of the trainer's first batch, and the text was listed so.
# 40123: healing ended a fault's task that had started a process and not noted it yet;
# the next one ended again and again on its ports.
REGRESSION_SEEDS = ((202, 15.0), (40123, 12.0))


class Faults(unittest.TestCase):
    """The faults of a seed."""

    def test_same_seed_same_faults(self):
        first = soak_faults.draw(7, 30.0, TARGETS)
        self.assertEqual(first, soak_faults.draw(7, 30.0, TARGETS))
        self.assertNotEqual(first, soak_faults.draw(8, 30.0, TARGETS))

    def test_all_kinds_come(self):
        drawn = [f for seed in range(20) for f in soak_faults.draw(seed, 30.0, TARGETS)]
        self.assertEqual({each.kind for each in drawn}, set(soak_faults.Kind))

    def test_leader_is_killed_frozen_and_cut(self):
        drawn = [f for seed in range(20) for f in soak_faults.draw(seed, 30.0, TARGETS)]
        kinds = {e.kind for e in drawn if e.target == soak_faults.LEADER}
        expected = {*soak_faults.LEADER_KINDS} - {soak_faults.Kind.KILL_ALL}
        self.assertEqual(kinds, expected)

    def test_one_disk_of_a_group_at_a_time(self):
        """A group of three bears one lost disk until its successor has caught up."""
        for seed in range(50):
            wiped_at = {}
            for fault in soak_faults.draw(seed, 60.0, TARGETS):
                if fault.kind is soak_faults.Kind.WIPE:
                    group = fault.target[0]
                    earlier = wiped_at.get(group, -soak_faults.WIPE_SECONDS)
                    self.assertGreaterEqual(
                        fault.at - earlier, soak_faults.WIPE_SECONDS
                    )
                    wiped_at[group] = fault.at


def listed(item_id="i", text="", versions=(2,), score=""):
    return standins.Listed(item_id, True, text, versions, score)


class Starting(unittest.TestCase):
    """A process takes a while to start, and the task that starts it is ended."""

    def test_no_process_is_left_behind(self):
        """Healing ends the task of a fault between a start and its note.

        The process runs on and nobody knows of it: whoever starts the next one finds
        its ports taken, until the end of the run and after it.
        """
        with tempfile.TemporaryDirectory() as folder:
            site = soak_site.Site(
                pathlib.Path(folder),
                19,
                soak_site.Sizes(),
                soak_ledger.Ledger(),
                lambda call: True,
            )
            self.addCleanup(site.stop)
            started = []

            def start(name):
                started.append(name)
                eventlet.sleep(0.05)
                site.processes.processes_by_name[name] = Running()

            with mock.patch.object(site, "_start", start):
                fault = eventlet.spawn(site._start_process, "gateway-0")
                eventlet.sleep(0.01)
                fault.kill()
                site._start_process("gateway-0")
        self.assertEqual(started, ["gateway-0"])


class Errors(unittest.TestCase):
    """An error that a process met is found, also if it was replaced at once."""

    def test_errors(self):
        line = {"message_type": "eliot:traceback", "exception": "E", "reason": "why"}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "store-1.out")
            whole = json.dumps(line)
            path.write_text(f"not json\n{whole}\n{whole[:-9]}")
            found = list(soak_site.errors(path.parent))
        self.assertEqual(found, [("store-1", "E: why")])


class Leader(unittest.TestCase):
    """Faults of the leader go to the store that sent the last order."""

    @tools.params(("", "store-0"), ("127.19.2.5:7304", "store-1"))
    def test_leader(self, holder, expected):
        ledger = soak_ledger.Ledger()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            site = soak_site.Site(path, 19, soak_site.Sizes(), ledger, lambda _: True)
            self.addCleanup(site.stop)
            order = standins.OrderGiven("m", 2, holder, 7, 0)
            ledger.ordered("e", order)
            self.assertEqual(site.leader(), expected)


class Running:
    """Stands for a process that has not ended."""

    def is_running(self):
        return True

    def send(self, number):
        pass

    def thaw(self):
        pass

    @property
    def popen(self):
        return mock.Mock()


class Accounts(unittest.TestCase):
    """Keys that die, claims that are forged, and reports that differ are found."""

    def setUp(self):
        self.found = []
        self.accounts = soak_accounts.Accounts(self.found.append)
        self.accounts.put(soak_accounts.accounts_of(3), 0.0)
        self.accounts.put(soak_accounts.accounts_of(9), 100.0)

    def ran(self, account="desk", has_key=False):
        claim = standin_accounts.Claim(account, has_key)
        self.accounts.ran("r", claim)

    @tools.params(
        ("a key in force", "key-9", 200.0, "desk", False, 0),
        ("a dead key within the bound", "key-3", 104.9, "desk", False, 0),
        ("a dead key", "key-3", 105.1, "desk", False, 1),
        ("another account's name", "key-9", 200.0, "trainer", False, 1),
        ("nobody's name", "key-9", 200.0, "", False, 1),
        ("the key itself", "key-9", 200.0, "desk", True, 1),
    )
    def test_requests(self, name, key, sent_at, account, has_key, n_found):
        self.accounts.sent("r", key, sent_at)
        self.ran(account, has_key)
        self.assertEqual(len(self.found), n_found, (name, self.found))

    def test_items_are_the_trainers(self):
        self.ran("trainer")
        self.assertEqual(self.found, [])
        self.ran("desk")
        self.assertEqual(len(self.found), 1)

    @tools.params(
        (soak_accounts.DESK_KEY, 401, 1),
        (soak_accounts.DESK_KEY, 503, 0),
        ("key-3", 401, 0),
    )
    def test_refusals(self, key, status, n_found):
        self.accounts.sent("r", key, 200.0)
        self.accounts.answered("r", status)
        self.assertEqual(len(self.found), n_found)

    @tools.params(
        ("the same again, by another holder", (7, {"a": 1}, "c2", 5), 0),
        ("other counts", (7, {"a": 2}, "c2", 5), 1),
        ("a number of two holders", (8, {"a": 1}, "c2", 4), 1),
    )
    def test_reports(self, name, second, n_found):
        self.accounts.reported(standin_accounts.Report(7, {"a": 1}, "c1", 4))
        self.accounts.reported(standin_accounts.Report(*second))
        self.assertEqual(len(self.found), n_found, (name, self.found))


class Found(unittest.TestCase):
    """What breaks a promise is found; what keeps it is not."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.ledger.accepted("b", {"i": 2, "j": 2}, 2, 0.0)
        self.texts_by_id = {each: self.make(each) for each in "ijk"}

    def make(self, item_id, version=2):
        run = self.ledger.runs.begin(item_id, "e", 0, 2)
        return "\n".join(run.make(n, version) for n in (1, 2))

    def listed(self, item_id="i", **fields):
        return listed(item_id, **{"text": self.texts_by_id[item_id], **fields})

    def n_findings(self):
        return len(self.ledger.findings)

    @tools.params(
        ("as promised", [{}, {"item_id": "j"}], 0),
        ("a version is not named", [{"versions": (2, 3)}], 1),
        ("a version that made none", [{"versions": ()}], 1),
        ("listed twice", [{}, {}], 1),
        ("not an item of it", [{"item_id": "k"}], 1),
    )
    def test_results(self, name, results, expected):
        page = standins.Page(2, tuple(self.listed(**each) for each in results))
        self.ledger.read("b", 0, page)
        self.assertEqual(self.n_findings(), expected, self.ledger.findings)

    def test_too_old(self):
        result = self.listed(text=self.make("i", version=1), versions=(1,))
        self.ledger.read("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    def test_text_of_another_item(self):
        result = self.listed(text=self.texts_by_id["j"])
        self.ledger.read("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    @tools.params(
        ("as promised", "s.k-score", 0),
        ("none", "", 1),
        ("another's", "s.j-score", 1),
    )
    def test_scores(self, name, score, expected):
        self.ledger.accepted("c", {"k": 2}, 2, 0.0, frozenset({"k"}))
        result = self.listed("k", score=score)
        self.ledger.read("c", 0, standins.Page(1, (result,)))
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("after the text", "m-score", 2, 0),
        ("before the text", "m-score", 1, 1),
        ("no scoring request", "m", 1, 0),
    )
    def test_scored_too_early(self, name, request_id, n_made, expected):
        run = self.ledger.runs.begin("m", "e", 0, 2)
        for number in range(1, n_made + 1):
            run.make(number, 2)
        self.ledger.scored(request_id)
        self.assertEqual(self.n_findings(), expected, name)

    def test_result_that_changed(self):
        self.ledger.read("b", 0, standins.Page(2, (self.listed(),)))
        self.ledger.read("b", 0, standins.Page(2, (self.listed(),)))
        self.assertEqual(self.n_findings(), 0)
        self.ledger.read("b", 0, standins.Page(2, (self.listed("j"),)))
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("served", [("ran", "r"), ("answered", "r", 200)], 0),
        ("refused", [("answered", "r", 503)], 0),
        ("unknown", [("ran", "r"), ("answered", "r", 502)], 0),
        ("twice", [("ran", "r"), ("ran", "r")], 1),
        ("refused, had run", [("ran", "r"), ("answered", "r", 503)], 1),
        ("refused, ran later", [("answered", "r", 429), ("ran", "r")], 1),
    )
    def test_once_only(self, name, steps, expected):
        for what, request_id, *status in steps:
            if what == "ran":
                self.ledger.ran_once_only(request_id, "u")
            else:
                self.ledger.answered_once_only(request_id, *status)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("its own answer", (200, b"r", "s"), 0),
        ("another's answer", (200, b"q", "s"), 1),
        ("nobody's answer", (200, b"r", ""), 1),
        ("a failure", (502, b"", ""), 0),
    )
    def test_answers(self, name, answer, expected):
        self.ledger.answered("r", *answer)
        self.assertEqual(self.n_findings(), expected, name)

    def test_policy_that_fell_back(self):
        self.ledger.put_policy(6)
        self.ledger.read_policy(6, 6)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.read_policy(3, 6)
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("in time", 2.0, -100.0, 0),
        ("late", 4.0, -100.0, 1),
        ("late after a fault", 4.0, 1.0, 0),
    )
    def test_after_leaving(self, name, at, disturbed_at, expected):
        self.ledger.disturbed(disturbed_at)
        self.ledger.left("u", 0.0)
        self.ledger.received("u", "r", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params((False, 0), (True, 1))
    def test_announcement_of_nobody(self, is_acknowledged, expected):
        self.ledger.announced_wrongly(b"{}", is_acknowledged)
        self.assertEqual(self.n_findings(), expected)

    @tools.params(("in time", 2.0, 0), ("late", 4.0, 1))
    def test_after_the_end(self, name, at, expected):
        self.ledger.ended("b", 0.0)
        self.ledger.received("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("ended before", 4.0, 0.5, 1),
        ("ended later", 4.0, 2.0, 0),
        ("open", 9.0, None, 0),
    )
    def test_item_of_two_batches(self, name, at, ended_at, expected):
        """An item that comes again runs until the last of its batches has ended."""
        self.ledger.sent("c", ["i"])
        self.ledger.ended("b", 0.0)
        if ended_at is not None:
            self.ledger.accepted("c", {"i": 2}, 2, 0.0)
            self.ledger.ended("c", ended_at)
        self.ledger.received("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("of the open batch", "c", 0.0, 9.0, -100.0, 0),
        ("in time", "b", 0.0, 2.0, -100.0, 0),
        ("late", "b", 0.0, 4.0, -100.0, 1),
        ("late, sent after the end", "b", 3.5, 4.0, -100.0, 1),
        ("late after a fault", "b", 3.5, 4.0, 1.0, 0),
        ("late, met a fault", "b", -2.0, 9.0, -1.0, 0),
        ("late, sent after a fault", "b", -0.5, 9.0, -1.0, 1),
        ("of a batch that nobody acknowledged", "d", 0.0, 9.0, -100.0, 0),
        ("of no batch", "", 0.0, 9.0, -100.0, 0),
    )
    def test_attempt_that_outlives_its_batch(
        self, name, batch_id, began_at, at, disturbed_at, expected
    ):
        """An item's first batch ends while its second one is open, and stays so.

        The item's id is the same in both: only the mark of each attempt tells that it
        goes on for a batch that nobody reads, with places that others wait for.
        """
        self.ledger.accepted("c", {"i": 2}, 2, 0.0)
        run = self.ledger.runs.begin("i", "e", 0, 9, batch_id, began_at)
        self.ledger.disturbed(disturbed_at)
        self.ledger.ended("b", 0.0)
        for seconds in (0.0, 0.1):
            self.ledger.goes_on(run, at + seconds)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    @tools.params(
        ("of the open batch", "c", 9.0, -100.0, 0),
        ("in time", "b", 2.0, -100.0, 0),
        ("late", "b", 4.0, -100.0, 1),
        ("late after a fault", "b", 4.0, 1.0, 0),
        ("of no batch", "", 9.0, -100.0, 0),
    )
    def test_request_that_outlives_its_batch(
        self, name, batch_id, at, disturbed_at, expected
    ):
        """As above, of a request that an engine gets, whether or not it runs it."""
        self.ledger.accepted("c", {"i": 2}, 2, 0.0)
        self.ledger.disturbed(disturbed_at)
        self.ledger.ended("b", 0.0)
        self.ledger.received("e", "i", at, batch_id)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    def test_end_whose_answer_was_not_seen(self):
        """The trainer asks for the end and is stopped before the answer comes.

        The end may be in force, so the items that are left need not be made; a batch
        whose end nobody asked for must be finished.
        """
        self.assertTrue(self.ledger.must_finish("b"))
        self.ledger.end_asked("b")
        self.assertFalse(self.ledger.must_finish("b"))

    def test_two_holders_of_one_number(self):
        order = standins.OrderGiven("m", 2, "s0", 7, 0)
        other = standins.OrderGiven("m", 3, "s1", 7, 1)
        self.ledger.ordered("e", order)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.ordered("e", other)
        self.assertEqual(self.n_findings(), 1)

    @tools.params((3, 0), (4, 1), (9, 1))
    def test_process_that_ends_again_and_again(self, n_ends, expected):
        for _ in range(n_ends):
            self.ledger.ended_by_itself("store-0", 1, 0.0)
        self.ledger.ended_by_itself("store-1", 1, 0.0)
        self.assertEqual(self.n_findings(), expected)

    @tools.params((0.5, 0), (1.5, 1))
    def test_unknown_batch(self, asked_at, expected):
        self.ledger.not_found("b", asked_at)
        self.assertEqual(self.n_findings(), expected)


# What three runs of an item of eight events make: one breaks off after event 5, the
# second goes on with it, the third begins anew. By run: asked to go on after, made to.
RUNS = ((0, 5), (5, 8), (0, 8))


class Texts(unittest.TestCase):
    """A text is judged by the runs that made its events."""

    def setUp(self):
        self.runs = soak_runs.Runs()
        made = [self.runs.begin("i", "e", after, 8) for after, _ in RUNS]
        self.data_by_event = {
            (run.number, n): run.make(n, 2)
            for run, (after, last) in zip(made, RUNS, strict=True)
            for n in range(after + 1, last + 1)
        }

    @tools.params(
        ("of one run", [(2, 1, 8)], ""),
        ("gone on with", [(0, 1, 5), (1, 6, 8)], ""),
        ("nothing", [], "it ends after event 0"),
        ("without its end", [(0, 1, 5)], "it ends after event 5 of 8"),
        ("without its beginning", [(2, 3, 8)], "event 1 is 'i:3/8"),
        ("an event missing", [(2, 1, 3), (2, 5, 8)], "event 4 is 'i:5/8"),
        ("an event twice", [(2, 1, 3), (2, 3, 8)], "event 4 is 'i:3/8"),
        ("two by turns", [(0, 1, 2), (2, 3, 8)], "it goes on after event 2"),
        ("asked after another", [(2, 1, 5), (1, 6, 8)], ""),
        ("back to the first", [(0, 1, 5), (1, 6, 7), (2, 8, 8)], "it goes on after"),
    )
    def test_order(self, name, pieces, expected):
        events = [(run, n) for run, a, b in pieces for n in range(a, b + 1)]
        text = "\n".join(self.data_by_event[each] for each in events)
        found = list(self.runs.faults("i", 8, text))
        self.assertEqual(len(found), bool(expected), found)
        self.assertTrue(not expected or found[0].startswith(expected), found)

    @tools.params(
        ("under another version", "i:1/8:3:0", "which run 0"),
        ("never made by its run", "i:1/8:2:1", "which run 1"),
        ("of no run", "i:1/8:2:9", "event 1 is"),
        ("no event's data", "what", "event 1 is"),
    )
    def test_event_that_was_not_made(self, name, text, expected):
        (found,) = self.runs.faults("i", 8, text)
        self.assertIn(expected, found)

    def test_shape_is_read_back(self):
        shapes = [soak_runs.Shape.draw(f"i-{n}") for n in range(200)]
        for shape in shapes:
            self.assertEqual(soak_runs.Shape.read(shape.body("i")), shape)
        self.assertTrue(any(2.0 <= e.n_events * e.pause_seconds <= 4.0 for e in shapes))


class Marks(unittest.TestCase):
    """Each attempt tells the batch that it is made for."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.upstream = soak_upstreams.Upstream(
            "engines-0", "engines", "127.0.0.1", self.ledger, lambda call: False
        )
        self.upstream.start()
        self.addCleanup(self.upstream.stop)

    def ask(self, batch_id):
        """Send an item's request, as the product does, and read all of its answer."""
        body = soak_runs.Shape(9, 0.02).body("i")
        item = batch_model.Item("i", "/x", {}, body, 9)
        (item,) = soak_clients.marked(soak_clients.marked((item,), "b"), batch_id)
        attempt = upstream_protocol.Attempt(
            "i", self.upstream.announced_id, 5.0, account="trainer"
        )
        headers = upstreams.PlatformProtocol().relay_headers(item.headers, attempt)
        call = standins.Call("POST", item.target, headers, item.body)
        return soak_clients.ask_once(self.upstream.link.address, call, 10.0)

    @tools.params(("b", "before", 1), ("b", "while it runs", 1), ("c", "before", 0))
    def test_engine_tells_the_batch(self, batch_id, ended, n_found):
        for each in ("b", "c"):
            self.ledger.sent(each, ["i"])
            self.ledger.accepted(each, {"i": 9}, 1, 0.0)
        if ended == "before":
            self.ledger.ended("b", clock.now() - 10.0)
        asking = eventlet.spawn(self.ask, batch_id)
        with eventlet.Timeout(10.0):
            while not self.ledger.runs.of("i"):
                clock.sleep(0.005)
        self.assertEqual(len(self.ledger.findings), n_found * (ended == "before"))
        if ended != "before":
            self.ledger.ended("b", clock.now() - 10.0)
        self.assertEqual(asking.wait().status, 200)
        expected = ["i of b outlived it at engines-0-1"] * n_found
        self.assertEqual(self.ledger.findings, expected)

    def test_items_that_come_again_are_marked_anew(self):
        clients = soak_clients.Clients(self.ledger, 1, ["g"], ["c"])
        first = clients._batch(1, 1)
        again = clients._batch(2, 1, first.items[:4])
        for batch in (first, again):
            marks = {e.headers[soak_ledger.BATCH_HEADER] for e in batch.items}
            self.assertEqual(marks, {batch.batch_id})
        self.assertEqual(first.items[0].item_id, again.items[0].item_id)


class Troubles(unittest.TestCase):
    """What goes wrong in engines' runs."""

    def plans(self, n_runs, asked_after=0, n_due=30):
        runs = soak_runs.Runs()
        drawn = [runs.begin(f"i-{n}", "e", asked_after, n_due) for n in range(2000)]
        return [soak_streams.draw(run, n_runs) for run in drawn]

    def test_all_come(self):
        drawn = {each.trouble for each in self.plans(2, asked_after=6)}
        self.assertEqual(drawn, {None, *soak_streams.Trouble})

    def test_within_the_events_that_are_due(self):
        for plan in self.plans(1) + self.plans(2, asked_after=6):
            self.assertTrue(plan.trouble is None or 1 <= plan.at < 30, plan)

    def test_item_is_made_some_time(self):
        self.assertEqual({each.trouble for each in self.plans(5)}, {None})


class Run(unittest.TestCase):
    """Short runs of the real processes."""

    def run_seed(self, seed, seconds):
        script = str(ROOT / "misc" / "soak")
        command = [sys.executable, script, "--seeds", "1", "--first", str(seed)]
        done = subprocess.run(
            [*command, "--seconds", str(seconds)],
            capture_output=True,
            text=True,
            check=False,
            timeout=200,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_one_seed(self):
        self.run_seed(3, 6.0)

    @tools.params(*REGRESSION_SEEDS)
    def test_regressions(self, seed, seconds):
        self.run_seed(seed, seconds)


class Networks(unittest.TestCase):
    """Soaks that run side by side have loopback networks of their own."""

    def test_network_in_use_is_not_drawn(self):
        """Two soaks drew the same network: each one's upstreams got the other's items.

        The lines of one named items of the other ("s31011-batch-3-11 was to be scored
        before its text was whole", in seed 202), and its processes ended 418 times.
        """
        with soak_run.network(range(200, 202)) as first:
            with soak_run.network(range(200, 202)) as second:
                self.assertEqual({first, second}, {200, 201})
                none_left = self.assertRaises(soak_run.NoNetworkError)
                with none_left, soak_run.network(range(200, 202)):
                    pass
            with soak_run.network(range(200, 202)) as again:
                self.assertEqual(again, second)
