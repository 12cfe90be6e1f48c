"""The data folder: what survives a power loss, and what is refused as damaged."""

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
class Contents:
    """The data that a replica finds on its disk."""

    hard_state: events.HardState
    snapshot_index: int
    terms_by_index: tuple[tuple[int, int], ...]


def read_contents(disk: files.FakeFiles) -> Contents:
    recovered, _ = storage.Storage(disk, FOLDER, 300).open()
    terms = tuple((each.index, each.term) for each in recovered.entries)
    return Contents(recovered.hard_state, recovered.snapshot_index, terms)


# Each step is acknowledged when it returns. Together they start new segments, overwrite
# a suffix, save both kinds of snapshot and remove old segments.
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


def contents_after_steps() -> list[Contents]:
    """Return the contents of the disk after no step, one step, two steps and so on."""
    contents = []
    for n_steps in range(len(STEPS) + 1):
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, 300)
        store.open()
        for _, step in STEPS[:n_steps]:
            step(store)
        disk.lose_power()
        contents.append(read_contents(disk))
    return contents


def n_operations() -> int:
    disk = files.FakeFiles()
    store = storage.Storage(disk, FOLDER, 300)
    store.open()
    for _, step in STEPS:
        step(store)
    return disk.n_operations


def run_until_power_cut(fails_at: int) -> tuple[files.FakeFiles, int]:
    """Return the disk, and how many steps were acknowledged before the power loss."""
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


def covers(contents: Contents, acknowledged: Contents) -> bool:
    """Return whether all acknowledged data is present or was overwritten."""
    if contents.hard_state.term < acknowledged.hard_state.term:
        return False
    same_term = contents.hard_state.term == acknowledged.hard_state.term
    if same_term and contents.hard_state != acknowledged.hard_state:
        return False
    return contents.snapshot_index >= acknowledged.snapshot_index


class PowerCut(unittest.TestCase):
    """The power is lost at any time, for example between a write and its sync."""

    @tools.params(*LEFTOVERS)
    def test_nothing_acknowledged_is_lost(self, leftover: str) -> None:
        """A host restarts after a power loss at any operation.

        Each unsynced write may be on the disk completely, partially or damaged, and
        unsynced names may be present or not. Acknowledged data must be present; data of
        the interrupted step must be present completely or not at all.
        """
        wanted = contents_after_steps()
        for fails_at in range(n_operations() + 1):
            disk, n_acknowledged = run_until_power_cut(fails_at)
            disk.lose_power(LEFTOVERS[leftover])
            contents = read_contents(disk)
            if n_acknowledged < 0:
                self.assertEqual(contents, wanted[0], f"operation {fails_at}")
                continue
            before = wanted[n_acknowledged]
            after = wanted[min(n_acknowledged + 1, len(STEPS))]
            with self.subTest(operation=fails_at, step=n_acknowledged):
                self.assertTrue(covers(contents, before), (contents, before))
                self.assert_between(contents, before, after)

    def assert_between(
        self, contents: Contents, before: Contents, after: Contents
    ) -> None:
        self.assertIn(contents.hard_state, (before.hard_state, after.hard_state))
        self.assertIn(
            contents.snapshot_index, (before.snapshot_index, after.snapshot_index)
        )
        allowed = [
            tuple(each for each in terms if each[0] > contents.snapshot_index)
            for terms in (before.terms_by_index, after.terms_by_index)
        ]
        self.assertIn(contents.terms_by_index, allowed)

    def test_second_cut_while_starting(self) -> None:
        """The power is lost again while the host starts after the first loss.

        The log has a torn tail, which the opening truncates before it starts a segment.
        After a power loss at any operation of that, the folder must open again with the
        same content.
        """
        wanted = contents_after_steps()[2]
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
                self.assertEqual(read_contents(disk), wanted)


class Killed(unittest.TestCase):
    """A process is killed in the middle of a write; the power is lost much later.

    The file still has the unsynced data, so the next incarnation reads it and
    acknowledges it. Unless that incarnation syncs it, the power loss erases it, and a
    majority that was counted with it did not exist.
    """

    @tools.params(*LEFTOVERS)
    def test_data_read_after_a_kill_survives_a_power_loss(self, leftover: str) -> None:
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
            contents = read_contents(disk)
            self.assertEqual(list(contents.terms_by_index), held, killed_at)
            self.assertEqual(contents.snapshot_index, recovered.snapshot_index)


class Damage(unittest.TestCase):
    """Synced bytes have changed."""

    def folder(self, segment_bytes: int = 10_000) -> files.FakeFiles:
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, segment_bytes)
        store.open()
        for _, step in STEPS[:6]:
            step(store)
        return disk

    def test_damage_before_the_tail_is_refused(self) -> None:
        """A byte in the middle of the log is corrupted.

        If the replica dropped the log from there on, it would lose votes and entries
        that it acknowledged. So opening must fail.
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
        """A command contains the bytes of another host's log, and its write is torn.

        The good frames inside the torn frame must not be classified as damage.
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
        self.assertEqual(read_contents(disk).hard_state, events.HardState(1, "r1"))


class FullDisk(unittest.TestCase):
    """A disk is full for some seconds.

    The replica stops. Its process must not exit before writes succeed again, or it
    would be restarted and exit every second.
    """

    def test_probe(self) -> None:
        disk = files.FakeFiles()
        store = storage.Storage(disk, FOLDER, 300)
        self.assertTrue(store.accepts_writes())
        disk.write = unittest.mock.Mock(side_effect=OSError(28, "full"))
        self.assertFalse(store.accepts_writes())

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
        replica.is_waiting_for_disk.return_value = waits
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
