"""The updates that the control group's leader sends to each process."""

from collections.abc import Callable

from bilberrydrum import codec
from bilberrydrum.fleet import commands, crash_commands, messages, registry_log


class Feeds:
    """Makes feeds.

    Each part is encoded once for all processes that need it.
    """

    def __init__(self) -> None:
        self._log = registry_log.RegistryLog()
        self._encoded_by_key: dict[tuple[str, int, int], bytes] = {}

    def clear(self) -> None:
        """Forget all earlier states.

        They are from an earlier term, and another leader may have made changes since.
        """
        self._log = registry_log.RegistryLog()
        self._encoded_by_key.clear()

    def make(
        self,
        section: commands.Section,
        crashes: crash_commands.Section,
        known: messages.Subscribe,
        addresses: tuple[str, ...],
    ) -> messages.Feed:
        """Return the feed for a process that has the indexes in `known`."""
        registry_index = known.registry_index
        policy = registry = change = b""
        if known.policy_index < section.policy_index:
            key = ("policy", 0, section.policy_index)
            policy = self._encode(key, lambda: section.policy)
        if registry_index < section.registry_index:
            self._log.record(section)
            registry, change = self._registry_since(registry_index, known)
        evidence = b""
        if known.crashes_index < crashes.index:
            key = ("crashes", 0, crashes.index)
            evidence = self._encode(key, lambda: crashes.book)
        return messages.Feed(
            section.policy_index,
            policy,
            section.registry_index,
            registry,
            addresses,
            change,
            crashes.index,
            evidence,
        )

    def can_wait(self, section: commands.Section, registry_index: int) -> bool:
        """Return whether the changes can wait until a gateway's next renewal."""
        self._log.record(section)
        return self._log.can_wait(registry_index)

    def _registry_since(
        self, index: int, known: messages.Subscribe
    ) -> tuple[bytes, bytes]:
        """Return the encoded registry and the encoded change; one of them is empty."""
        is_gateway = not known.store_address
        kind = "gateway" if is_gateway else "store"
        current = self._log.index
        if not self._log.reaches_back_to(index):
            key = (f"{kind}-registry", 0, current)
            return self._encode(key, lambda: self._log.full_registry(is_gateway)), b""
        key = (f"{kind}-change", index, current)
        return b"", self._encode(key, lambda: self._log.change_since(index, is_gateway))

    def _encode(self, key: tuple[str, int, int], make: Callable[[], object]) -> bytes:
        if key not in self._encoded_by_key:
            kind, _, index = key
            # Drop encoded parts for older states, which are no longer sent.
            self._encoded_by_key = {
                k: v
                for k, v in self._encoded_by_key.items()
                if k[0] != kind or k[2] == index
            }
            self._encoded_by_key[key] = codec.encode(make())
        return self._encoded_by_key[key]
