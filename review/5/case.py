"""An engine breaks off some of its answers within the head.

The engine sends its status, `X-Attempt-Id` and `X-Server-Stamp`, and its channel ends
in order before the rest of the head, so that there is neither a length nor a body. No
client may get such an answer as a success.
"""

import collections
import http.client
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

# The limit of the site for `garble`: a share of 0.35 of the engines, 0.02 of their
# answers, for 5.5 s; it may come more than once. Here it is one of three engines, each
# 50th of its answers, and four times.
BREAK_EACH = 50
TROUBLE_SECONDS = 5.5
CALM_SECONDS = 1.5
N_TROUBLES = 4
N_CLIENTS = 12
PAUSE_SECONDS = 0.1


class Case:
    """The bodies that engines made, and the answers that clients got."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faulty: engines.Engine | None = None
        self._n_answers_of_faulty = 0
        self._is_troubled = False
        self._broken_ids: set[str] = set()
        self._statuses: collections.Counter[int] = collections.Counter()
        self._wrong: list[tuple[str, int, int]] = []

    def run(self, deployed: deployment.Deployment) -> bool:
        """Return whether the rule was broken."""
        self._faulty = engines.start_engines(deployed, 3, self._answer)[0]
        deployed.configure(
            deployment.configuration(
                deployment.route("once", "non_idempotent", max_attempts=1),
                deployment.route("lookup", "idempotent"),
            )
        )
        deployed.wait_until_ready()
        time.sleep(1.0)
        stop = threading.Event()
        threads = [
            threading.Thread(target=self._ask_until, args=(stop, deployed, n))
            for n in range(N_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for _ in range(N_TROUBLES):
            self._is_troubled = deployment.has_trouble()
            time.sleep(TROUBLE_SECONDS)
            self._is_troubled = False
            time.sleep(CALM_SECONDS)
        stop.set()
        for thread in threads:
            thread.join()
        return self._judge(deployed.record)

    def _answer(
        self,
        engine: engines.Engine,
        connection: socket.socket,
        received: engines.Received,
    ) -> bool:
        time.sleep(0.01)
        body = body_of(received.attempt_id)
        lines = ("Content-Type: text/plain", f"Content-Length: {len(body)}")
        if self._breaks_off(engine):
            engine.record.write(f"break {received.attempt_id} off in its head")
            with self._lock:
                self._broken_ids.add(received.attempt_id)
            # All up to the stamp, and nothing after it. The channel ends in order.
            head = engines.head(received, "200 OK", *lines)
            connection.sendall(head[: head.index(b"Content-Type")])
            connection.shutdown(socket.SHUT_WR)
            time.sleep(0.05)
            return False
        connection.sendall(engines.head(received, "200 OK", *lines) + body)
        return True

    def _breaks_off(self, engine: engines.Engine) -> bool:
        if engine is not self._faulty or not self._is_troubled:
            return False
        with self._lock:
            self._n_answers_of_faulty += 1
            return self._n_answers_of_faulty % BREAK_EACH == 0

    def _ask_until(
        self, stop: threading.Event, deployed: deployment.Deployment, number: int
    ) -> None:
        names = deployed.names_of("frontend")
        ip = deployed.ip_of(names[number % len(names)])
        path = "/once/book" if number % 2 else "/lookup/find"
        while not stop.is_set():
            self._ask(deployed, ip, path)
            time.sleep(PAUSE_SECONDS)

    def _ask(self, deployed: deployment.Deployment, ip: str, path: str) -> None:
        attempt_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": deployment.HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "2000",
        }
        connection = http.client.HTTPConnection(ip, deployment.CLIENT_PORT, timeout=4.0)
        status, body, stamp = 0, b"", ""
        try:
            connection.request("POST", path, b"finding" * 80, headers)
            answer = connection.getresponse()
            body = answer.read()
            status, stamp = answer.status, answer.getheader("X-Server-Stamp", "")
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        is_wrong = status // 100 == 2 and (not stamp or body != body_of(attempt_id))
        note = " MIXED" if is_wrong else ""
        deployed.record.write(
            f"sent {attempt_id} {path}: {status}, stamp {stamp!r}, {len(body)} bytes"
            f"{note}"
        )
        with self._lock:
            self._statuses[status] += 1
            if is_wrong:
                self._wrong.append((attempt_id, status, len(body)))

    def _judge(self, record: deployment.Record) -> bool:
        n_asked = self._statuses.total()
        if self._statuses[200] < 0.9 * n_asked:
            raise deployment.CouldNotRunError(f"not served: {dict(self._statuses)}")
        if deployment.has_trouble() and not self._broken_ids:
            raise deployment.CouldNotRunError("no answer was broken off")
        text = (
            f"{n_asked} requests, {dict(self._statuses)}; {len(self._broken_ids)} "
            f"answers broken off in their heads; {len(self._wrong)} successes without "
            "the engine's whole body"
        )
        record.write(text)
        print(text)
        return bool(self._wrong)


def body_of(attempt_id: str) -> bytes:
    """Return the whole body of the engines' answer to a request."""
    return b"record of " + attempt_id.encode() + b" " + b"." * 800


if __name__ == "__main__":
    deployment.run(Case().run, FOLDER)
