"""One replica in this process: restarts, disk failures and snapshots."""

import pathlib
import shutil
import tempfile
import unittest
from unittest import mock

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, transport
from bilberrydrum.state import (
    applier,
    applying,
    commands,
    events,
    files,
    node,
    replica,
    snapshot,
    storage,
)
from misc import loopback
from misc.measures import state_process
from tests import test_state_core


class ReplicaCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.mkdtemp(prefix="replica-")
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
        self.carrier = transport.Transport("p0", "main", self.address)
        self.carrier.start()
        self.addCleanup(self.carrier.stop)

    def make(self, snapshot_entries: int = 20_000) -> replica.Replica:
        settings = state_process.options_for(
            "p0", [], self.folder, snapshot_entries, self.address
        )
        return replica.Replica(settings, self.carrier)

    def start(self, snapshot_entries: int = 20_000) -> replica.Replica:
        replica_ = self.make(snapshot_entries)
        replica_.start()
        self.addCleanup(replica_.stop)
        with eventlet.Timeout(20.0):
            while replica_.leadership() is None:
                clock.sleep(0.01)
        return replica_

    def add(self, replica_: replica.Replica) -> int:
        total: int = replica_.propose(state_process.Add("k")).unwrap().total
        return total


class Lifecycle(ReplicaCase):
    def test_state_is_there_after_a_restart_from_snapshot_and_log(self) -> None:
        replica_ = self.start(snapshot_entries=25)
        for _ in range(130):
            self.add(replica_)
        replica_.stop()
        names = [path.name for path in pathlib.Path(self.folder).iterdir()]
        self.assertEqual(sum(name.startswith("snapshot-") for name in names), 1)
        again = self.start(snapshot_entries=25)
        self.assertEqual(self.add(again), 131)

    def test_watchers_see_each_command_once_with_its_answer(self) -> None:
        replica_ = self.make()
        totals: list[int] = []
        replica_.watch(lambda command, answer: totals.append(answer.total))
        replica_.start()
        self.addCleanup(replica_.stop)
        with eventlet.Timeout(20.0):
            while replica_.leadership() is None:
                clock.sleep(0.01)
        for _ in range(3):
            self.add(replica_)
        self.assertEqual(totals, [1, 2, 3])

    def test_new_leader_acts_only_on_what_is_applied(self) -> None:
        """A replica is elected before it has applied all committed entries.

        If another task acted on the replica's state at once, it would serve old
        bundles.
        """
        replica_ = self.make()
        with mock.patch.object(applying.ApplyTask, "put") as held:
            replica_.start()
            self.addCleanup(replica_.stop)
            with eventlet.Timeout(20.0):
                while not replica_.has_lease():
                    clock.sleep(0.01)
            self.assertIsNone(replica_.leadership())
        for call in held.call_args_list:
            replica_._apply.put(*call.args)
        with eventlet.Timeout(20.0):
            while replica_.leadership() is None:
                clock.sleep(0.01)

    def test_stopped_replica_neither_leads_nor_proposes(self) -> None:
        replica_ = self.start()
        replica_.stop()
        self.assertIsNone(replica_.leadership())
        answer = replica_.propose(state_process.Add("k"))
        assert isinstance(answer, result.Err)
        self.assertFalse(answer.err_value.may_have_applied)

    def test_entry_that_a_received_snapshot_holds(self) -> None:
        """A caller is told that its batch will never run, but it runs.

        A leader replicates the batch's entry and is partitioned. The next leader
        commits the entry and drops that part of its log. The first one then receives a
        snapshot that contains the entry's effect but not the entry. If it reported that
        the entry is not in the log, the caller would assume that the batch was refused.
        """
        replica_ = self.start()
        self.add(replica_)
        put = replica_._apply.put

        def lose_commits(effect: object) -> None:
            if not isinstance(effect, events.Commit):
                put(effect)

        with mock.patch.object(replica_._apply, "put", lose_commits):
            proposal = eventlet.spawn(replica_.propose, state_process.Add("k"))
            with eventlet.Timeout(10.0):
                while not len(replica_._client_requests.waiters):
                    clock.sleep(0.01)
        index = replica_.node.log.last_index
        header = snapshot.Header(index, replica_.node.term, 1.0, replica_.node.members)
        put(events.Restore(index, snapshot.encode(header, replica_.state())))
        with eventlet.Timeout(10.0):
            answer = proposal.wait()
        assert isinstance(answer, result.Err)
        self.assertTrue(answer.err_value.may_have_applied)

    def test_backup_is_restored_into_a_new_group(self) -> None:
        """All disks are lost; the operator restores a backup into a new group."""
        replica_ = self.start()
        for _ in range(5):
            self.add(replica_)
        header = snapshot.Header(1, 1, 1.0, replica_.node.members)
        saved = snapshot.encode(header, replica_.state())
        self.add(replica_)
        replica_.stop()
        shutil.rmtree(self.folder)
        again = self.start()
        self.assertNotEqual(again.node.replica_id, replica_.node.replica_id)
        restored = again.propose(commands.RestoreState(saved)).unwrap()
        self.assertTrue(restored.is_restored, restored)
        damaged = commands.RestoreState(saved[:-1] + b"\x00")
        self.assertFalse(again.propose(damaged).unwrap().is_restored)
        self.assertEqual(self.add(again), 6)

    def test_stop_before_start_does_nothing(self) -> None:
        self.make().stop()

    def test_start_refuses_a_damaged_folder(self) -> None:
        replica_ = self.start()
        for _ in range(5):
            self.add(replica_)
        replica_.stop()
        path = pathlib.Path(self.folder, "log-1")
        data = bytearray(path.read_bytes())
        data[60] ^= 1
        path.write_bytes(bytes(data))
        with self.assertRaises(storage.DamageError):
            self.make().start()


class DiskFailure(ReplicaCase):
    def test_replica_whose_disk_fails_stops_completely(self) -> None:
        """A sync fails while commands arrive.

        It is then unknown whether the data is on disk, even if a later sync succeeds.
        So the replica must stop acknowledging commands and stop leading.
        """
        replica_ = self.start()
        self.add(replica_)
        error = OSError(5, "Input/output error")
        with mock.patch.object(files.DiskFiles, "sync", side_effect=error):
            answer = replica_.propose(state_process.Add("k"), timeout=0.5)
        self.assertTrue(answer.is_err())
        self.assertIsNone(replica_.leadership())
        self.assertIn("Input/output error", replica_.status().failure)
        self.assertTrue(replica_.propose(state_process.Add("k"), timeout=0.5).is_err())


class Snapshots(unittest.TestCase):
    """When a snapshot is made, and when the leader first transfers the leadership."""

    def make(self, one: test_state_core.CoreHarness) -> applying.ApplyTask:
        self.owner = mock.Mock(node=one.node)
        self.owner.put.side_effect = one.step
        applied = applier.Applier()
        applied.index = one.node.snapshot_index + 100
        rng = mock.Mock(uniform=mock.Mock(return_value=1.0))
        others = [mock.Mock() for _ in range(3)]
        return applying.ApplyTask(self.owner, applied, *others, 100, rng)

    def test_followers_make_theirs_before_the_leader(self) -> None:
        """All replicas count the same entries, but must not all pause at once."""
        one = test_state_core.CoreHarness()
        task = self.make(one)
        self.assertTrue(task.snapshot_is_due())
        one.establish()
        self.assertFalse(task.snapshot_is_due())

    @tools.params(
        ("large, with a successor", applying.HANDOVER_BYTES, True, False),
        ("small", applying.HANDOVER_BYTES - 1, True, True),
        ("large, all others gone", applying.HANDOVER_BYTES, False, True),
    )
    def test_leader_of_a_large_state_transfers_the_leadership_first(
        self, name: str, n_bytes: int, is_heard: bool, leads: bool
    ) -> None:
        """Encoding takes seconds, during which no command would be answered.

        Without a successor, stepping down would only extend the interruption.
        """
        one = test_state_core.CoreHarness()
        one.establish()
        one.node.snapshot_bytes = n_bytes
        if not is_heard:
            one.now = one.node.now = one.now + 5.0
        self.make(one).transfer_leadership()
        self.assertEqual(isinstance(one.node.role, node.Leader), leads, name)
