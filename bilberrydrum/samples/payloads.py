"""Texts and tokens of samples, kept at gateways until the trainer's cursor has moved.

A payload is kept where it was made, with one copy at a gateway of another availability
zone. It lives in memory only and ends with its process; the record in the state group
says which lives of which gateways hold it.
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
# Payloads asked for in one message.
FETCH_CHUNK: Final = 128
# Gateways tried for the copy before a payload stays with one holder.
_COPY_TRIES: Final = 2


@codec.register("samples.store-payload")
@attrs.frozen
class StorePayload:
    """Keep a copy; answered with `PayloadStored`."""

    key: str
    payload: model.Payload


@codec.register("samples.payload-stored")
@attrs.frozen
class PayloadStored:
    """The copy is kept by this life of the gateway."""

    holder: str


@codec.register("samples.fetch-payloads")
@attrs.frozen
class FetchPayloads:
    """Ask for payloads; answered with `Payloads`."""

    keys: tuple[str, ...]


@codec.register("samples.payloads")
@attrs.frozen
class Payloads:
    """The payloads in the order asked for; None: not held here."""

    payloads: tuple[model.Payload | None, ...]


@attrs.frozen
class Wanted:
    """A payload to be found."""

    key: str
    digest: bytes
    holders: tuple[str, ...]


class PayloadStore:
    """The payloads of this process, and the way to those of the others."""

    def __init__(
        self, bus: transport.Transport, bundles: interfaces.BundleView, zone: str
    ) -> None:
        self._bus = bus
        self._bundles = bundles
        self._zone = zone
        self._payloads_by_key: dict[str, model.Payload] = {}
        self._stored_at_by_key: dict[str, float] = {}

    def start(self) -> None:
        """Answer the other gateways."""
        self._bus.on(StorePayload, self._take_store)
        self._bus.on(FetchPayloads, self._take_fetch)

    @property
    def holder(self) -> str:
        """The name of this life of this gateway."""
        return model.holder_name(self._bus.process_id, self._bus.incarnation)

    def put(self, key: str, payload: model.Payload) -> tuple[str, ...]:
        """Keep a payload and have it copied; return its holders."""
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
        elsewhere = [each for each in others if each.availability_zone != self._zone]
        # The key spreads the copies over the gateways.
        candidates = sorted(elsewhere or others, key=lambda each: each.process_id)
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
        """Forget a payload."""
        self._payloads_by_key.pop(key, None)
        self._stored_at_by_key.pop(key, None)

    def fetch(self, wanted: list[Wanted]) -> dict[str, model.Payload]:
        """Return the payloads that could be had, by key."""
        found: dict[str, model.Payload] = {}
        for each in wanted:
            self._accept(found, each, self._payloads_by_key.get(each.key))
        # Each payload has at most two holders; the second is asked for what the first
        # did not have.
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
        # A payload that is not the recorded one would be delivered with segments and a
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
        for address, asked in by_address.items():
            pool.spawn(self._fetch_from, found, address, asked)
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
        self, found: dict[str, model.Payload], address: str, asked: list[Wanted]
    ) -> None:
        for first in range(0, len(asked), FETCH_CHUNK):
            chunk = asked[first : first + FETCH_CHUNK]
            message = FetchPayloads(tuple(each.key for each in chunk))
            answer = self._bus.call(address, message, FETCH_TIMEOUT_SECONDS)
            if answer.is_err():
                return
            for each, payload in zip(chunk, answer.unwrap().payloads, strict=True):
                self._accept(found, each, payload)

    def _take_store(self, sender: transport.Sender, message: StorePayload) -> None:
        self._keep(message.key, message.payload)
        self._bus.answer(sender, PayloadStored(self.holder))

    def _take_fetch(self, sender: transport.Sender, message: FetchPayloads) -> None:
        payloads = tuple(self._payloads_by_key.get(key) for key in message.keys)
        self._bus.answer(sender, Payloads(payloads))
