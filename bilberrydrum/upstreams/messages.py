"""Messages between gateways about upstreams.

Ages and clocks are in milliseconds. `sent_at` is the sender's monotonic clock: the
receiver computes from it how long a message was under way. `home` is the process id of
an owner, the gateway that manages the leases of its upstreams.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.upstreams import model, records


@codec.register("upstreams.item")
@attrs.frozen
class Item:
    """One change at an owner: a new record, or an upstream that it no longer owns."""

    change: int
    upstream_id: str
    # None: another gateway is the owner now.
    record: records.Record | None = None
    # Time since the owner last received a renewal.
    age: int = 0


@codec.register("upstreams.load")
@attrs.frozen
class LoadItem:
    """One change at an owner that only changes the load."""

    change: int
    upstream_id: str
    load: model.Load
    age: int = 0


@codec.register("upstreams.changes")
@attrs.frozen
class Changes:
    """What changed at an owner after its change number `previous`."""

    # 0: not known; the ages in the changes are then not used.
    sent_at: int
    previous: int
    change: int
    items: tuple[Item, ...] = ()
    loads: tuple[LoadItem, ...] = ()


@codec.register("upstreams.late")
@attrs.frozen
class Late:
    """An upstream whose renewals are overdue."""

    upstream_id: str
    age: int
    # Its owner, if that is not the sender.
    home: str = ""


@codec.register("upstreams.late-home")
@attrs.frozen
class LateOwner:
    """An owner whose renewals are confirmed less recently than those of the others."""

    home: str
    age: int


@codec.register("upstreams.standing")
@attrs.frozen
class Heartbeat:
    """Confirms the leases of all upstreams of an owner as of its change `change`."""

    sent_at: int
    change: int
    digest: int
    # Each upstream but the late ones renewed its lease at most this long ago.
    age: int
    late: tuple[Late, ...] = ()


@codec.register("upstreams.fetch")
@attrs.frozen
class Fetch:
    """Request an owner's changes after `since`; 0 requests everything."""

    since: int
    # The requester's clock.
    asked_at: int


@codec.register("upstreams.fetched")
@attrs.frozen
class Fetched:
    """Answer to `Fetch`."""

    asked_at: int
    # Whether `changes` holds all upstreams of the owner. Any other is released then.
    is_full: bool
    changes: Changes
    standing: Heartbeat


@codec.register("upstreams.forward")
@attrs.frozen
class Forward:
    """A renewal that reached a gateway other than the upstream's owner."""

    upstream_id: str
    life: int
    sent_at: int
    load: model.Load | None = None
    models: dict[str, model.ServedModel] | None = None
    role: str | None = None


@codec.register("upstreams.forwarded")
@attrs.frozen
class Forwarded:
    """Answer to `Forward`: whether this gateway is the owner and took the renewal."""

    upstream_id: str
    is_home: bool


@codec.register("upstreams.news")
@attrs.frozen
class RecordUpdate:
    """A record sent outside of an owner's changes: a leave, or a correction."""

    record: records.Record
    # The receiver must send the record to all gateways and answer `RecordUpdateAck`.
    is_witness: bool = False


@codec.register("upstreams.news-heard")
@attrs.frozen
class RecordUpdateAck:
    """Acknowledgement of a `RecordUpdate` with `is_witness`."""

    upstream_id: str
    life: int


@codec.register("upstreams.prefixes")
@attrs.frozen
class Prefixes:
    """Forwarded cache events. They are hints and may be lost."""

    upstream_id: str
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    is_cleared: bool = False


@codec.register("upstreams.home-changes")
@attrs.frozen
class OwnerChanges:
    """Changes of an owner, relayed."""

    home: str
    incarnation: int
    changes: Changes


@codec.register("upstreams.loads")
@attrs.frozen
class Loads:
    """Changes of load of many owners, in columns with one value per change.

    Loads are most of what is relayed. A change takes about 30 bytes in columns, and
    about 250 as a separate value.
    """

    homes: tuple[str, ...] = ()
    changes: tuple[int, ...] = ()
    # Difference of the change number to that of the owner's previous change.
    spans: tuple[int, ...] = ()
    upstream_ids: tuple[str, ...] = ()
    n_running: tuple[int, ...] = ()
    n_waiting: tuple[int, ...] = ()
    # In thousandths.
    kv_cache_used: tuple[int, ...] = ()
    tokens_per_second: tuple[int, ...] = ()


@codec.register("upstreams.relayed")
@attrs.frozen
class Relayed:
    """What a relay node knows of the owners in its group, or of all owners."""

    sent_at: int
    # Rises by one with each message to the same receivers.
    sequence: int
    # Digest of the set of gateways that the sender knows.
    topology: int
    # Whether it covers all owners, or only those in the sender's group.
    is_all: bool
    # The upstreams of all owners, but the late ones, renewed at most this long ago.
    age: int
    late_homes: tuple[LateOwner, ...] = ()
    late: tuple[Late, ...] = ()
    # Changes since the last message, and records that may be in no owner's log.
    news: tuple[OwnerChanges, ...] = ()
    loads: Loads = attrs.field(factory=Loads)
    unlogged: tuple[records.Record, ...] = ()


@codec.register("upstreams.fetch-vector")
@attrs.frozen
class FetchVector:
    """Ask a relay node up to which change it knows each owner."""

    is_all: bool
    asked_at: int


@codec.register("upstreams.vector")
@attrs.frozen
class Vector:
    """Answer to `FetchVector`, in columns with one value per owner."""

    asked_at: int
    sent_at: int
    is_all: bool
    # Sequence number of the last `Relayed` message sent before.
    sequence: int
    homes: tuple[str, ...]
    changes: tuple[int, ...]
