"""Channels of clients are reset while their requests are being sent.

Clients send the head of a request in two parts, half a second apart; the limit for it
is `header_timeout_ms`, 3 s. They reach each frontend machine over a link, and the link
of one of the three resets about half of its channels between the two parts. No engine
may run what such a client has sent by then: it is no request yet.
"""

import pathlib
import socket
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import deployment
import engines
import links

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
        # Channels that are to be reset, by the id of the request on them.
        self._client_by_id: dict[str, tuple[str, int]] = {}
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
        network_links = []
        for number, name in enumerate(deployed.names_of("frontend")):
            address = (deployed.ip_of(name), deployment.CLIENT_PORT)
            link = links.Link(deployed.engine_ip(50 + number), address)
            network_links.append(link)
            for n in range(N_CHANNELS):
                is_reset = number == 0 and n < N_RESET
                path = "/once/book" if n % 2 else "/lookup/find"
                arguments = (deployed.record, link.address, path, is_reset)
                threads.append(threading.Thread(target=self._send, args=arguments))
        for thread in threads:
            thread.start()
        time.sleep(PAUSE_SECONDS / 2)
        if deployment.has_trouble():
            self._reset(network_links[0], deployed.record)
        for thread in threads:
            thread.join()

    def _reset(self, link: links.Link, record: deployment.Record) -> None:
        for attempt_id, client in self._client_by_id.items():
            if not link.reset(client):
                raise deployment.CouldNotRunError("a channel to reset wasn't there")
            record.write(f"the link resets the channel of {attempt_id}")
            self._cut_ids.add(attempt_id)

    def _send(
        self,
        record: deployment.Record,
        address: tuple[str, int],
        path: str,
        is_reset: bool,
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
        answer = b""
        with socket.create_connection(address, 5.0) as channel:
            channel.settimeout(5.0)
            if is_reset:
                with self._lock:
                    self._client_by_id[attempt_id] = channel.getsockname()
            channel.sendall(first.encode())
            time.sleep(PAUSE_SECONDS)
            try:
                channel.sendall(second.encode() + BODY)
                if attempt_id not in self._cut_ids:
                    with self._lock:
                        self._sent_whole_by_id[attempt_id] = (path, BODY)
                answer = channel.makefile("rb").read()
            except OSError as error:
                record.write(f"sent a part of {attempt_id} to {path}: {error!r}")
                return
        status = answer.split(b" ", 2)[1:2]
        record.write(f"sent {attempt_id} to {path}: answer {status}")
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
