"""Run the steps of README.md for a first bundle against a real daemon."""

import contextlib
import io
import json
import pathlib
import re
import signal
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

from eventlet.green import subprocess

from bilberrydrum_cli import arguments, main
from tests import helpers

ROOT = pathlib.Path(__file__).resolve().parent.parent
README = (ROOT / "README.md").read_text()
STEPS = README.split("## A first bundle by hand")[1].split("\n## ")[0]
START_SECONDS = 60


class TestReadme(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.http = f"127.0.0.1:{helpers.free_port()}"
        text = (ROOT / "examples" / "single.yaml").read_text()
        text = text.replace("127.0.0.1:8080", self.http)
        text = text.replace("127.0.0.1:9080", f"127.0.0.1:{helpers.free_port()}")
        text = text.replace("bilberrydrum-data", str(self.folder / "data"))
        (self.folder / "single.yaml").write_text(text)

    def start_daemon(self):
        settings = str(self.folder / "single.yaml")
        daemon = subprocess.Popen(
            [sys.executable, "-m", "bilberrydrum.main", "--settings", settings],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(daemon.wait)
        self.addCleanup(daemon.kill)
        return daemon

    def fetch(self, path, method="GET", body=None):
        request = urllib.request.Request(
            f"http://{self.http}{path}", data=body, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return json.loads(error.read())

    def await_readyz(self, expected):
        deadline = time.monotonic() + START_SECONDS
        seen = None
        while seen != expected and time.monotonic() < deadline:
            try:
                seen = self.fetch("/readyz")
            except OSError:
                seen = None
            time.sleep(0.05)
        self.assertEqual(seen, expected)

    def run_tool(self, line):
        out, err = io.StringIO(), io.StringIO()
        environment = {arguments.GATEWAYS_VARIABLE: self.http}
        with (
            contextlib.chdir(ROOT),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = main.run(line.split(), environment)
        self.assertEqual(code, 0, line + err.getvalue())
        return out.getvalue()

    def test_steps_of_the_readme(self):
        daemon = self.start_daemon()
        expected = [json.loads(text) for text in re.findall(r'    (\{"ready.*)', STEPS)]
        self.await_readyz(expected[0])
        digest = ""
        for line in re.findall(r"^    bilberrydrum (.*)$", STEPS, re.MULTILINE):
            out = self.run_tool(line.replace("DIGEST", digest))
            if line.startswith("bundle check"):
                digest = re.search(r"digest +([0-9a-f]{64})", out)[1]
            if line == "bundle list":
                self.assertIn("in_force  1", out)
                self.assertEqual(self.fetch("/readyz"), expected[1])
                path, body = re.search(r"8080(/v1\S+) -d '(.*?)'", STEPS, re.S).groups()
                self.fetch(path, "PUT", body.encode())
        self.assertIn("schedule-1", out)
        daemon.send_signal(signal.SIGTERM)
        self.assertEqual(daemon.wait(START_SECONDS), 0)

    def test_every_file_in_the_readme_exists(self):
        names = re.findall(r"\b(?:examples|docs|misc)/[\w./-]*\w", README)
        self.assertGreater(len(names), 8)
        for name in names:
            self.assertTrue((ROOT / name).exists(), name)
