"""Channels of clients are reset while their requests are being sent.

Clients send the head of a request in two parts, half a second apart; the limit for it
is `header_timeout_ms`, 3 s. At one of three frontend machines, about half of the
channels are reset between the two parts. No engine may run what such a client sent: it
is no request yet.
"""

import pathlib
import socket
import struct
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import deployment
import engines

# The limit of the site for `reset_conns`: a share of 0.35 of the machines, and 0.55 of
# their channels. Here it is one of three machines, and 11 of its 20 channels.
N_CHANNELS = 20
N_RESET = 11
PAUSE_SECONDS = 0.5
BODY = b"finding" * 80


class Case:
    """The requests that clients sent whole, and those that engines ran."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent_whole_by_id: dict[str, tuple[str, bytes]] = {}
        self._cut_ids: set[str] = set()
        self._runs: list[engines.Received] = []
        self._n_answered = 0

    def run(self, deployed: deployment.Deployment) -> bool:
        """Return whether the rule was broken."""
        engines.start_engines(deployed, 3, self._answer)
        deployed.configure(
            deployment.configuration(
                deployment.route("once", "non_idempotent", max_attempts=1),
                deployment.route("lookup", "idempotent"),
            )
        )
        deployed.wait_until_ready()
        time.sleep(1.0)
        self._send_all(deployed)
        time.sleep(2.0)
        return self._judge(deployed.record)

    def _answer(
        self,
        engine: engines.Engine,
        connection: socket.socket,
        received: engines.Received,
    ) -> bool:
        with self._lock:
            self._runs.append(received)
        engine.record.write(
            f"run {received.attempt_id} at {engine.name}: {received.method} "
            f"{received.target}, {len(received.body)} bytes"
        )
        time.sleep(0.025)
        body = received.attempt_id.encode()
        length = f"Content-Length: {len(body)}"
        connection.sendall(engines.head(received, "200 OK", length) + body)
        return True

    def _send_all(self, deployed: deployment.Deployment) -> None:
        threads = []
        for number, name in enumerate(deployed.names_of("frontend")):
            for n in range(N_CHANNELS):
                is_reset = deployment.has_trouble() and number == 0 and n < N_RESET
                path = "/once/book" if n % 2 else "/lookup/find"
                arguments = (deployed, deployed.ip_of(name), path, is_reset)
                threads.append(threading.Thread(target=self._send, args=arguments))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(
        self, deployed: deployment.Deployment, ip: str, path: str, is_reset: bool
    ) -> None:
        attempt_id = uuid.uuid4().hex[:16]
        first = (
            f"POST {path} HTTP/1.1\r\nHost: {deployment.HOST}\r\n"
            f"X-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: 2000\r\n"
        )
        second = (
            f"Content-Type: text/plain\r\nContent-Length: {len(BODY)}\r\n"
            "Connection: close\r\n\r\n"
        )
        with socket.create_connection((ip, deployment.CLIENT_PORT), 5.0) as channel:
            channel.settimeout(5.0)
            channel.sendall(first.encode())
            time.sleep(PAUSE_SECONDS)
            if is_reset:
                with self._lock:
                    self._cut_ids.add(attempt_id)
                deployed.record.write(f"reset {attempt_id} to {ip}{path} in its head")
                linger = struct.pack("ii", 1, 0)
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            with self._lock:
                self._sent_whole_by_id[attempt_id] = (path, BODY)
            channel.sendall(second.encode() + BODY)
            answer = channel.makefile("rb").read()
        status = answer.split(b" ", 2)[1:2]
        deployed.record.write(f"sent {attempt_id} to {ip}{path}: answer {status}")
        with self._lock:
            self._n_answered += status == [b"200"]

    def _judge(self, record: deployment.Record) -> bool:
        whole = self._sent_whole_by_id
        if self._n_answered < len(whole) * 0.9:
            raise deployment.CouldNotRunError("the requests sent whole were not served")
        unasked = [
            each
            for each in self._runs
            if whole.get(each.attempt_id) != (each.target, each.body)
        ]
        for each in unasked:
            kind = "reset in its head" if each.attempt_id in self._cut_ids else "other"
            record.write(
                f"UNASKED: {each.attempt_id} ({kind}) ran as {each.target} with "
                f"{len(each.body)} bytes"
            )
        n_once = sum(each.target.startswith("/once/") for each in unasked)
        text = (
            f"{len(self._cut_ids)} requests reset in their heads, {len(whole)} sent "
            f"whole; {len(unasked)} runs that nobody sent, {n_once} of them on the "
            "non_idempotent route"
        )
        record.write(text)
        print(text)
        return bool(unasked)


if __name__ == "__main__":
    deployment.run(Case().run, FOLDER)
