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
# The plain service's requests take a third of their target latency. So a request is
# hedged, after half of the target, only where the server is slow.
TARGET_MS = 600
WORK_MS = 200
N_WARM_UP = 40
N_SLOW_PHASE = 20
A_FEW = 3


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


def _ask(address: str, attempt_id: str, work_ms: int, record: harness.Record) -> None:
    headers = harness.client_headers(attempt_id, 4.0)
    answer = harness.call(address, "POST", f"/desk/{work_ms}", headers, b"hi", 4.0)
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
        routes = [
            harness.route("/desk/", SERVICE, "idempotent", 10_000, slo_ms=TARGET_MS)
        ]
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
        for n in range(N_WARM_UP):
            _ask(gateway, f"early-{n}", 5, record)
        time.sleep(2)
        if harness.has_trouble():
            # One of the three servers turns slow for some seconds.
            servers[0].factor = 4.0
            record.add(f"trouble: {servers[0].name} is 4 times slower")
        for n in range(N_SLOW_PHASE):
            _ask(gateway, f"steady-{n}", WORK_MS, record)
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
    n_begun = n_reached_late = n_at_work = 0
    for attempt_id, closed_at in closed.items():
        begun = [s.begun_at[attempt_id] for s in servers if attempt_id in s.begun_at]
        ends = [s.ended_at[attempt_id][0] for s in servers if attempt_id in s.ended_at]
        n_begun += bool(begun)
        n_reached_late += any(each > closed_at + 0.5 for each in begun)
        n_at_work += any(each > closed_at + 0.5 for each in ends)
    record.add(
        f"{n_at_work} of {n_begun} requests were still worked on half a second after "
        f"their clients had left, {n_reached_late} reached another server after that"
    )
    if n_begun < N_LEAVING // 2:
        raise harness.UnusableError("too few requests reached a server")
    # "more than a few requests reach an engine over half a second later; or engines are
    # still at work half a second later on more than a quarter".
    return n_reached_late <= A_FEW and n_at_work <= n_begun / 4


if __name__ == "__main__":
    harness.run_case(__file__, main)
