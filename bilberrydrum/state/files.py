"""The file operations that the storage is built on.

What is written lasts only once it is synced, and a new, renamed or removed name only
once its folder is synced. Tests put a file system in this place that forgets the rest.
"""

import os
from typing import Protocol


class Files(Protocol):
    """Blocking file operations on paths."""

    def make_folder(self, path: str) -> None:
        """Make the folder `path` if there is none."""

    def names(self, folder: str) -> list[str]:
        """Return the names in `folder`."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def read_part(self, path: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file from `offset` on."""

    def append(self, path: str, data: bytes) -> None:
        """Add `data` at the end of a file, made if there is none."""

    def write(self, path: str, data: bytes) -> None:
        """Make a file of `data`, replacing what has its name, and sync it."""

    def truncate(self, path: str, size: int) -> None:
        """Cut a file to `size` bytes, and sync it."""

    def sync(self, path: str) -> None:
        """Make the content of a file last."""

    def sync_folder(self, path: str) -> None:
        """Make the names in a folder last."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what has it."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def close(self) -> None:
        """Close all open files."""


class DiskFiles:
    """The operating system's files; keeps the one last appended to open."""

    def __init__(self) -> None:
        self._path = ""
        self._descriptor = -1

    def make_folder(self, path: str) -> None:
        """Make the folder `path` if there is none."""
        os.makedirs(path, exist_ok=True)

    def names(self, folder: str) -> list[str]:
        """Return the names in `folder`."""
        return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def read_part(self, path: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file from `offset` on."""
        with open(path, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, path: str, data: bytes) -> None:
        """Add `data` at the end of a file, made if there is none."""
        self._open(path)
        left = memoryview(data)
        while left:
            left = left[os.write(self._descriptor, left) :]

    def write(self, path: str, data: bytes) -> None:
        """Make a file of `data`, replacing what has its name, and sync it."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def truncate(self, path: str, size: int) -> None:
        """Cut a file to `size` bytes, and sync it."""
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def sync(self, path: str) -> None:
        """Make the content of a file last."""
        self._open(path)
        os.fdatasync(self._descriptor)

    def sync_folder(self, path: str) -> None:
        """Make the names in a folder last."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what has it."""
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
