"""The data folder: what lasts through a power cut, and what is refused as damaged."""

import contextlib
import unittest
import unittest.mock
from collections.abc import Callable

import attrs
from nose2 import tools

from bilberrydrum.nodes import groups
from bilberrydrum.state import (
    events,
    frames,
    log,
    machine,
    membership,
    snapshot,
    storage,
)
from tests.fakes import files

FOLDER = "data"
MEMBERS = membership.Membership((membership.ReplicaInfo("r1", "p1", "a"),))

LEFTOVERS = {
    "nothing": files.Leftover(),
    "half": files.Leftover(bytes_share=0.5),
    "half, names": files.Leftover(bytes_share=0.5, keeps_names=True),
    "garbled": files.Leftover(bytes_share=1.0, is_garbled=True),
    "garbled, names": files.Leftover(1.0, True, True),
    "all": files.Leftover(bytes_share=1.0, keeps_names=True),
}


def entries(first: int, last: int, term: int) -> tuple[log.Entry, ...]:
    return tuple(
        log.Entry(i, term, float(i), log.KIND_LOCAL, f"{term}/{i}".encode() * 8)
        for i in range(first, last + 1)
    )


def write(
    number: int, term: int, vote: str, first: int = 1, last: int = 0
) -> events.Write:
    return events.Write(
        number, events.HardState(term, vote), entries(first, last, term)
    )


def snapshot_bytes(index: int, term: int) -> bytes:
    header = snapshot.Header(index, term, float(index), MEMBERS)
    return snapshot.encode(header, machine.State())


@attrs.frozen
class Seen:
    """What a replica finds on its disk."""

    hard_state: events.HardState
    snapshot_index: int
    terms_by_index: tuple[tuple[int, int], ...]


def look(disk: files.FakeFiles) -> Seen:
    recovered, _ = storage.Storage(disk, FOLDER, 300).open()
    terms = tuple((each.index, each.term) for each in recovered.entries)
    return Seen(recovered.hard_state, recovered.snapshot_index, terms)


# Each step is acknowledged when it returns. Together they roll segments, replace a
# suffix, save both kinds of snapshot and drop old segments.
STEPS: list[tuple[str, Callable[[storage.Storage], None]]] = [
    ("vote", lambda s: s.append([write(1, 1, "r1")])),
    ("entries", lambda s: s.append([write(2, 1, "r1", 1, 4), write(3, 1, "r1", 5, 6)])),
    ("term and suffix", lambda s: s.append([write(4, 2, ""), write(5, 2, "", 5, 9)])),
    ("own snapshot", lambda s: s.save_snapshot(7, snapshot_bytes(7, 2))),
    ("drop", lambda s: s.drop_log(7)),
    ("more", lambda s: s.append([write(6, 3, "r2", 10, 20)])),
    (
        "received snapshot",
        lambda s: s.append(
            [events.SaveSnapshot(7, 40, snapshot_bytes(40, 4), keeps_log=False)]
        ),
    ),
    ("after it", lambda s: s.append([write(8, 4, "r2", 41, 43)])),
    (
        "snapshot within the log",
        lambda s: s.append(
            [events.SaveSnapshot(9, 42, snapshot_bytes(42, 4), keeps_log=True)]
        ),
    ),
    ("last vote", lambda s: s.append([write(10, 5, "r3")])),
]


def seen_after_steps() -> list[Seen]:
    """What is on the disk after none, one, two ... of the steps."""
    seen = []
    for n_steps in range(len(STEPS) + 1):
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, 300)
        store.open()
        for _, step in STEPS[:n_steps]:
            step(store)
        disk.lose_power()
        seen.append(look(disk))
    return seen


def n_operations() -> int:
    disk = files.FakeFiles()
    store = storage.Storage(disk, FOLDER, 300)
    store.open()
    for _, step in STEPS:
        step(store)
    return disk.n_operations


def run_until_power_cut(fails_at: int) -> tuple[files.FakeFiles, int]:
    """Return the disk and how many steps were acknowledged before the cut."""
    disk = files.FakeFiles()
    disk.fails_at = fails_at
    n_acknowledged = -1
    try:
        store = storage.Storage(disk, FOLDER, 300)
        store.open()
        n_acknowledged = 0
        for _, step in STEPS:
            step(store)
            n_acknowledged += 1
    except files.PowerLostError:
        pass
    return disk, n_acknowledged


def covers(seen: Seen, acknowledged: Seen) -> bool:
    """Tell whether all that was acknowledged is still there, or was replaced."""
    if seen.hard_state.term < acknowledged.hard_state.term:
        return False
    same_term = seen.hard_state.term == acknowledged.hard_state.term
    if same_term and seen.hard_state != acknowledged.hard_state:
        return False
    return seen.snapshot_index >= acknowledged.snapshot_index


class PowerCut(unittest.TestCase):
    """The power goes between any write and its sync."""

    @tools.params(*LEFTOVERS)
    def test_nothing_acknowledged_is_lost(self, leftover: str) -> None:
        """The operator restarts a host whose power went at any moment.

        Each write may have reached the disk whole, in part, or damaged, and names may
        or may not be there. What was answered for must be there; what was under way
        may be, but only whole.
        """
        wanted = seen_after_steps()
        for fails_at in range(n_operations() + 1):
            disk, n_acknowledged = run_until_power_cut(fails_at)
            disk.lose_power(LEFTOVERS[leftover])
            seen = look(disk)
            if n_acknowledged < 0:
                self.assertEqual(seen, wanted[0], f"operation {fails_at}")
                continue
            before = wanted[n_acknowledged]
            after = wanted[min(n_acknowledged + 1, len(STEPS))]
            with self.subTest(operation=fails_at, step=n_acknowledged):
                self.assertTrue(covers(seen, before), (seen, before))
                self.assert_between(seen, before, after)

    def assert_between(self, seen: Seen, before: Seen, after: Seen) -> None:
        self.assertIn(seen.hard_state, (before.hard_state, after.hard_state))
        self.assertIn(
            seen.snapshot_index, (before.snapshot_index, after.snapshot_index)
        )
        allowed = [
            tuple(each for each in terms if each[0] > seen.snapshot_index)
            for terms in (before.terms_by_index, after.terms_by_index)
        ]
        self.assertIn(seen.terms_by_index, allowed)

    def test_second_cut_while_starting(self) -> None:
        """The power goes again while the host starts after the first cut.

        The tail was torn; opening cuts it and starts a segment. A cut at any operation
        of that must leave a folder that opens again with the same content.
        """
        wanted = seen_after_steps()[2]
        for second in range(10):
            disk = files.FakeFiles()
            store = storage.Storage(disk, FOLDER)
            store.open()
            STEPS[0][1](store)
            STEPS[1][1](store)
            disk.fails_at = disk.n_operations + 1
            with self.assertRaises(files.PowerLostError):
                STEPS[2][1](store)
            disk.lose_power(LEFTOVERS["half, names"])
            disk.fails_at = disk.n_operations + second
            with contextlib.suppress(files.PowerLostError):
                storage.Storage(disk, FOLDER).open()
            disk.lose_power(LEFTOVERS["half, names"])
            with self.subTest(second=second):
                self.assertEqual(look(disk), wanted)


class Killed(unittest.TestCase):
    """A process is killed in the middle of a write; the power goes much later.

    The file still holds what was not synced, so the next life reads it, counts it as
    its own and answers for it. Unless it is synced then, the power takes it, and a
    majority that was counted with it was none.
    """

    @tools.params(*LEFTOVERS)
    def test_what_was_read_after_a_kill_outlasts_the_power(self, leftover: str) -> None:
        for killed_at in range(n_operations()):
            disk, _ = run_until_power_cut(killed_at)
            disk.fails_at = None
            again = storage.Storage(disk, FOLDER, 300)
            recovered, _ = again.open()
            held = [(each.index, each.term) for each in recovered.entries]
            last_index = held[-1][0] if held else recovered.snapshot_index
            more = entries(last_index + 1, last_index + 3, 9)
            again.append([events.Write(99, events.HardState(9, "x"), more)])
            held += [(each.index, each.term) for each in more]
            disk.lose_power(LEFTOVERS[leftover])
            seen = look(disk)
            self.assertEqual(list(seen.terms_by_index), held, killed_at)
            self.assertEqual(seen.snapshot_index, recovered.snapshot_index)


class Damage(unittest.TestCase):
    """Bytes that were synced have changed."""

    def folder(self, segment_bytes: int = 10_000) -> files.FakeFiles:
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, segment_bytes)
        store.open()
        for _, step in STEPS[:6]:
            step(store)
        return disk

    def test_damage_before_the_tail_is_refused(self) -> None:
        """A byte in the middle of the log has rotted.

        Going on without what follows, the replica would forget votes and entries that
        it answered for; so it stops, and says where.
        """
        disk = self.folder()
        last_frame = disk.read(f"{FOLDER}/log-1").rfind(frames.MAGIC)
        n_refused = 0
        for offset in range(12, last_frame, 7):
            disk = self.folder()
            disk.damage(f"{FOLDER}/log-1", offset)
            with self.assertRaises(storage.DamageError):
                storage.Storage(disk, FOLDER).open()
            n_refused += 1
        self.assertGreater(n_refused, 20)

    @tools.params("log-2", "snapshot-7", "replica-id")
    def test_missing_file_is_refused(self, name: str) -> None:
        disk = self.folder(segment_bytes=300)
        store = storage.Storage(disk, FOLDER, 300)
        store.open()
        store.append([write(7, 3, "r2", 21, 22)])
        disk.remove(f"{FOLDER}/{name}")
        with self.assertRaises(storage.DamageError):
            storage.Storage(disk, FOLDER).open()

    def test_damaged_snapshot_is_refused(self) -> None:
        disk = self.folder()
        disk.damage(f"{FOLDER}/snapshot-7", 50)
        with self.assertRaises(storage.DamageError):
            storage.Storage(disk, FOLDER).open()

    def test_copy_of_a_log_in_a_command_is_no_damage(self) -> None:
        """A command holds the bytes of another host's log, and its write was torn.

        The good frames inside the torn one must not make it look like damage.
        """
        other = self.folder().read(f"{FOLDER}/log-1")
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER)
        store.open()
        STEPS[0][1](store)
        entry = log.Entry(1, 1, 0.0, log.KIND_LOCAL, other * 2)
        disk.fails_at = disk.n_operations + 1
        with self.assertRaises(files.PowerLostError):
            store.append([events.Write(2, events.HardState(1, "r1"), (entry,))])
        disk.lose_power(files.Leftover(bytes_share=0.9))
        self.assertEqual(look(disk).hard_state, events.HardState(1, "r1"))


class FullDisk(unittest.TestCase):
    """A disk takes no more bytes for some seconds.

    The replica stops. Its process must not end before the disk takes writes again, or
    it would be started and end every second.
    """

    def test_probe(self) -> None:
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, 300)
        self.assertTrue(store.takes_writes())
        disk.write = unittest.mock.Mock(side_effect=OSError(28, "full"))
        self.assertFalse(store.takes_writes())

    @tools.params(
        ("runs", "", False, ""),
        ("disk is full", "OSError: full", True, ""),
        ("disk is well again", "OSError: full", False, "OSError: full"),
        ("another fault", "KeyError: x", False, "KeyError: x"),
    )
    def test_process_waits(
        self, name: str, failure: str, waits: bool, expected: str
    ) -> None:
        replica = unittest.mock.Mock(failure=failure)
        replica.waits_for_disk.return_value = waits
        self.assertEqual(groups.failure_of(replica), expected, name)


class Identity(unittest.TestCase):
    def test_replica_id_is_kept_with_the_folder_and_lost_with_it(self) -> None:
        disk = files.FakeFiles()
        first, _ = storage.Storage(disk, FOLDER).open()
        disk.lose_power()
        again, _ = storage.Storage(disk, FOLDER).open()
        other, _ = storage.Storage(files.FakeFiles(), FOLDER).open()
        self.assertEqual(first.replica_id, again.replica_id)
        self.assertNotEqual(first.replica_id, other.replica_id)
