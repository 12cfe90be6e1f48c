"""The replica's data folder: its id, the log in segments, and the snapshot.

`replica-id` is written when the folder is created. `log-N` is a segment: a header with
the segment's salt, then frames (see `frames`). The first frame of each segment repeats
the hard state, so that older segments can be removed. `snapshot-INDEX` is either
complete or absent: it is written under another name, synced, and renamed. All calls
block; the replica makes them in a thread.
"""

import os
import uuid
from collections.abc import Sequence
from typing import Any, Final

import attrs
import msgpack

from bilberrydrum import packing
from bilberrydrum.state import events, files, frames, log, node, snapshot

SEGMENT_BYTES: Final = 16 * 1024 * 1024

_ID_NAME: Final = "replica-id"
_LOG_PREFIX: Final = "log-"
_SNAPSHOT_PREFIX: Final = "snapshot-"
_PART_SUFFIX: Final = ".part"
_DISCARD_NAME: Final = "discarded"
_PROBE_NAME: Final = "probe"
_SEGMENT_MAGIC: Final = b"bdlog\x00\x00\x01"
_N_SALT_BYTES: Final = 4
_N_HEAD_BYTES: Final = len(_SEGMENT_MAGIC) + _N_SALT_BYTES

_RECORD_HARD_STATE: Final = 0
_RECORD_ENTRIES: Final = 1
_RECORD_RESET: Final = 2


class DamageError(Exception):
    """The data folder is in a state that no crash can produce.

    The replica must not use it: an entry or a vote that it acknowledged may be lost.
    The folder has to be moved away; the host then joins under a new replica id.
    """


@attrs.define
class _Segment:
    number: int
    salt: bytes
    n_bytes: int = 0
    n_frames: int = 0
    # Highest index of an entry in the segment.
    last_index: int = 0


@attrs.define
class _Replay:
    """The hard state and the entries, replayed from the frames in order."""

    hard_state: events.HardState = attrs.field(factory=events.HardState)
    entries: list[log.Entry] = attrs.field(factory=list)

    def apply_frame(self, payload: bytes, segment: _Segment) -> None:
        """Apply the records of one frame."""
        for kind, value in msgpack.unpackb(payload):
            if kind == _RECORD_HARD_STATE:
                self.hard_state = events.HardState(*value)
            elif kind == _RECORD_RESET:
                self.entries.clear()
            else:
                entries = log.unpack(value)
                self._add(entries)
                segment.last_index = max(segment.last_index, entries[-1].index)

    def _add(self, entries: list[log.Entry]) -> None:
        first = entries[0].index
        if self.entries and first <= self.entries[-1].index:
            # A later leader's entries overwrite those of an earlier leader.
            del self.entries[max(first - self.entries[0].index, 0) :]
        if self.entries and first != self.entries[-1].index + 1:
            raise DamageError(f"the log has a gap before entry {first}")
        self.entries.extend(entries)


class Storage:
    """The data folder of one replica."""

    def __init__(
        self, disk: files.Files, folder: str, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self._disk = disk
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._hard_state = events.HardState()
        self._snapshot_index = 0

    # Opening

    def open(self) -> tuple[node.Recovered, bytes]:
        """Return the recovered data and the snapshot's bytes, if there is one.

        Raises
        ------
        DamageError
            If data that was synced before is missing or damaged.
        """
        self._disk.make_folder(self._folder)
        self._empty_if_discarded()
        names = self._disk.names(self._folder)
        for name in [each for each in names if each.endswith(_PART_SUFFIX)]:
            self._disk.remove(self._path(name))
        replica_id = self._open_id(names)
        data = self._open_snapshot(names)
        replay = self._replay(names)
        self._hard_state = replay.hard_state
        recovered = self._recovered(replica_id, data, replay)
        self._sync_recovered()
        self._start_segment(is_reset=_is_behind(recovered, replay.entries))
        return recovered, data

    def discard(self) -> None:
        """Mark the folder to be emptied when it is next opened.

        Used for a replica that its group has replaced. The files are removed only once
        the mark is synced: a folder with only some of them and no mark would be
        classified as damaged.
        """
        self._replace(_DISCARD_NAME, b"")

    def accepts_writes(self) -> bool:
        """Return whether a write to the disk and its sync succeed."""
        path = self._path(_PROBE_NAME + _PART_SUFFIX)
        try:
            self._disk.make_folder(self._folder)
            self._disk.write(path, b"probe" * 1024)
            self._disk.remove(path)
        except OSError:
            # The disk is full or failing; the caller tries again later.
            return False
        return True

    def _empty_if_discarded(self) -> None:
        names = self._disk.names(self._folder)
        if _DISCARD_NAME not in names:
            return
        for name in names:
            if name != _DISCARD_NAME:
                self._disk.remove(self._path(name))
        self._disk.sync_folder(self._folder)
        self._disk.remove(self._path(_DISCARD_NAME))
        self._disk.sync_folder(self._folder)

    def _sync_recovered(self) -> None:
        """Sync the data that was read.

        A process that is killed in the middle of a write leaves bytes and names that
        were never synced. Its next incarnation treats them as stored and acknowledges
        them; without this sync, the next power loss would erase them. Only the last
        segment can have such bytes, as each is synced before the next one is created.
        """
        if self._segments:
            self._disk.sync(self._path(f"{_LOG_PREFIX}{self._segments[-1].number}"))
        self._disk.sync_folder(self._folder)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _open_id(self, names: Sequence[str]) -> str:
        if _ID_NAME in names:
            replica_id = self._disk.read(self._path(_ID_NAME)).decode()
            if len(replica_id) != 32:
                raise DamageError(f"{self._path(_ID_NAME)} is damaged")
            return replica_id
        if any(each.startswith((_LOG_PREFIX, _SNAPSHOT_PREFIX)) for each in names):
            # The id is synced before the first segment is created.
            raise DamageError(f"{self._folder} has a log but no {_ID_NAME}")
        replica_id = uuid.uuid4().hex
        self._replace(_ID_NAME, replica_id.encode())
        return replica_id

    def _replace(self, name: str, data: bytes) -> None:
        part = self._path(name + _PART_SUFFIX)
        self._disk.write(part, data)
        self._disk.rename(part, self._path(name))
        self._disk.sync_folder(self._folder)

    def _open_snapshot(self, names: Sequence[str]) -> bytes:
        indexes = _numbers(names, _SNAPSHOT_PREFIX)
        if not indexes:
            return b""
        self._snapshot_index = indexes[-1]
        path = self._path(f"{_SNAPSHOT_PREFIX}{indexes[-1]}")
        data = self._disk.read(path)
        try:
            snapshot.read(data)
        except snapshot.SnapshotError as error:
            raise DamageError(f"{path}: {error}") from error
        return data

    def _replay(self, names: Sequence[str]) -> _Replay:
        replay = _Replay()
        numbers = _numbers(names, _LOG_PREFIX)
        for number in numbers:
            path = self._path(f"{_LOG_PREFIX}{number}")
            self._replay_segment(path, number, number == numbers[-1], replay)
        if numbers and numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise DamageError(f"{self._folder} lacks a log segment")
        return replay

    def _replay_segment(
        self, path: str, number: int, is_last: bool, replay: _Replay
    ) -> None:
        data = self._disk.read(path)
        salt = data[len(_SEGMENT_MAGIC) : _N_HEAD_BYTES]
        segment = _Segment(number, salt)
        self._segments.append(segment)
        is_whole = data.startswith(_SEGMENT_MAGIC) and len(salt) == _N_SALT_BYTES
        if not is_whole and not is_last:
            raise DamageError(f"{path}: the segment header is damaged")
        if not is_whole:
            # The header is synced before the first frame is written, so a segment with
            # an incomplete header has no frames.
            if len(data) > _N_HEAD_BYTES:
                raise DamageError(f"{path}: the segment header is damaged")
            self._segments.pop()
            self._disk.remove(path)
            self._disk.sync_folder(self._folder)
            return
        found = frames.scan(data[_N_HEAD_BYTES:], salt)
        n_good = _N_HEAD_BYTES + found.n_good_bytes
        if found.is_damaged or (n_good < len(data) and not is_last):
            raise DamageError(
                f"{path}: damaged at byte {n_good}, with good records after it; move "
                f"the data folder away and let this host join as a new replica"
            )
        for payload in found.payloads:
            replay.apply_frame(payload, segment)
        if n_good < len(data):
            # A torn tail: its sync never completed, so it was never acknowledged. If it
            # were not truncated, the next frame would follow a bad one, which is
            # classified as damage.
            self._disk.truncate(path, n_good)

    def _recovered(
        self, replica_id: str, data: bytes, replay: _Replay
    ) -> node.Recovered:
        entries = replay.entries
        if not data:
            if entries and entries[0].index != 1:
                raise DamageError("the log starts after a snapshot that is missing")
            return node.Recovered(replica_id, replay.hard_state, entries=tuple(entries))
        header = snapshot.read(data)
        if entries and entries[0].index > header.index + 1:
            raise DamageError("entries between the snapshot and the log are missing")
        at_snapshot = [each for each in entries if each.index == header.index]
        later = [each for each in entries if each.index > header.index]
        if at_snapshot and at_snapshot[0].term != header.term:
            # The power was lost after a received snapshot was saved and before the
            # conflicting log was reset.
            later = []
        return node.Recovered(
            replica_id,
            replay.hard_state,
            header.index,
            header.term,
            header.time,
            len(data),
            header.membership,
            tuple(later),
        )

    # Writing

    def append(self, writes: Sequence[events.Write | events.SaveSnapshot]) -> None:
        """Carry out `writes` with one sync, or more if they include a snapshot."""
        records: list[Any] = []
        last_index = 0
        for write in writes:
            if isinstance(write, events.SaveSnapshot):
                self._write_frame(records, last_index)
                records, last_index = [], 0
                self.save_snapshot(write.index, write.data)
                if not write.keeps_log:
                    records.append((_RECORD_RESET, None))
                continue
            if write.hard_state != self._hard_state:
                self._hard_state = write.hard_state
                records.append((_RECORD_HARD_STATE, attrs.astuple(write.hard_state)))
            if write.entries:
                records.append((_RECORD_ENTRIES, log.pack(write.entries)))
                last_index = max(last_index, write.entries[-1].index)
        self._write_frame(records, last_index)

    def _write_frame(self, records: list[Any], last_index: int) -> None:
        if not records:
            return
        if self._segments[-1].n_bytes >= self._segment_bytes:
            self._start_segment()
        segment = self._segments[-1]
        payload = packing.pack(records)
        # What was packed of a batch takes as much memory again as the frame.
        records.clear()
        head = frames.head(segment.salt, segment.n_frames, payload)
        path = self._path(f"{_LOG_PREFIX}{segment.number}")
        if len(payload) < packing.LARGE_BYTES:
            self._disk.append(path, head + payload)
        else:
            self._disk.append(path, head)
            self._disk.append(path, payload)
        self._disk.sync(path)
        segment.n_frames += 1
        segment.n_bytes += len(head) + len(payload)
        segment.last_index = max(segment.last_index, last_index)

    def _start_segment(self, is_reset: bool = False) -> None:
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = _Segment(number, os.urandom(_N_SALT_BYTES))
        path = self._path(f"{_LOG_PREFIX}{number}")
        self._disk.append(path, _SEGMENT_MAGIC + segment.salt)
        self._disk.sync(path)
        self._disk.sync_folder(self._folder)
        self._segments.append(segment)
        records: list[Any] = [(_RECORD_HARD_STATE, attrs.astuple(self._hard_state))]
        if is_reset:
            records.append((_RECORD_RESET, None))
        self._write_frame(records, 0)

    def save_snapshot(self, index: int, data: bytes) -> None:
        """Save a snapshot and remove earlier ones."""
        self.write_snapshot(index, data)
        self.activate_snapshot(index)

    def write_snapshot(self, index: int, data: bytes) -> None:
        """Write a snapshot under a temporary name.

        This may run while another thread writes the log.
        """
        name = f"{_SNAPSHOT_PREFIX}{index}{_PART_SUFFIX}"
        self._disk.write(self._path(name), data)

    def activate_snapshot(self, index: int) -> None:
        """Put the snapshot written for `index` in use and remove earlier ones."""
        name = f"{_SNAPSHOT_PREFIX}{index}"
        part = self._path(name + _PART_SUFFIX)
        if index <= self._snapshot_index:
            self._disk.remove(part)
            return
        self._disk.rename(part, self._path(name))
        self._disk.sync_folder(self._folder)
        self._snapshot_index = index
        for old in _numbers(self._disk.names(self._folder), _SNAPSHOT_PREFIX):
            if old < index:
                self._disk.remove(self._path(f"{_SNAPSHOT_PREFIX}{old}"))

    def read_snapshot(self, index: int, offset: int, size: int) -> bytes:
        """Return a part of the snapshot `index`; empty if it was removed."""
        if index != self._snapshot_index:
            return b""
        path = self._path(f"{_SNAPSHOT_PREFIX}{index}")
        try:
            return self._disk.read_part(path, offset, size)
        except FileNotFoundError:
            # Another thread has activated a newer snapshot since the comparison.
            return b""

    def drop_log(self, index: int) -> None:
        """Remove the oldest segments, those without entries after `index`."""
        while len(self._segments) > 1 and self._segments[0].last_index <= index:
            segment = self._segments.pop(0)
            self._disk.remove(self._path(f"{_LOG_PREFIX}{segment.number}"))
            # Each removal is synced on its own. After a power loss a removed segment
            # may reappear, but never one whose successor is missing.
            self._disk.sync_folder(self._folder)

    def close(self) -> None:
        """Close the files."""
        self._disk.close()


def _is_behind(recovered: node.Recovered, replayed: list[log.Entry]) -> bool:
    """Return whether the log on disk ends elsewhere than the recovered snapshot.

    A process may be killed after it saved a received snapshot and before it wrote the
    record that resets the log. Unless the log is reset, the next entries written would
    not follow those on disk, and the next opening would find a gap.
    """
    if not replayed or recovered.entries:
        return False
    last = replayed[-1]
    is_joined = last.index == recovered.snapshot_index
    return not (is_joined and last.term == recovered.snapshot_term)


def holds_log(disk: files.Files, folder: str) -> bool:
    """Return whether `folder` has the log of a replica that will continue it."""
    disk.make_folder(folder)
    names = disk.names(folder)
    is_kept = _DISCARD_NAME not in names
    return is_kept and any(each.startswith(_LOG_PREFIX) for each in names)


def _numbers(names: Sequence[str], prefix: str) -> list[int]:
    """Return the numbers that follow `prefix` in `names`, in ascending order."""
    texts = [each.removeprefix(prefix) for each in names if each.startswith(prefix)]
    return sorted(int(each) for each in texts if each.isdecimal())
