"""Messages between gateways about upstreams.

Ages and clocks are in milliseconds. `sent_at` is the sender's monotonic clock: the
receiver works out from it how long a message was under way.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.upstreams import model, records


@codec.register("upstreams.item")
@attrs.frozen
class Item:
    """One change at a home: a new record, or an upstream it no longer answers for."""

    change: int
    upstream_id: str
    # None: another gateway is the home now.
    record: records.Record | None = None
    # Time since the home last heard a renewal.
    age: int = 0


@codec.register("upstreams.load")
@attrs.frozen
class LoadItem:
    """One change at a home that is only a change of load."""

    change: int
    upstream_id: str
    load: model.Load
    age: int = 0


@codec.register("upstreams.changes")
@attrs.frozen
class Changes:
    """What changed at a home after its change number `previous`."""

    # 0: not known; the changes tell nothing of renewals.
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
    # Its home, when that is not the sender.
    home: str = ""


@codec.register("upstreams.late-home")
@attrs.frozen
class LateHome:
    """A home that was not heard as lately as the others."""

    home: str
    age: int


@codec.register("upstreams.standing")
@attrs.frozen
class Standing:
    """All upstreams of a home still stand, as of its change number `change`."""

    sent_at: int
    change: int
    digest: int
    # Each upstream but the late ones renewed its lease at most this long ago.
    age: int
    late: tuple[Late, ...] = ()


@codec.register("upstreams.fetch")
@attrs.frozen
class Fetch:
    """Ask a home for its changes after `since`; 0: for everything."""

    since: int
    # The asker's clock.
    asked_at: int


@codec.register("upstreams.fetched")
@attrs.frozen
class Fetched:
    """Answer to `Fetch`."""

    asked_at: int
    # All that the home answers for is in `changes`; what is not there is released.
    is_full: bool
    changes: Changes
    standing: Standing


@codec.register("upstreams.forward")
@attrs.frozen
class Forward:
    """A renewal that came to a gateway other than the upstream's home."""

    upstream_id: str
    life: int
    sent_at: int
    load: model.Load | None = None
    models: dict[str, model.ServedModel] | None = None
    role: str | None = None


@codec.register("upstreams.forwarded")
@attrs.frozen
class Forwarded:
    """Answer to `Forward`: whether this gateway is the home and took the renewal."""

    upstream_id: str
    is_home: bool


@codec.register("upstreams.news")
@attrs.frozen
class News:
    """A record sent outside of a home's changes: a leave, or a correction."""

    record: records.Record
    # The receiver must pass the records on to all gateways and answer `NewsHeard`.
    is_witness: bool = False


@codec.register("upstreams.news-heard")
@attrs.frozen
class NewsHeard:
    """Answer of a witness."""

    upstream_id: str
    life: int


@codec.register("upstreams.prefixes")
@attrs.frozen
class Prefixes:
    """Cache events, passed on. Hints: they may be lost."""

    upstream_id: str
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    is_cleared: bool = False


@codec.register("upstreams.home-changes")
@attrs.frozen
class HomeChanges:
    """Changes of a home, relayed."""

    home: str
    incarnation: int
    changes: Changes


@codec.register("upstreams.loads")
@attrs.frozen
class Loads:
    """Changes of load of many homes, in columns, one value per change.

    Loads are most of what is relayed. In columns one takes some 30 bytes, as a value of
    its own some 250.
    """

    homes: tuple[str, ...] = ()
    changes: tuple[int, ...] = ()
    # Change numbers of the home since its change before.
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
    """What a seat knows of the homes of its group, or of all homes."""

    sent_at: int
    # Rises by one with each message to the same receivers.
    sequence: int
    # Digest of the gateways that the sender goes by.
    topology: int
    # All homes, or only those of the sender's group.
    is_all: bool
    # Each home's upstreams, but the late ones', renewed at most this long ago.
    age: int
    late_homes: tuple[LateHome, ...] = ()
    late: tuple[Late, ...] = ()
    # Changes that came in since the last message, and records that no home may log.
    news: tuple[HomeChanges, ...] = ()
    loads: Loads = attrs.field(factory=Loads)
    unlogged: tuple[records.Record, ...] = ()


@codec.register("upstreams.fetch-vector")
@attrs.frozen
class FetchVector:
    """Ask a seat how far it knows each home's changes."""

    is_all: bool
    asked_at: int


@codec.register("upstreams.vector")
@attrs.frozen
class Vector:
    """Answer to `FetchVector`: columns, one value per home."""

    asked_at: int
    sent_at: int
    is_all: bool
    # The last message sent before.
    sequence: int
    homes: tuple[str, ...]
    changes: tuple[int, ...]
