"""Each verb: the request that it sends, what it prints, and its exit code."""

import errno
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

import result
from nose2 import tools

from bilberrydrum.state import machine, membership, snapshot
from bilberrydrum_cli import client, codes, output, session, verbs
from bilberrydrum_cli import commands as _commands  # noqa: F401
from bilberrydrum_cli import local as _local  # noqa: F401
from bilberrydrum_cli import queries as _queries  # noqa: F401

SNAPSHOT = snapshot.encode(
    snapshot.Header(
        7,
        2,
        1e9,
        membership.Membership(
            (membership.ReplicaInfo("r-1", "ate-1", "10.0.0.1:9080"),)
        ),
    ),
    machine.State(),
)


class Gateways:
    """Fake of the client: records each request and returns the scripted outcomes."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.timeouts = []

    def json(self, method, target, body=None, timeout=None):
        self.timeouts.append(timeout)
        self.requests.append((method, target, body))
        outcome = self.script.pop(0)
        return outcome if isinstance(outcome, result.Err) else result.Ok(outcome)

    def call(self, call):
        self.requests.append((call.method, call.target, call.body))
        return result.Ok(client.Answer("http://a", 200, self.script.pop(0)))


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


def refused(status, **problem):
    return result.Err(client.Refused("http://a", status, problem))


UNAVAILABLE = result.Err(
    client.Unavailable(
        10.0, {"http://a": client.Attempt("http://a", "refused", True)}, True
    )
)


def make_session(gateways, form=output.FORM_TABLE):
    clock = Clock()
    return session.Session(
        gateways, form, io.StringIO(), io.StringIO(), clock, clock.sleep
    )


def run(verb, *script, form=output.FORM_TABLE):
    gateways = Gateways(*script)
    current = make_session(gateways, form)
    code = verbs.run(verb, current)
    return code, current.out.getvalue(), current.err.getvalue(), gateways.requests


REQUESTS = (
    (verbs.ListBundles(), "GET", "/v1/bundles", None),
    (verbs.BundleStatus(3), "GET", "/v1/bundles/3/status", None),
    (verbs.SignOffBundle(3, "ab"), "POST", "/v1/bundles/3/sign-off", {"digest": "ab"}),
    (verbs.RollBundle(3, "ab"), "POST", "/v1/bundles/3/roll", {"digest": "ab"}),
    (verbs.ListUpstreams(), "GET", "/v1/upstreams", None),
    (verbs.DrainUpstream("a/b c"), "POST", "/v1/upstreams/a%2Fb%20c/drain", {}),
    (verbs.ListQuarantine(), "GET", "/v1/quarantine", None),
    (verbs.LiftQuarantine("ab"), "DELETE", "/v1/quarantine/ab", None),
    (verbs.UndrainUpstream("e-1"), "DELETE", "/v1/upstreams/e-1/drain", None),
    (verbs.SetRole("e", "r"), "POST", "/v1/upstreams/e/role", {"role": "r"}),
    (verbs.WeightStatus(), "GET", "/v1/weights", None),
    (verbs.ListTrainers(), "GET", "/v1/trainers", None),
    (verbs.ShowTrainer("x?y"), "GET", "/v1/trainers/x%3Fy", None),
    (verbs.TraceSample("outage/g 1/2"), "GET", "/v1/samples/outage/g%201/2", None),
    (verbs.StateStatus(), "GET", "/v1/state", None),
    (verbs.ListMembers(), "GET", "/v1/state", None),
    (
        verbs.AddMember("p", "10.0.0.1:9080"),
        "POST",
        "/v1/state/members",
        {"process_id": "p", "peer_address": "10.0.0.1:9080"},
    ),
    (verbs.RemoveMember("r-1"), "DELETE", "/v1/state/members/r-1", None),
)

FAILURES = (
    (refused(401, reason="unauthorized"), codes.UNAUTHORIZED, "unauthorized"),
    (refused(404, reason="not-found", detail="d"), codes.NOT_FOUND, "404): d"),
    (refused(409, reason="membership-refused"), codes.REFUSED, "membership-refused"),
    (refused(500), codes.FAILED, "refused (status 500)"),
    (
        refused(
            409, reason="bundle-conflict", winner_digest="cd", winner_author="rosa"
        ),
        codes.REFUSED,
        "bundle cd of rosa holds this version",
    ),
    (
        refused(
            422,
            reason="bundle-invalid",
            findings=[
                {"file": "b.yaml", "line": 3, "column": 5, "message": "bad"},
                {"odd": 1},
            ],
        ),
        codes.FINDINGS,
        'b.yaml:3:5: error: bad\n{"odd": 1}\n',
    ),
    (UNAVAILABLE, codes.UNAVAILABLE, "it is safe to send the same command again"),
    (result.Err(client.InvalidAnswer("http://a", 200)), codes.FAILED, "not JSON"),
)


def status(state, n_confirmed, waiting_for=()):
    return {
        "version": 3,
        "state": state,
        "n_confirmed": n_confirmed,
        "n_gateways": 2,
        "waiting_for": list(waiting_for),
    }


ROLLING = status("rolling", 1, ["gw-2"])
IN_FORCE = status("in-force", 2)
# The answers to the polls, the exit code, and a part of the printed messages.
WAITS = (
    ("at once", [IN_FORCE], codes.OK, "in-force, 2 of 2 gateways"),
    ("in time", [ROLLING, ROLLING, IN_FORCE], codes.OK, "waiting for gw-2\n"),
    ("no gateway answers one poll", [UNAVAILABLE, IN_FORCE], codes.OK, "2 of 2"),
    ("superseded", [status("superseded", 2)], codes.NOT_IN_FORCE, "newer one"),
    ("late", [ROLLING] * 5, codes.NOT_IN_FORCE, "not in force everywhere after 1 s"),
    ("refused", [refused(404, reason="not-found")], codes.NOT_FOUND, "not-found"),
    ("none answers", [UNAVAILABLE] * 5, codes.UNAVAILABLE, "no gateway answered"),
)


class TestVerbs(unittest.TestCase):
    @tools.params(*REQUESTS)
    def test_request(self, verb, method, target, body):
        code, out, err, requests = run(verb, {"members": []})
        self.assertEqual(requests, [(method, target, body)])
        self.assertEqual((code, err), (codes.OK, ""))
        self.assertIn("(none)\n", out)

    @tools.params(*FAILURES)
    def test_failure_has_its_code_and_says_why(self, failure, code, message):
        verb = verbs.SignOffBundle(3, "ab")
        got, out, err, _ = run(verb, failure)
        self.assertEqual((got, out), (code, ""))
        self.assertIn(message, err)

    @tools.params(*FAILURES)
    def test_failure_in_json_is_one_value(self, failure, code, message):
        got, out, _, _ = run(verbs.ListBundles(), failure, form=output.FORM_JSON)
        self.assertEqual(got, code)
        self.assertIsInstance(json.loads(out), dict)

    @tools.params(*WAITS)
    def test_roll_waits_until_in_force(self, name, polls, code, message):
        verb = verbs.RollBundle(3, "ab", wait=True, wait_seconds=1.0)
        rolling = {"version": 3, "digest": "ab", "state": "rolling"}
        got, _, err, requests = run(verb, rolling, *polls)
        self.assertEqual(got, code)
        self.assertIn(message, err)
        self.assertEqual(len(requests), 1 + len(polls))

    def test_poll_timeout_is_bounded_by_the_wait(self):
        gateways = Gateways({}, *[ROLLING] * 5)
        verb = verbs.RollBundle(3, "ab", wait=True, wait_seconds=1.0)
        verbs.run(verb, make_session(gateways))
        self.assertEqual(gateways.timeouts, [None, 1.0, 0.75, 0.5, 0.25, 0.25])

    def test_progress_outside_a_terminal_is_a_line_per_change(self):
        verb = verbs.RollBundle(3, "ab", wait=True, wait_seconds=60.0)
        _, _, err, _ = run(verb, {}, *[ROLLING] * 20, IN_FORCE)
        self.assertEqual(len(err.splitlines()), 2)


class TestFiles(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "file"

    @tools.params(
        (verbs.CheckBundle, "/v1/bundles/check"), (verbs.SubmitBundle, "/v1/bundles")
    )
    def test_bundle_is_sent_unchanged(self, verb_class, target):
        self.file.write_text("version: 1 # ñ\n")
        name = str(self.file)
        code, _, _, requests = run(verb_class(name), {"digest": "ab"})
        body = {"content": "version: 1 # ñ\n", "file_name": name}
        self.assertEqual((code, requests), (codes.OK, [("POST", target, body)]))

    @tools.params(
        verbs.CheckBundle,
        verbs.SubmitBundle,
        verbs.CheckSettings,
        verbs.RestoreSnapshot,
        lambda name: verbs.DiffBundles(name, name),
    )
    def test_file_that_cannot_be_read(self, make_verb):
        code, _, err, requests = run(make_verb(str(self.file)))
        self.assertEqual((code, requests), (codes.FILE, []))
        self.assertIn(f"{self.file}: error: cannot be read", err)

    def test_show_prints_the_content_that_can_be_submitted_again(self):
        content = "version: 3\nparent: 2\n"
        _, out, _, _ = run(verbs.ShowBundle(3), {"version": 3, "content": content})
        self.assertEqual(out, content)

    def test_diff_of_a_version_and_a_file(self):
        self.file.write_text("a: 1\nb: 3\n")
        verb = verbs.DiffBundles("3", str(self.file))
        code, out, _, _ = run(verb, {"content": "a: 1\nb: 2\n"})
        self.assertEqual(code, codes.OK)
        self.assertEqual(out.splitlines()[3:], [" a: 1", "-b: 2", "+b: 3"])

    def test_snapshot_is_saved_once_inspected_and_restored_unchanged(self):
        verb = verbs.SaveSnapshot(str(self.file))
        code, out, _, _ = run(verb, SNAPSHOT, form=output.FORM_JSON)
        self.assertEqual((code, json.loads(out)["n_bytes"]), (codes.OK, len(SNAPSHOT)))
        self.assertEqual(self.file.read_bytes(), SNAPSHOT)
        code, _, err, _ = run(verb, SNAPSHOT)
        self.assertEqual(code, codes.FILE)
        self.assertIn("File exists", err)
        verb = verbs.InspectSnapshot(str(self.file))
        code, out, _, requests = run(verb, form=output.FORM_JSON)
        self.assertEqual((code, requests), (codes.OK, []))
        self.assertEqual(json.loads(out)["index"], 7)
        self.assertEqual(json.loads(out)["members"][0]["process_id"], "ate-1")
        verb = verbs.RestoreSnapshot(str(self.file))
        _, _, _, requests = run(verb, b"{}")
        self.assertEqual(requests, [("POST", "/v1/state/snapshot", SNAPSHOT)])

    def test_no_partial_snapshot_is_left_when_the_disk_is_full(self):
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch("os.fsync", side_effect=full):
            code, _, err, _ = run(verbs.SaveSnapshot(str(self.file)), SNAPSHOT)
        self.assertEqual((code, self.file.exists()), (codes.FILE, False))
        self.assertIn("No space left on device", err)

    @tools.params(
        b"", SNAPSHOT[:-1], SNAPSHOT[:-1] + b"\0", SNAPSHOT + b"\0", SNAPSHOT[1:]
    )
    def test_damaged_snapshot_is_neither_saved_nor_restored(self, data):
        code, _, err, _ = run(verbs.SaveSnapshot(str(self.file)), data)
        self.assertEqual((code, self.file.exists()), (codes.FINDINGS, False))
        self.assertIn("digest does not match", err)
        self.file.write_bytes(data)
        for verb_class in (verbs.InspectSnapshot, verbs.RestoreSnapshot):
            code, _, _, requests = run(verb_class(str(self.file)))
            self.assertEqual((code, requests), (codes.FINDINGS, []))

    @tools.params(
        ("process_id: a\nstate: {data_folder: d}\n", codes.OK, "no findings"),
        ("process_id: a b\nx: 1\n", codes.FINDINGS, ":2:1: error: unknown key 'x'"),
    )
    def test_settings_check(self, text, code, message):
        self.file.write_text(text)
        got, _, err, _ = run(verbs.CheckSettings(str(self.file)))
        self.assertEqual(got, code)
        self.assertIn(message, err)

    def test_generated_secret_is_not_printed(self):
        code, out, err, _ = run(verbs.GenerateKeys(str(self.file)))
        self.assertEqual(code, codes.OK)
        secret = self.file.read_text().split('"')[3]
        self.assertEqual(len(secret), 40)
        self.assertNotIn(secret, out + err)


class TestUpstreams(unittest.TestCase):
    UPSTREAMS = {
        "upstreams": [
            {
                "upstream_id": "e-1",
                "availability_zone": "Ate",
                "address": "10.0.0.1:9000",
                "models": {"planner": {"weight_version": 3, "loaded_versions": [3]}},
                "state": "stands",
                "is_drained": False,
                "home": "ate-1",
                "load": {"n_running": 2, "n_waiting": 1},
            },
            {"upstream_id": "s-1", "application": "schedule", "state": "lapsed"},
        ]
    }

    def test_table_fits_a_terminal_and_json_has_everything(self):
        code, out, _, _ = run(verbs.ListUpstreams(), self.UPSTREAMS)
        self.assertEqual(code, codes.OK)
        head, engine, application = out.splitlines()
        self.assertEqual(
            engine.split(),
            ["e-1", "Ate", "10.0.0.1:9000", "planner@3"]
            + ["stands", "false", "ate-1", "2", "1"],
        )
        self.assertEqual(application.split()[:3], ["s-1", "schedule", "lapsed"])
        _, out, _, _ = run(verbs.ListUpstreams(), self.UPSTREAMS, form=output.FORM_JSON)
        self.assertEqual(json.loads(out), self.UPSTREAMS)


class TestWeights(unittest.TestCase):
    def test_table_has_a_row_for_each_engine(self):
        failed = {"kind": "swap", "detail": "500 boom"}
        engine = {
            "upstream_id": "e-1",
            "weight_version": 3,
            "loaded_versions": [3, 4],
            "state": "loaded",
            "order": "",
            "failed_orders": [failed],
        }
        model = {"model": "planner", "weight_version": 4, "engines": [engine]}
        _, out, _, _ = run(verbs.WeightStatus(), {"models": [model]})
        lines = out.splitlines()
        self.assertEqual(lines[2].split(), ["planner", "4"])
        self.assertEqual(
            lines[-1].split(maxsplit=5),
            ["e-1", "planner", "3", "3,4", "loaded", "swap: 500 boom"],
        )


class TestOutput(unittest.TestCase):
    @tools.params(
        ({"a": 1, "bc": "x"}, "a   1\nbc  x"),
        ({"v": 1, "rows": [{"a": 1}, {"b": "xy"}]}, "v  1\n\nrows:\nA  B\n1\n   xy"),
        ([{"a": None, "b": [1]}], "A     B\nnull  [1]"),
        ([], "(none)"),
        ("text", "text"),
        ({"name": "\x1b[2Jx\n"}, "name  \\x1b[2Jx\\n"),
    )
    def test_table(self, value, expected):
        self.assertEqual(output.render(value, output.FORM_TABLE), expected)

    def test_json(self):
        self.assertEqual(json.loads(output.render({"a": [1]}, "json")), {"a": [1]})
