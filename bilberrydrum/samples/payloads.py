"""Texts and tokens of samples, kept at gateways until the trainer acknowledges them.

A payload is kept at the gateway that generated it, with one copy at a gateway of
another availability zone. It is kept in memory only and is lost when the process ends.
The record in the state group lists the incarnations of the gateways that hold it.
"""

import zlib
from collections.abc import Mapping
from typing import Final

import attrs
import eventlet

from bilberrydrum import clock, codec, interfaces, transport
from bilberrydrum.samples import model

COPY_TIMEOUT_SECONDS: Final = 1.0
FETCH_TIMEOUT_SECONDS: Final = 1.0
# Number of payloads requested with one message.
FETCH_CHUNK: Final = 128
# Number of gateways tried for the copy. If none accepts it, the payload has one holder.
_COPY_TRIES: Final = 2


@codec.register("samples.store-payload")
@attrs.frozen
class StorePayload:
    """Store a copy; answered with `PayloadStored`."""

    key: str
    payload: model.Payload


@codec.register("samples.payload-stored")
@attrs.frozen
class PayloadStored:
    """The copy is stored by this incarnation of the gateway."""

    holder: str


@codec.register("samples.fetch-payloads")
@attrs.frozen
class FetchPayloads:
    """Request payloads; answered with `Payloads`."""

    keys: tuple[str, ...]


@codec.register("samples.payloads")
@attrs.frozen
class Payloads:
    """The payloads in the requested order; None for those that are not held here."""

    payloads: tuple[model.Payload | None, ...]


@attrs.frozen
class Wanted:
    """A payload to fetch."""

    key: str
    digest: bytes
    holders: tuple[str, ...]


class PayloadStore:
    """Stores the payloads of this process and fetches those of other gateways."""

    def __init__(
        self, bus: transport.Transport, bundles: interfaces.BundleView, zone: str
    ) -> None:
        self._bus = bus
        self._bundles = bundles
        self._zone = zone
        self._payloads_by_key: dict[str, model.Payload] = {}
        self._stored_at_by_key: dict[str, float] = {}

    def start(self) -> None:
        """Start answering other gateways."""
        self._bus.on(StorePayload, self._handle_store)
        self._bus.on(FetchPayloads, self._handle_fetch)

    @property
    def holder(self) -> str:
        """The holder name of this incarnation of the gateway."""
        return model.holder_name(self._bus.process_id, self._bus.incarnation)

    def put(self, key: str, payload: model.Payload) -> tuple[str, ...]:
        """Store a payload, copy it to another gateway, and return its holders."""
        self._keep(key, payload)
        holders = [self.holder]
        for gateway in self._copy_candidates(key)[:_COPY_TRIES]:
            answer = self._bus.call(
                gateway.peer_address, StorePayload(key, payload), COPY_TIMEOUT_SECONDS
            )
            if answer.is_ok():
                holders.append(answer.unwrap().holder)
                break
        return tuple(holders)

    def _copy_candidates(self, key: str) -> list[interfaces.Gateway]:
        others = [
            each
            for each in self._bundles.gateways_by_id().values()
            if each.process_id != self._bus.process_id
        ]
        in_other_zones = [
            each for each in others if each.availability_zone != self._zone
        ]
        # The hash of the key spreads the copies over the gateways.
        candidates = sorted(in_other_zones or others, key=lambda each: each.process_id)
        first = zlib.crc32(key.encode()) % len(candidates) if candidates else 0
        return candidates[first:] + candidates[:first]

    def _keep(self, key: str, payload: model.Payload) -> None:
        self._payloads_by_key[key] = payload
        self._stored_at_by_key[key] = clock.now()

    def keys_older_than(self, seconds: float) -> list[str]:
        """Return the keys of payloads that were stored at least `seconds` ago."""
        limit = clock.now() - seconds
        return [key for key, at in self._stored_at_by_key.items() if at <= limit]

    def drop(self, key: str) -> None:
        """Remove a payload."""
        self._payloads_by_key.pop(key, None)
        self._stored_at_by_key.pop(key, None)

    def fetch(self, wanted: list[Wanted]) -> dict[str, model.Payload]:
        """Return the payloads that were found, by key."""
        found: dict[str, model.Payload] = {}
        for each in wanted:
            self._accept(found, each, self._payloads_by_key.get(each.key))
        # Each payload has at most two holders. The second one is requested to send the
        # payloads that the first one did not have.
        for i_holder in range(2):
            missing = [each for each in wanted if each.key not in found]
            self._fetch_from_holders(found, missing, i_holder)
        return found

    def _accept(
        self,
        found: dict[str, model.Payload],
        wanted: Wanted,
        payload: model.Payload | None,
    ) -> None:
        # A payload other than the recorded one would be delivered with segments and a
        # score that belong to another text.
        if payload is not None and payload.digest() == wanted.digest:
            found[wanted.key] = payload

    def _fetch_from_holders(
        self, found: dict[str, model.Payload], missing: list[Wanted], i_holder: int
    ) -> None:
        gateways = self._bundles.gateways_by_id()
        by_address: dict[str, list[Wanted]] = {}
        for each in missing:
            address = self._address(gateways, each, i_holder)
            if address:
                by_address.setdefault(address, []).append(each)
        pool = eventlet.GreenPool()
        for address, requested in by_address.items():
            pool.spawn(self._fetch_from, found, address, requested)
        pool.waitall()

    def _address(
        self, gateways: Mapping[str, interfaces.Gateway], wanted: Wanted, i_holder: int
    ) -> str:
        if i_holder >= len(wanted.holders):
            return ""
        process_id = model.holder_process_id(wanted.holders[i_holder])
        gateway = gateways.get(process_id)
        if gateway is None or process_id == self._bus.process_id:
            return ""
        return gateway.peer_address

    def _fetch_from(
        self, found: dict[str, model.Payload], address: str, requested: list[Wanted]
    ) -> None:
        for first in range(0, len(requested), FETCH_CHUNK):
            chunk = requested[first : first + FETCH_CHUNK]
            message = FetchPayloads(tuple(each.key for each in chunk))
            answer = self._bus.call(address, message, FETCH_TIMEOUT_SECONDS)
            if answer.is_err():
                return
            for each, payload in zip(chunk, answer.unwrap().payloads, strict=True):
                self._accept(found, each, payload)

    def _handle_store(self, sender: transport.Sender, message: StorePayload) -> None:
        self._keep(message.key, message.payload)
        self._bus.answer(sender, PayloadStored(self.holder))

    def _handle_fetch(self, sender: transport.Sender, message: FetchPayloads) -> None:
        payloads = tuple(self._payloads_by_key.get(key) for key in message.keys)
        self._bus.answer(sender, Payloads(payloads))
