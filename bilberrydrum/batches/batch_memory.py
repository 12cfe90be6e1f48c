"""A bound on the memory of the batches that a store keeps.

A store keeps each batch in its log, in its state and, while it leads, as objects. A
batch that is accepted is kept for minutes, so a store that is full refuses further ones
until its memory is free again.
"""

import zlib
from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum.batches import model

# Copies of a batch that a store keeps encoded: in its log and in its state.
_N_KEPT_COPIES: Final = 2
# Further copies while a batch is received, stored and replicated.
_N_PASSING_COPIES: Final = 3
# Time for a large batch to arrive once its sender was told to send it, in seconds.
ROOM_SECONDS: Final = 3.0
# When the sender of a large batch may ask again while another one arrives, in seconds.
BUSY_RETRY_SECONDS: Final = 0.5
# When to ask again for memory that batches hold, in seconds.
FULL_RETRY_SECONDS: Final = 5.0
# Size from which a batch is large, as packed or as objects, in bytes.
LARGE_BYTES: Final = 1024 * 1024
_PART_BYTES: Final = 16 * 1024
_MAX_UNPACKED_BYTES: Final = 256 * 1024


@attrs.frozen
class Size:
    """The size of one batch in bytes."""

    n_packed: int
    # All that is in its items.
    n_items: int

    @classmethod
    def of(cls, data: bytes) -> "Size":
        """Return the size of a batch made by `model.pack_batch`.

        It is unpacked in parts: a few kilobytes may unpack to a thousand times as much.
        """
        unpacker = zlib.decompressobj()
        n_items = 0
        for start in range(0, len(data), _PART_BYTES):
            part = data[start : start + _PART_BYTES]
            while part:
                n_items += len(unpacker.decompress(part, _MAX_UNPACKED_BYTES))
                part = unpacker.unconsumed_tail
        return cls(len(data), n_items)

    def is_large(self) -> bool:
        """Return whether the batch takes more than a usual message."""
        return max(self.n_packed, self.n_items) >= LARGE_BYTES

    def kept_bytes(self, is_open: bool = True) -> int:
        """Return what the batch takes while it is kept."""
        return _N_KEPT_COPIES * self.n_packed + (self.n_items if is_open else 0)

    def peak_bytes(self) -> int:
        """Return what the batch takes while it is being stored."""
        return self.kept_bytes() + _N_PASSING_COPIES * self.n_packed


@attrs.define
class BatchMemory:
    """Decides whether one more batch fits beside those that are kept."""

    max_bytes: int
    _sizes_by_id: dict[str, Size] = attrs.field(factory=dict)
    # The large batch that may arrive, and until when, in seconds of `clock.now`.
    _expected_id: str = ""
    _expected_until: float = 0.0

    def retry_after(
        self, batch_id: str, size: Size, kept: Iterable[model.KeptBatch], now: float
    ) -> float:
        """Return when to ask again, in seconds; 0 if the batch fits now."""
        n_kept = self._n_kept(kept)
        if not n_kept and size.kept_bytes() <= self.max_bytes:
            # A batch that fits by itself is not refused for what others may need.
            n_needed = size.kept_bytes()
        else:
            n_needed = size.peak_bytes()
        if n_kept + n_needed > self.max_bytes:
            return FULL_RETRY_SECONDS
        if not size.is_large():
            return 0.0
        if self._expected_id not in ("", batch_id) and now < self._expected_until:
            return BUSY_RETRY_SECONDS
        self._expected_id = batch_id
        self._expected_until = now + ROOM_SECONDS
        return 0.0

    def record_end(self, batch_id: str) -> None:
        """Let another large batch arrive: this one was stored or refused."""
        if self._expected_id == batch_id:
            self._expected_id = ""

    def _n_kept(self, kept: Iterable[model.KeptBatch]) -> int:
        known, total = {}, 0
        for each in kept:
            size = self._sizes_by_id.get(each.batch_id) or Size.of(each.data)
            known[each.batch_id] = size
            total += size.kept_bytes(not each.is_ended)
        self._sizes_by_id = known
        return total
