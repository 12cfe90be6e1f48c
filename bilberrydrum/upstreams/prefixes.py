"""Which engines are likely to hold a prompt's prefix: hints from cache events.

Cache events come late and with gaps, so a hint may be wrong either way. It only
influences the choice between engines. The number of hints per engine is bounded: those
stored longest ago are dropped first.
"""

import collections
from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum.upstreams import messages

# Prefixes kept per engine.
MAX_PREFIXES: Final = 4096
# A hint that was not stored again for this long expires.
KEEP_SECONDS: Final = 600.0


# Maximum number of hints forwarded to the other gateways, per engine and message.
MAX_FORWARDED: Final = 256


@attrs.define
class _Engine:
    """The hints of one engine."""

    sequence: int = 0
    stored_at_by_prefix: "collections.OrderedDict[str, float]" = attrs.field(
        factory=collections.OrderedDict
    )


class PrefixHints:
    """Engines by the prefixes they are likely to hold."""

    def __init__(self) -> None:
        self._engines_by_id: dict[str, _Engine] = {}
        self._ids_by_prefix: dict[str, set[str]] = {}

    def apply(self, event: messages.Prefixes, now: float) -> bool:
        """Apply cache events; return False if they are repeated or out of order.

        A sequence that starts again at 0 or 1 means that the engine has restarted with
        an empty cache. Events missed in a gap are not requested again: a hint for a
        removed prefix expires.
        """
        engine = self._engines_by_id.setdefault(event.upstream_id, _Engine())
        if event.sequence <= engine.sequence and event.sequence > 1:
            return False
        if event.is_cleared or event.sequence <= engine.sequence:
            self._clear(event.upstream_id, engine)
        engine.sequence = event.sequence
        for prefix in event.removed:
            self._remove(event.upstream_id, engine, prefix)
        for prefix in event.stored:
            self._store(event.upstream_id, engine, prefix, now)
        return True

    def holders(self, prefix: str, now: float) -> frozenset[str]:
        """Return the engines that are likely to hold `prefix`."""
        return frozenset(
            upstream_id
            for upstream_id in self._ids_by_prefix.get(prefix, ())
            if now - self._engines_by_id[upstream_id].stored_at_by_prefix[prefix]
            < KEEP_SECONDS
        )

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Drop the hints of all other engines."""
        for upstream_id in self._engines_by_id.keys() - set(upstream_ids):
            self._clear(upstream_id, self._engines_by_id[upstream_id])
            del self._engines_by_id[upstream_id]

    def _store(
        self, upstream_id: str, engine: _Engine, prefix: str, now: float
    ) -> None:
        stored_at_by_prefix = engine.stored_at_by_prefix
        stored_at_by_prefix[prefix] = now
        stored_at_by_prefix.move_to_end(prefix)
        self._ids_by_prefix.setdefault(prefix, set()).add(upstream_id)
        if len(stored_at_by_prefix) > MAX_PREFIXES:
            self._remove(upstream_id, engine, next(iter(stored_at_by_prefix)))

    def _remove(self, upstream_id: str, engine: _Engine, prefix: str) -> None:
        if engine.stored_at_by_prefix.pop(prefix, None) is None:
            return
        holders = self._ids_by_prefix[prefix]
        holders.discard(upstream_id)
        if not holders:
            del self._ids_by_prefix[prefix]

    def _clear(self, upstream_id: str, engine: _Engine) -> None:
        for prefix in list(engine.stored_at_by_prefix):
            self._remove(upstream_id, engine, prefix)


@attrs.define
class _Waiting:
    """Cache events of one engine that are not forwarded yet."""

    sequence: int = 0
    is_cleared: bool = False
    is_stored_by_prefix: dict[str, bool] = attrs.field(factory=dict)


class Outgoing:
    """Cache events to be forwarded, merged so that their number is bounded."""

    def __init__(self) -> None:
        self._waiting_by_id: dict[str, _Waiting] = {}

    def add(self, event: messages.Prefixes) -> None:
        """Forward `event` with the next messages."""
        waiting = self._waiting_by_id.setdefault(event.upstream_id, _Waiting())
        if event.is_cleared or event.sequence <= waiting.sequence:
            waiting.is_cleared = True
            waiting.is_stored_by_prefix.clear()
        waiting.sequence = event.sequence
        for prefix in event.removed:
            waiting.is_stored_by_prefix[prefix] = False
        for prefix in event.stored:
            waiting.is_stored_by_prefix[prefix] = True

    def take(self) -> list[messages.Prefixes]:
        """Return one message for each engine; hints beyond the bound are lost."""
        taken = []
        for upstream_id, waiting in self._waiting_by_id.items():
            latest = list(waiting.is_stored_by_prefix.items())[-MAX_FORWARDED:]
            taken.append(
                messages.Prefixes(
                    upstream_id,
                    waiting.sequence,
                    tuple(prefix for prefix, is_stored in latest if is_stored),
                    tuple(prefix for prefix, is_stored in latest if not is_stored),
                    waiting.is_cleared,
                )
            )
        self._waiting_by_id.clear()
        return taken
