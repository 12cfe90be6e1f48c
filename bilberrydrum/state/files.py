"""The file operations that the storage is built on.

Written data is durable only once it is synced, and a new, renamed or removed name only
once its folder is synced. Tests use a file system in memory that drops everything else.
"""

import os
from typing import Protocol


class Files(Protocol):
    """Blocking file operations on paths."""

    def make_folder(self, path: str) -> None:
        """Create the folder `path` if it does not exist."""

    def names(self, folder: str) -> list[str]:
        """Return the names in `folder`."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def read_part(self, path: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file, starting at `offset`."""

    def append(self, path: str, data: bytes) -> None:
        """Append `data` to a file, which is created if it does not exist."""

    def write(self, path: str, data: bytes) -> None:
        """Write `data` to a file, replacing an existing one, and sync it."""

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to `size` bytes, and sync it."""

    def sync(self, path: str) -> None:
        """Sync the content of a file."""

    def sync_folder(self, path: str) -> None:
        """Sync the names in a folder."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def close(self) -> None:
        """Close all open files."""


class DiskFiles:
    """Files of the operating system; the last one appended to is kept open."""

    def __init__(self) -> None:
        self._path = ""
        self._descriptor = -1

    def make_folder(self, path: str) -> None:
        """Create the folder `path` if it does not exist."""
        os.makedirs(path, exist_ok=True)

    def names(self, folder: str) -> list[str]:
        """Return the names in `folder`."""
        return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def read_part(self, path: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file, starting at `offset`."""
        with open(path, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, path: str, data: bytes) -> None:
        """Append `data` to a file, which is created if it does not exist."""
        self._open(path)
        left = memoryview(data)
        while left:
            left = left[os.write(self._descriptor, left) :]

    def write(self, path: str, data: bytes) -> None:
        """Write `data` to a file, replacing an existing one, and sync it."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to `size` bytes, and sync it."""
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def sync(self, path: str) -> None:
        """Sync the content of a file."""
        self._open(path)
        os.fdatasync(self._descriptor)

    def sync_folder(self, path: str) -> None:
        """Sync the names in a folder."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def close(self) -> None:
        """Close all open files."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._path, self._descriptor = "", -1

    def _open(self, path: str) -> None:
        if path == self._path:
            return
        self.close()
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o640)
        self._path = path
