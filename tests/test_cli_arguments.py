"""The command line: what is accepted, and what is rejected before any request."""

import contextlib
import io
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import attrs
from nose2 import tools

from bilberrydrum_cli import arguments, codes, main, messages, output, verbs

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIGEST = "AB12"

# Invalid command lines, and a part of the error message.
BAD = (
    ("", "required: COMMAND"),
    ("bundle", "required: COMMAND"),
    ("bundel list", "invalid choice: 'bundel'"),
    ("bundle lst", "invalid choice: 'lst'"),
    ("bundle list extra", "unrecognized arguments: extra"),
    ("bundle list --output json", "unrecognized arguments: --output"),
    ("bundle check", "required: FILE"),
    ("bundle sign-off 1", "required: --digest"),
    ("bundle sign-off 1 --dig ab", "required: --digest"),
    ("bundle sign-off 0 --digest ab", "must be a version from 1, found '0'"),
    ("bundle sign-off -1 --digest ab", "must be a version from 1, found '-1'"),
    ("bundle sign-off 1.0 --digest ab", "must be a version from 1, found '1.0'"),
    ("bundle sign-off ² --digest ab", "must be a version from 1, found '²'"),
    ("bundle status " + "9" * 5000, "must be a version from 1"),
    ("bundle roll 1 --digest xy", "must be a digest in hexadecimal digits"),
    ("bundle roll 1 --digest ab --wait-seconds 0", "seconds above 0, found '0'"),
    ("bundle roll 1 --digest ab --wait-seconds nan", "seconds above 0, found 'nan'"),
    ("--timeout inf bundle list", "seconds above 0, found 'inf'"),
    ("--timeout soon bundle list", "seconds above 0, found 'soon'"),
    ("--output xml bundle list", "invalid choice: 'xml'"),
    ("--gateway ftp://10.0.0.1 bundle list", "found 'ftp://10.0.0.1'"),
    ("--gateway http:// bundle list", "found 'http://'"),
    ("--gateway 10.0.0.1:99999 bundle list", "found '10.0.0.1:99999'"),
    ("--gateway http://10.0.0.1/v1 bundle list", "found 'http://10.0.0.1/v1'"),
    ("--gateway http://u@10.0.0.1 bundle list", "found 'http://u@10.0.0.1'"),
    ("--operator a\rb bundle list", "operator must be printable ASCII"),
    ("--operator ñ bundle list", "operator must be printable ASCII"),
    ("state snapshot", "required: COMMAND"),
    ("keys generate", "required: --key-file"),
)

GOOD = (
    ("bundle check f", verbs.CheckBundle("f")),
    ("bundle submit f", verbs.SubmitBundle("f")),
    ("bundle sign-off 2 --digest AB12", verbs.SignOffBundle(2, "ab12")),
    ("bundle roll 2 --digest ab12", verbs.RollBundle(2, "ab12", False, 120.0)),
    (
        "bundle roll 2 --digest ab12 --wait --wait-seconds 5",
        verbs.RollBundle(2, "ab12", True, 5.0),
    ),
    ("bundle status 3", verbs.BundleStatus(3)),
    ("bundle diff 2 f", verbs.DiffBundles("2", "f")),
    ("bundle list", verbs.ListBundles()),
    ("bundle show 3", verbs.ShowBundle(3)),
    ("upstream list", verbs.ListUpstreams()),
    ("upstream drain e-1", verbs.DrainUpstream("e-1")),
    ("upstream undrain e-1", verbs.UndrainUpstream("e-1")),
    ("quarantine list", verbs.ListQuarantine()),
    ("quarantine lift 5D0f", verbs.LiftQuarantine("5d0f")),
    ("upstream role e-1 prefill", verbs.SetRole("e-1", "prefill")),
    ("weights status", verbs.WeightStatus()),
    ("trainer list", verbs.ListTrainers()),
    ("trainer show outage", verbs.ShowTrainer("outage")),
    ("sample trace outage/s1-g0/2", verbs.TraceSample("outage/s1-g0/2")),
    ("state members", verbs.ListMembers()),
    ("state add p 10.0.0.1:9080", verbs.AddMember("p", "10.0.0.1:9080")),
    ("state remove r-1", verbs.RemoveMember("r-1")),
    ("state status", verbs.StateStatus()),
    ("state snapshot save f", verbs.SaveSnapshot("f")),
    ("state snapshot inspect f", verbs.InspectSnapshot("f")),
    ("state snapshot restore f", verbs.RestoreSnapshot("f")),
    ("settings check f", verbs.CheckSettings("f")),
    ("keys generate --key-file f", verbs.GenerateKeys("f")),
)


class TestArguments(unittest.TestCase):
    @tools.params(*BAD)
    def test_wrong_command_line_is_refused_with_the_usage_code(self, line, message):
        err = io.StringIO()
        with contextlib.redirect_stderr(err), self.assertRaises(SystemExit) as caught:
            main.run(line.split(" ") if line else [], {})
        self.assertEqual(caught.exception.code, codes.USAGE)
        self.assertIn(message, err.getvalue())

    @tools.params(*GOOD)
    def test_verb_and_its_arguments(self, line, verb):
        self.assertEqual(arguments.parse(line.split(), {}).verb, verb)

    def test_every_verb_is_parsed_and_can_be_run(self):
        classes = set(verbs.VERBS_BY_WORDS.values())
        self.assertEqual({type(verb) for _, verb in GOOD}, classes)
        self.assertEqual(classes | {object}, set(verbs.run.registry))

    @tools.params(
        ((), "", ("http://127.0.0.1:8080",)),
        ((), "10.0.0.1:80, 10.0.0.2:80", ("http://10.0.0.1:80", "http://10.0.0.2:80")),
        (("10.0.0.3:80",), "10.0.0.1:80", ("http://10.0.0.3:80",)),
        (("https://[::1]:8443/", "a:1"), "", ("https://[::1]:8443", "http://a:1")),
    )
    def test_gateways(self, named, variable, expected):
        words = [word for url in named for word in ("--gateway", url)]
        environment = {arguments.GATEWAYS_VARIABLE: variable}
        invocation = arguments.parse([*words, "bundle", "list"], environment)
        self.assertEqual(invocation.options.gateways, expected)

    def test_global_options(self):
        line = "--token-file t --operator ana --output json --timeout 2.5 bundle list"
        self.assertEqual(
            arguments.parse(line.split(), {}).options,
            arguments.GlobalOptions(
                (arguments.DEFAULT_GATEWAY,), "t", "ana", output.FORM_JSON, 2.5
            ),
        )

    def test_help_names_every_exit_code(self):
        for name, code in vars(codes).items():
            if name.isupper():
                self.assertRegex(messages.EPILOG, rf"\b{code} ", name)

    def test_every_argument_has_help(self):
        for verb_class in verbs.VERBS_BY_WORDS.values():
            for field in attrs.fields(verb_class):
                self.assertTrue(field.metadata["help"], verb_class)


class TestProcess(unittest.TestCase):
    def test_the_tool_does_not_load_the_daemons_runtime(self):
        # The daemon's runtime patches sockets, and importing it would delay the start
        # of the tool.
        code = (
            "import sys, bilberrydrum_cli.main;"
            "sys.exit('eventlet' in sys.modules or 'prometheus_client' in sys.modules)"
        )
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)

    def test_closed_output_pipe_prints_no_traceback(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        command = [sys.executable, "-m", "bilberrydrum_cli.main"]
        with (
            os.fdopen(write_end, "wb") as gone,
            tempfile.TemporaryDirectory() as folder,
        ):
            done = subprocess.run(
                [*command, "keys", "generate", "--key-file", f"{folder}/k"],
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": ""},
                stdout=gone,
                stderr=subprocess.PIPE,
            )
        self.assertEqual((done.returncode, done.stderr), (codes.FAILED, b""))

    def test_the_module_runs_as_a_program(self):
        done = subprocess.run(
            [sys.executable, "-m", "bilberrydrum_cli.main", "--help"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertIn("Operate a bilberrydrum deployment.", done.stdout)
