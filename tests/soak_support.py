"""Base class for tests that run the soak for a short time."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


class RunCase(unittest.TestCase):
    """Test case that runs one seed of the soak with the real processes."""

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
