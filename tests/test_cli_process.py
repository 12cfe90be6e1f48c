"""The tool, as a separate process, against the bundle interface of a gateway."""

from bilberrydrum import runtime

runtime.prepare()

import contextlib
import io
import json
import os
import pathlib
import sys
import tempfile
import unittest

import eventlet
import result
from eventlet.green import subprocess

from bilberrydrum import options
from bilberrydrum.bundles import commands, messages, records
from bilberrydrum.http import bundles, edge, server
from bilberrydrum_cli import arguments, codes, main
from tests import helpers
from tests.fakes import direct_state

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUNDLE = (ROOT / "examples" / "bundle.yaml").read_text()


class Lease:
    """Fake of the gateway's lease: a roll is confirmed at the second poll."""

    def __init__(self, state):
        self.state = state
        self.n_polls = 0

    def ask_roll_status(self):
        self.n_polls += 1
        version = records.read(self.state.state()).rolling
        if self.n_polls == 1:
            return result.Ok(messages.RollStatus(version, 1, 2, ["gw-2"]))
        if version:
            self.state.apply(commands.MarkInForce(version))
        return result.Ok(messages.RollStatus(version or 1, 2, 2, []))


class TestProcess(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.token_file = self.write("operator.token", "s3cret\n")
        self.file = self.write("bundle.yaml", BUNDLE)
        self.state = direct_state.DirectState()
        app = edge.Edge(options.LimitOptions(), {edge.GUARD_OPERATOR: b"s3cret"})
        bundles.add_routes(app, options.Options("gw-1"), self.state, Lease(self.state))
        address = f"127.0.0.1:{helpers.free_port()}"
        listener = server.HttpServer(address, app, options.LimitOptions())
        listener.start()
        self.addCleanup(listener.stop_accepting)
        # No process listens on the first address.
        self.gateways = f"127.0.0.1:{helpers.free_port()}, {address}"

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def words(self, *words):
        given = ["--token-file", self.token_file, "--operator", "ana"]
        return [*given, "--output", "json", "--timeout", "60", *words]

    def run_here(self, *words):
        out, err = io.StringIO(), io.StringIO()
        environment = {arguments.GATEWAYS_VARIABLE: self.gateways}
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main.run(self.words(*words), environment)
        return code, json.loads(out.getvalue()), err.getvalue()

    def run_tool(self, *words):
        process = subprocess.Popen(
            [sys.executable, "-m", "bilberrydrum_cli.main", *self.words(*words)],
            cwd=ROOT,
            env={**os.environ, arguments.GATEWAYS_VARIABLE: self.gateways},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        with eventlet.Timeout(120):
            out, err = process.communicate()
        return process.returncode, json.loads(out), err

    def test_a_bundle_is_rolled_past_an_unavailable_gateway_and_a_lost_answer(self):
        """Each step succeeds although a gateway is down and an answer is lost.

        The first gateway is down. The submission is committed, but its answer is lost,
        so the second gateway reports that the outcome is unknown. The tool sends the
        submission again, which is safe because a bundle is identified by its digest.
        """
        _, checked, _ = self.run_tool("bundle", "check", self.file)
        digest = checked["digest"]
        self.state.n_answers_to_lose = 1
        code, submitted, err = self.run_tool("bundle", "submit", self.file)
        self.assertEqual((code, submitted["digest"]), (codes.OK, digest), err)
        self.assertEqual(len(self.state.commands), 2)
        code, _, err = self.run_tool("bundle", "sign-off", "1", "--digest", digest)
        self.assertEqual(code, codes.OK, err)
        code, status, err = self.run_tool(
            "bundle", "roll", "1", "--digest", digest, "--wait"
        )
        self.assertEqual((code, status["state"]), (codes.OK, "in-force"), err)
        self.assertIn("1 of 2 gateways", err)
        self.assertIn("waiting for gw-2", err)
        code, listed, _ = self.run_tool("bundle", "list")
        self.assertEqual((code, listed["in_force"]), (codes.OK, 1))

    def test_refusals_have_their_codes(self):
        other = self.write("other.yaml", BUNDLE + "cut_policy: hold\n")
        faulty = self.write("faulty.yaml", BUNDLE + "cut_policy: maybe\nx: 1\n")
        self.run_here("bundle", "submit", other)
        code, problem, err = self.run_here("bundle", "submit", self.file)
        self.assertEqual((code, problem["winner_author"]), (codes.REFUSED, "ana"))
        self.assertIn("of ana holds this version", err)
        code, problem, err = self.run_here("bundle", "check", faulty)
        self.assertEqual((code, len(problem["findings"])), (codes.FINDINGS, 2))
        line = BUNDLE.count("\n") + 1
        self.assertIn(f"{faulty}:{line}:13: error: cut_policy", err)
        code, _, _ = self.run_here("bundle", "show", "9")
        self.assertEqual(code, codes.NOT_FOUND)
        self.write("operator.token", "wrong")
        code, _, err = self.run_here("bundle", "list")
        self.assertEqual(code, codes.UNAUTHORIZED, err)
