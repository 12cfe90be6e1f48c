"""Tests of settings: all errors are reported together, each with its place."""

import pathlib
import tempfile
import unittest

import hypothesis
import result
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import findings, options, settings, yaml_places
from bilberrydrum.bundles import check

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = sorted((ROOT / "examples").rglob("*.yaml"))

# Name, text, and expected findings: the place and a part of the message.
BAD = (
    ("empty", "", ["1:1 the document is empty"]),
    ("a list", "- process_id: a\n", ["1:1 expected a mapping, found a list"]),
    ("not YAML", "process_id: [a\n", ["2:1 expected ',' or ']'"]),
    ("control character", "process_id: a\x01\n", ["1:14 character U+0001"]),
    ("tab", "process_id: a\nstate:\n\tmembers: []\n", ["3:1 cannot start any token"]),
    ("two documents", "process_id: a\n---\nprocess_id: b\n", ["2:1 single document"]),
    ("nested too deeply", "[" * 10_000, ["1:1 nested too deeply"]),
    ("unknown key", "process_id: a\nrole: []\n", ["2:1 unknown key 'role'"]),
    (
        "key with hyphens",
        "process-id: a\n",
        ["1:1 key 'process_id' is missing", "1:1 did you mean 'process_id'?"],
    ),
    (
        "duplicate key",
        "process_id: a\ngroup: b\nprocess_id: c\n",
        ["3:1 key 'process_id' is on line 1 already"],
    ),
    ("key that is a list", "process_id: a\n? [b]\n: c\n", ["2:3 cannot be a list"]),
    ("merge key", "process_id: a\n<<: {group: b}\n", ["2:1 unknown key '<<'"]),
    ("alias of itself", "process_id: &a [*a]\n", ["1:13 expected a string"]),
    ("number for a name", "process_id: 7\n", ["1:13 expected a string, found an int"]),
    ("nothing for a section", "process_id: a\nlimits:\n", ["2:8 found nothing"]),
    ("list for a section", "process_id: a\nlimits: []\n", ["2:9 expected a mapping"]),
    ("string for a list", "process_id: a\nroles: state\n", ["2:8 expected a list"]),
    ("octal", "process_id: a\nlimits: {max_body_bytes: 0100}\n", ["2:26 decimal int"]),
    (
        "sexagesimal",
        "process_id: a\nlimits: {read_timeout_seconds: 1:30}\n",
        ["2:32 expected a decimal number"],
    ),
    (
        "quoted number",
        'process_id: a\nlimits: {max_body_bytes: "4096"}\n',
        ["2:26 expected a decimal integer, found a string (4096)"],
    ),
    ("not a number", "process_id: a\nstate: {drift_margin: .nan}\n", ["2:23 decimal"]),
    ("infinite", "process_id: a\nstate: {drift_margin: 1e999}\n", ["2:23 decimal"]),
    (
        "below its range",
        "process_id: a\nstate: {heartbeat_seconds: 0}\n",
        ["2:28 heartbeat_seconds must be 0.01 to 10, found 0"],
    ),
    (
        "above its range",
        "process_id: a\nrequests: {retry_budget: 1.5}\n",
        ["2:26 retry_budget must be 0 to 1, found 1.5"],
    ),
    ("bad process id", "process_id: a b\n", ["1:13 process_id must be 1 to 64"]),
    ("empty zone", "process_id: a\nregion: ' '\n", ["2:9 region must not be empty"]),
    ("no roles", "process_id: a\nroles: []\n", ["2:8 at least one of gateway, state"]),
    (
        "unknown role and one named twice",
        "process_id: a\nroles: [gateway, router, gateway]\n",
        ["1:1 members are needed", "2:18 found 'router'", "2:26 named twice"],
    ),
    ("no port", "process_id: a\npeer_address: 10.0.0.1\n", ["2:15 must be IP:port"]),
    ("port 0", "process_id: a\npeer_address: 10.0.0.1:0\n", ["2:15 port from 1 to"]),
    ("host name", "process_id: a\npeer_address: h:9080\n", ["2:15 an IPv4 number"]),
    ("wildcard", "process_id: a\npeer_address: 0.0.0.0:9080\n", ["2:15 can reach"]),
    (
        "IPv6",
        "process_id: a\npeer_address: '[::1]:9080'\n",
        ["2:15 an IPv4 number, found '[::1]'"],
    ),
    (
        "one address for two sockets",
        "process_id: a\ngateway: {http_address: '127.0.0.1:9080'}\n",
        ["2:25 must not equal peer_address"],
    ),
    (
        "member twice",
        "process_id: a\nstate:\n  members:\n"
        "  - {process_id: b, peer_address: '10.0.0.1:1'}\n"
        "  - {process_id: b, peer_address: '10.0.0.1:1'}\n",
        ["5:18 'b' is named twice", "5:35 another member's already"],
    ),
    (
        "member that lacks its address",
        "process_id: a\nstate:\n  members:\n  - process_id: b\n",
        ["4:5 key 'peer_address' is missing"],
    ),
    (
        "own address differs",
        "process_id: a\nstate:\n  members:\n"
        "  - {process_id: a, peer_address: '10.0.0.1:1'}\n",
        ["4:35 peer_address of this process is 127.0.0.1:9080"],
    ),
    (
        "gateway that knows no member",
        "process_id: a\nroles: [gateway]\n",
        ["1:1 members are needed"],
    ),
    (
        "lease too short for its renewal",
        "process_id: a\ngateway:\n  bundle_lease_seconds: 1\n",
        [
            "3:25 bundle_renew_seconds must be at most bundle_lease_seconds / 3",
            "3:25 election_timeout_seconds must be at most bundle_lease_seconds / 3",
        ],
    ),
    (
        "election before a heartbeat can be late",
        "process_id: a\nstate:\n  heartbeat_seconds: 0.3\n",
        ["3:22 must be at most election_timeout_seconds / 3 = 0.2, found 0.3"],
    ),
    (
        "default time above the longest",
        "process_id: a\nrequests:\n  default_timeout_seconds: 7200\n",
        ["3:28 must be at most max_timeout_seconds = 3600"],
    ),
    (
        "keys without peers",
        "process_id: a\ncurve: {key_file: k}\n",
        ["2:19 peers_file"],
    ),
    (
        "a wrong value is not checked again",
        "process_id: a\nstate: {heartbeat_seconds: fast}\n",
        ["2:28 expected a decimal number, found a string (fast)"],
    ),
    (
        "many faults at once",
        "process_id: ''\nstate:\n  drift_margin: 2\ngruop: x\nroles: 3\n",
        ["1:13 process_id", "3:17 drift_margin", "4:1 unknown", "5:8 a list"],
    ),
)


def found_in(text):
    """Return the findings, except that on the data folder, which most texts lack."""
    outcome = settings.parse(text, "s.yaml")
    found = outcome.err_value if outcome.is_err() else []
    return [finding for finding in found if "data_folder" not in finding.message]


class TestSettings(unittest.TestCase):
    @tools.params(*BAD)
    def test_every_fault_is_found_with_its_place(self, name, text, expected):
        found = found_in(text)
        self.assertEqual(len(found), len(expected), findings.report(found))
        for finding, part in zip(found, expected, strict=True):
            place, _, message = part.partition(" ")
            self.assertEqual(f"{finding.line}:{finding.column}", place, str(finding))
            self.assertIn(message, finding.message)

    def test_state_role_needs_a_data_folder(self):
        outcome = settings.parse("process_id: a\nstate: {members: []}\n", "s.yaml")
        self.assertEqual(
            [str(finding) for finding in outcome.err_value],
            ["s.yaml:2:8: error: data_folder is needed by the role state"],
        )

    def test_values_of_all_kinds_are_read(self):
        text = (
            "process_id: a\npeer_address: 10.0.0.1:9080\nroles: [state]\n"
            "state: {data_folder: d, drift_margin: 1e-2}\n"
            "limits: {max_connections: 9}\n"
        )
        value = settings.parse(text, "s.yaml").ok_value
        self.assertEqual(value.roles, (options.ROLE_STATE,))
        self.assertEqual(value.state.drift_margin, 0.01)
        self.assertEqual(value.limits.max_connections, 9)
        self.assertEqual(value.group, "main")

    def test_every_number_has_a_range_that_holds_its_default(self):
        paths = {path for path, _ in settings.numbers(options.Options("a"))}
        self.assertEqual(paths, set(settings.RANGES_BY_PATH))
        text = "process_id: a\nstate: {data_folder: d}\n"
        self.assertTrue(settings.parse(text, "s.yaml").is_ok())

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 900), strategies.text(max_size=5), strategies.booleans()
    )
    def test_no_text_breaks_the_reader(self, offset, text, is_cut):
        original = (ROOT / "examples/karoo/midrand-a-1.yaml").read_text()
        rest = "" if is_cut else original[offset:]
        outcome = settings.parse(original[:offset] + text + rest, "s.yaml")
        self.assertIsInstance(outcome, result.Ok | result.Err)
        for finding in outcome.err() or ():
            self.assertGreater(finding.line, 0)


class TestFiles(unittest.TestCase):
    def test_missing_file(self):
        found = settings.load("/nonexistent/s.yaml").err_value
        self.assertEqual(
            findings.report(found),
            "/nonexistent/s.yaml: error: cannot be read: No such file or directory",
        )

    def test_file_that_is_not_utf_8(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"process_id: a\ngroup: \xff\n")
            file.flush()
            (finding,) = settings.load(file.name).err_value
        self.assertEqual((finding.line, finding.column), (2, 8))


class TestExamples(unittest.TestCase):
    def test_there_are_examples(self):
        self.assertEqual(len(EXAMPLES), 16)

    @tools.params(*EXAMPLES)
    def test_example_has_no_findings(self, path):
        if "bundle" in path.name:
            outcome = check.check(path.read_text(), str(path))
        else:
            outcome = settings.load(str(path))
        self.assertEqual(findings.report(outcome.err() or ()), "")

    @tools.params("andes", "karoo")
    def test_processes_of_a_deployment_agree(self, folder):
        loaded = [
            settings.load(str(path)).ok_value
            for path in EXAMPLES
            if path.parent.name == folder and path.name != "bundle.yaml"
        ]
        self.assertEqual(len({each.process_id for each in loaded}), 6)
        self.assertEqual(len({each.peer_address for each in loaded}), 6)
        self.assertEqual(len({each.state.members for each in loaded}), 1)
        replicas = [each for each in loaded if options.ROLE_STATE in each.roles]
        members = {member.process_id for member in loaded[0].state.members}
        self.assertEqual({each.process_id for each in replicas}, members)
        self.assertEqual(len({each.availability_zone for each in replicas}), 3)


class TestReading(unittest.TestCase):
    def test_place_of_a_missing_value_is_that_of_its_parent(self):
        text = "process_id: a\nstate:\n  data_folder: d\n"
        reading = yaml_places.read(text, "s.yaml", options.Options).ok_value
        self.assertEqual(reading.place(("state", "heartbeat_seconds")), (3, 3))
        self.assertEqual(reading.place(("process_id",)), (1, 13))
