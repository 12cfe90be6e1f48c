"""A file system in memory that loses unsynced data when the power is lost."""

import attrs


class PowerLostError(Exception):
    """The power was lost before the operation took effect."""


@attrs.define
class _File:
    content: bytearray = attrs.field(factory=bytearray)
    synced: bytes = b""


@attrs.frozen
class Leftover:
    """Which unsynced data survives a power loss."""

    # Share of the unsynced bytes at the end of a file that survive.
    bytes_share: float = 0.0
    # Whether the last surviving byte is damaged.
    is_garbled: bool = False
    # Whether new, renamed and removed names survive although their folder was not
    # synced.
    keeps_names: bool = False


class FakeFiles:
    """Implements the protocol `bilberrydrum.state.files.Files` in memory."""

    def __init__(self) -> None:
        self._files_by_path: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self.n_operations = 0
        # Number of the operation before which the power is lost; None if never.
        self.fails_at: int | None = None

    def _operate(self) -> None:
        if self.fails_at is not None and self.n_operations >= self.fails_at:
            raise PowerLostError
        self.n_operations += 1

    def lose_power(self, leftover: Leftover = Leftover()) -> None:
        """Drop all unsynced data except for the leftover."""
        names = self._files_by_path if leftover.keeps_names else self._durable_names
        self._files_by_path = dict(names)
        self._durable_names = dict(names)
        for file in self._files_by_path.values():
            if bytes(file.content[: len(file.synced)]) != file.synced:
                file.content = bytearray(file.synced)
            n_kept = int((len(file.content) - len(file.synced)) * leftover.bytes_share)
            del file.content[len(file.synced) + n_kept :]
            if leftover.is_garbled and n_kept:
                file.content[-1] ^= 0xFF
            file.synced = bytes(file.content)
        self.fails_at = None

    def damage(self, path: str, offset: int) -> None:
        """Flip the bits of one byte that was synced."""
        file = self._files_by_path[path]
        file.content[offset] ^= 0xFF
        file.synced = bytes(file.content)

    def size(self, path: str) -> int:
        return len(self._files_by_path[path].content)

    def make_folder(self, path: str) -> None:
        pass

    def names(self, folder: str) -> list[str]:
        head = f"{folder}/"
        paths = self._files_by_path
        return sorted(
            each.removeprefix(head) for each in paths if each.startswith(head)
        )

    def read(self, path: str) -> bytes:
        return bytes(self._files_by_path[path].content)

    def read_part(self, path: str, offset: int, size: int) -> bytes:
        return self.read(path)[offset : offset + size]

    def append(self, path: str, data: bytes) -> None:
        self._operate()
        self._files_by_path.setdefault(path, _File()).content += data

    def write(self, path: str, data: bytes) -> None:
        self._operate()
        file = _File(bytearray(data))
        self._files_by_path[path] = file
        self._operate()
        file.synced = bytes(data)

    def truncate(self, path: str, size: int) -> None:
        self._operate()
        file = self._files_by_path[path]
        del file.content[size:]
        self._operate()
        file.synced = bytes(file.content)

    def sync(self, path: str) -> None:
        self._operate()
        file = self._files_by_path[path]
        file.synced = bytes(file.content)

    def sync_folder(self, path: str) -> None:
        self._operate()
        head = f"{path}/"
        for name in [each for each in self._durable_names if each.startswith(head)]:
            del self._durable_names[name]
        for name, file in self._files_by_path.items():
            if name.startswith(head):
                self._durable_names[name] = file

    def rename(self, old: str, new: str) -> None:
        self._operate()
        self._files_by_path[new] = self._files_by_path.pop(old)

    def remove(self, path: str) -> None:
        self._operate()
        del self._files_by_path[path]

    def close(self) -> None:
        pass
