"""Run many minimal engines in one process, which only carry out orders.

Each engine listens on its own loopback port. A load takes a fixed time and counts
against the weight store's rate, which all engines share; a swap takes a random time
between 0.5 and 1.5 times the given one. ``GET /report`` at the control address returns
the state of every engine. If gateways are given, each engine announces itself and
renews its lease through a randomly chosen gateway each time, as through a load
balancer.
"""

import argparse
import json
import random
import time

from bilberrydrum import runtime

runtime.prepare()

import eventlet
import urllib3

RETRY_AFTER_SECONDS = 1
RENEW_SECONDS = 0.5
POOL = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False, timeout=5.0)
PHRASES_BY_STATUS = {200: "OK", 409: "Conflict", 429: "Too Many", 500: "Error"}


class Store:
    """Limits loads to the weight store's rate, with a burst of one second's loads."""

    def __init__(self, rate):
        self.rate = rate
        self._allowance = rate
        self._at = time.monotonic()
        self.n_refused = 0

    def allows(self):
        now = time.monotonic()
        grown = self._allowance + (now - self._at) * self.rate
        self._allowance, self._at = min(self.rate, grown), now
        if self._allowance < 1:
            self.n_refused += 1
            return False
        self._allowance -= 1
        return True


class Engine:
    """One engine's weight versions and injected faults."""

    def __init__(self, engine_id, fleet):
        self.engine_id = engine_id
        self.fleet = fleet
        self.version = 0
        self.loaded = {0}
        self.swapped_at = {}
        self.is_swapping = False
        self.n_swap_faults = 0
        self.address = ""

    def renewal(self):
        served = {
            "weight_version": self.version,
            "loaded_versions": sorted(self.loaded),
        }
        return {"models": {"planner": served}}

    def announcement(self):
        return {
            "kind": "engine",
            "address": self.address,
            "availability_zone": "surquillo",
            "checks_fencing": True,
            **self.renewal(),
        }

    def carry_out(self, order):
        version = order["weight_version"]
        kind = order["kind"]
        if kind == "load":
            if not self.fleet.store.allows():
                return 429
            eventlet.sleep(self.fleet.load_seconds)
            self.loaded.add(version)
        elif kind == "swap":
            return self._swap(version)
        elif kind == "unload":
            self.loaded.discard(version)
        return 200

    def _swap(self, version):
        self.is_swapping = True
        self.fleet.begin_swap()
        try:
            seconds = self.fleet.swap_seconds
            eventlet.sleep(seconds * self.fleet.random.uniform(0.5, 1.5))
            if self.n_swap_faults:
                self.n_swap_faults -= 1
                return 500
            if version not in self.loaded:
                return 409
            self.version = version
            self.swapped_at[version] = time.monotonic()
            return 200
        finally:
            self.is_swapping = False
            self.fleet.n_swapping -= 1


class Fleet:
    """All engines of the process."""

    def __init__(self, options):
        self.store = Store(options.store_rate)
        self.load_seconds = options.load_seconds
        self.swap_seconds = options.swap_seconds
        self.random = random.Random(options.seed)
        self.n_swapping = 0
        self.n_swapping_max = 0
        self.n_orders = 0
        self.engines = [Engine(f"e{i:04}", self) for i in range(options.engines)]
        for engine in self.engines:
            listener = eventlet.listen(("127.0.0.1", 0), backlog=16)
            engine.address = f"127.0.0.1:{listener.getsockname()[1]}"
            eventlet.spawn_n(accept, listener, self.answer_to(engine))

    def announce_through(self, gateways):
        for engine in self.engines:
            eventlet.spawn_n(announce, engine, gateways, self.random)

    def begin_swap(self):
        self.n_swapping += 1
        self.n_swapping_max = max(self.n_swapping_max, self.n_swapping)

    def answer_to(self, engine):
        def answer(path, body):
            self.n_orders += 1
            return engine.carry_out(json.loads(body)), {}

        return answer

    def control(self, path, body):
        if path == "/faults":
            fields = json.loads(body)
            for engine in self.random.sample(self.engines, fields["n_swaps"]):
                engine.n_swap_faults = 1
            self.n_swapping_max = 0
        if path == "/report":
            return 200, self.report()
        return 200, {}

    def report(self):
        return {
            "n_orders": self.n_orders,
            "n_swapping_max": self.n_swapping_max,
            "n_refused": self.store.n_refused,
            "engines": [
                [
                    engine.engine_id,
                    engine.address,
                    engine.version,
                    sorted(engine.loaded),
                    engine.swapped_at.get(engine.version, 0.0),
                ]
                for engine in self.engines
            ],
        }


def announce(engine, gateways, random_):
    """Announce an engine and renew its lease, without end."""
    is_known = False
    eventlet.sleep(random_.uniform(0, RENEW_SECONDS))
    while True:
        path = f"/v1/upstreams/{engine.engine_id}"
        method, fields = "PUT", engine.announcement()
        if is_known:
            method, path, fields = "POST", path + "/renew", engine.renewal()
        try:
            answer = POOL.request(
                method,
                f"http://{random_.choice(gateways)}{path}",
                body=json.dumps(fields),
            )
            is_known = answer.status == 200 or (is_known and answer.status == 503)
        except urllib3.exceptions.HTTPError:
            pass
        eventlet.sleep(RENEW_SECONDS)


def accept(listener, answer):
    while True:
        connection, _ = listener.accept()
        eventlet.spawn_n(serve, connection, answer)


def serve(connection, answer):
    """Answer one request and close the connection."""
    try:
        data = b""
        while b"\r\n\r\n" not in data:
            data += receive(connection)
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        while len(body) < length:
            body += receive(connection)
        status, value = answer(head.split(b" ")[1].decode(), body)
        payload = json.dumps(value).encode()
        retry = f"Retry-After: {RETRY_AFTER_SECONDS}\r\n" if status == 429 else ""
        lines = (
            f"HTTP/1.1 {status} {PHRASES_BY_STATUS[status]}\r\n{retry}"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        connection.sendall(lines.encode() + payload)
    except OSError:
        pass
    finally:
        connection.close()


def receive(connection):
    data = connection.recv(65536)
    if not data:
        raise ConnectionResetError
    return data


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True, help="control port")
    parser.add_argument("--engines", type=int, required=True)
    parser.add_argument("--swap-seconds", type=float, required=True)
    parser.add_argument("--load-seconds", type=float, required=True)
    parser.add_argument(
        "--store-rate", type=float, required=True, help="loads a second"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateway", action="append", default=[], help="IP:port")
    options = parser.parse_args()
    fleet = Fleet(options)
    if options.gateway:
        fleet.announce_through(options.gateway)
    accept(eventlet.listen(("127.0.0.1", options.port)), fleet.control)


if __name__ == "__main__":
    main()
