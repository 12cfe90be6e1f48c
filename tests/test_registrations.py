"""Every command that can be committed can be applied in every process."""

import pathlib
import re
import unittest

from bilberrydrum import registrations

ROOT = pathlib.Path(__file__).resolve().parent.parent
REGISTERS = re.compile(r"\b(apply|answer|keep_rising)\.register\b")


class TestRegistrations(unittest.TestCase):
    def test_no_module_of_the_state_machine_is_left_out(self):
        """A replica reads a committed command of a part that it has not imported.

        It could neither apply nor skip the command, so it would stop, and so would all
        other replicas of the group.
        """
        paths = (ROOT / "bilberrydrum").rglob("*.py")
        found = {
            ".".join(path.relative_to(ROOT).with_suffix("").parts)
            for path in paths
            if REGISTERS.search(path.read_text())
        }
        self.assertEqual({module.__name__ for module in registrations.MODULES}, found)
