"""A stand-in engine: announces itself, reads requests, and answers as a case says."""

import dataclasses
import socket
import threading
import time
import uuid
from collections.abc import Callable

import deployment

_ANNOUNCE_SECONDS = 1.2


@dataclasses.dataclass
class Received:
    """A request that an engine has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """The id of the client attempt."""
        return self.headers.get("x-attempt-id", "")


# Answers a request on its channel; returns whether the channel stays open.
Answer = Callable[["Engine", socket.socket, Received], bool]


def head(received: Received, status: str, *lines: str) -> bytes:
    """Return the head of an engine's answer."""
    fixed = [
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {received.attempt_id}",
        f"X-Server-Stamp: s.{received.attempt_id}",
    ]
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


class Engine:
    """One engine of a service."""

    def __init__(
        self,
        deployed: deployment.Deployment,
        number: int,
        service: str,
        answer: Answer,
        n_slots: int = 12,
    ) -> None:
        self.name = f"i-{uuid.uuid4().hex[:8]}"
        self.record = deployed.record
        self._deployed = deployed
        self._service = service
        self._answer = answer
        self._n_slots = n_slots
        self._zone = deployment.ZONES[number % 3]
        self._listener = socket.create_server((deployed.engine_ip(number), 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.is_acknowledged = threading.Event()

    def start(self) -> "Engine":
        """Start to serve and to announce."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()
        return self

    def _announce(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            document = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._n_slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": sequence,
            }
            path = f"/api/instances/{self.name}/heartbeat"
            if self._deployed.call_control("POST", path, document) == 200:
                self.is_acknowledged.set()
                time.sleep(_ANNOUNCE_SECONDS)
            else:
                time.sleep(0.2)

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        try:
            while True:
                received = _read(file)
                if received is None or not self._handle(connection, received):
                    return
        except OSError:
            return
        finally:
            file.close()
            connection.close()

    def _handle(self, connection: socket.socket, received: Received) -> bool:
        expected = received.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            connection.sendall(head(received, "421 Misdirected", "Content-Length: 0"))
            return True
        return self._answer(self, connection, received)


def _read(file: object) -> Received | None:
    """Return the next request on a channel; None at its end."""
    line = file.readline()  # type: ignore[attr-defined]
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while True:
        line = file.readline()  # type: ignore[attr-defined]
        if not line:
            return None
        if line == b"\r\n":
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = file.read(int(headers["content-length"]))  # type: ignore[attr-defined]
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = _read_chunks(file)
    return Received(method, target, headers, body)


def _read_chunks(file: object) -> bytes:
    parts = []
    while True:
        size = int(file.readline().split(b";")[0], 16)  # type: ignore[attr-defined]
        part = file.read(size)  # type: ignore[attr-defined]
        file.readline()  # type: ignore[attr-defined]
        if not size:
            return b"".join(parts)
        parts.append(part)


def start_engines(
    deployed: deployment.Deployment, n_engines: int, answer: Answer
) -> list[Engine]:
    """Start engines of `findings-app`, and wait until all are known to the system."""
    started = [
        Engine(deployed, n, "findings-app", answer).start() for n in range(n_engines)
    ]
    for engine in started:
        if not engine.is_acknowledged.wait(15):
            raise deployment.CouldNotRunError("an engine was not acknowledged")
    # The frontend machines learn of the engines within a second.
    time.sleep(1.5)
    return started
