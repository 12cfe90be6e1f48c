"""Clients leave while a gateway no longer watches for that (rule GONE)."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

SERVICE = "desk-app"
# Length of the requests whose clients leave, and when they do.
LONG_MS = 4000
LEAVE_SECONDS = 0.6
N_LEAVING = 12
N_SLOW_PHASE = 24


def _leave(address: str, attempt_id: str, record: harness.Record) -> float:
    """Send a request, close its channel before the answer; return when it closed."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        lines = [f"POST /desk/{LONG_MS} HTTP/1.1", "Content-Length: 2"]
        headers = harness.client_headers(attempt_id, 9.0)
        lines += [f"{name}: {value}" for name, value in headers.items()]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\nhi")
        time.sleep(LEAVE_SECONDS)
    closed_at = record.now()
    record.add(f"client left {attempt_id}")
    return closed_at


def _ask(address: str, attempt_id: str, record: harness.Record) -> None:
    headers = harness.client_headers(attempt_id, 4.0)
    answer = harness.call(address, "POST", "/desk/150", headers, b"hi", 4.0)
    record.add(f"client got {answer.status} for {attempt_id} {answer.error}")


def main(record: harness.Record) -> bool:
    """Return whether the rule held."""
    deployment = harness.Deployment(record, n_controls=3, n_stores=0, n_gateways=1)
    servers = [
        harness.Server(deployment, f"i-{n}", SERVICE, n + 1, slots=24) for n in range(3)
    ]
    try:
        deployment.start_all()
        for server in servers:
            server.start()
        routes = [harness.route("/desk/", SERVICE, "idempotent", 10_000)]
        services = [harness.plain_service(SERVICE)]
        document = harness.configuration(1, routes, services)
        target = "/api/config/replace"
        if harness.order(deployment, "POST", target, document, 20).status != 200:
            raise harness.UnusableError("no configuration was accepted")
        gateway = deployment.gateways()[0]

        def is_served() -> bool:
            headers = harness.client_headers("probe", 2.0)
            return harness.call(gateway, "POST", "/desk/5", headers, b"x").status == 200

        harness.wait_until("a served request", is_served, 15)
        time.sleep(2)
        if harness.has_trouble():
            # One of the three servers turns slow for some seconds.
            servers[0].factor = 4.0
            record.add(f"trouble: {servers[0].name} is 4 times slower")
        for n in range(N_SLOW_PHASE):
            _ask(gateway, f"steady-{n}", record)
            time.sleep(0.05)
        servers[0].factor = 1.0
        record.add(f"{servers[0].name} works as usual")
        # Longer than `contact_ms`: whatever was impaired is calm.
        time.sleep(5)
        closed: dict[str, float] = {}

        def leave(attempt_id: str) -> None:
            closed[attempt_id] = _leave(gateway, attempt_id, record)

        threads = [
            threading.Thread(target=leave, args=(f"leaving-{n}",))
            for n in range(N_LEAVING)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(LONG_MS / 1000 + 2)
        return _judge(servers, closed, record)
    finally:
        deployment.stop_all()


def _judge(
    servers: list[harness.Server], closed: dict[str, float], record: harness.Record
) -> bool:
    n_begun = n_late = 0
    for attempt_id, closed_at in closed.items():
        ends = [
            server.ended_at[attempt_id][0]
            for server in servers
            if attempt_id in server.ended_at
        ]
        if not ends:
            continue
        n_begun += 1
        n_late += max(ends) > closed_at + 0.5
    record.add(
        f"{n_late} of {n_begun} requests were still worked on half a second after "
        "their clients had left"
    )
    if n_begun < N_LEAVING // 2:
        raise harness.UnusableError("too few requests reached a server")
    return n_late <= n_begun / 4


if __name__ == "__main__":
    harness.run_case(__file__, main)
