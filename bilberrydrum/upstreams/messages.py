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
    """Records sent outside of a home's changes: a leave, or a correction."""

    records: tuple[records.Record, ...]
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
