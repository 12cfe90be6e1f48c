"""The drawing of a soak's faults from its seed."""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from misc.soaks import soak_faults

TARGETS = soak_faults.Targets(
    {"control": ("c0", "c1"), "store": ("s0", "s1"), "gateway": ("g0",)},
    ("control", "store"),
    ("e0", "a0"),
)


class Faults(unittest.TestCase):
    """The faults of a seed."""

    def test_same_seed_same_faults(self):
        first = soak_faults.draw(7, 30.0, TARGETS)
        self.assertEqual(first, soak_faults.draw(7, 30.0, TARGETS))
        self.assertNotEqual(first, soak_faults.draw(8, 30.0, TARGETS))

    def test_all_kinds_are_drawn(self):
        drawn = [f for seed in range(20) for f in soak_faults.draw(seed, 30.0, TARGETS)]
        self.assertEqual({each.kind for each in drawn}, set(soak_faults.Kind))

    def test_kinds_of_leader_faults(self):
        drawn = [f for seed in range(20) for f in soak_faults.draw(seed, 30.0, TARGETS)]
        kinds = {e.kind for e in drawn if e.target == soak_faults.LEADER}
        expected = {*soak_faults.LEADER_KINDS} - {soak_faults.Kind.KILL_ALL}
        self.assertEqual(kinds, expected)

    def test_one_disk_of_a_group_at_a_time(self):
        """A group of three tolerates one lost disk until the replacement caught up."""
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
