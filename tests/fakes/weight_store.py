"""A fake weight store that keeps versions by model and limits the rate of reads.

``PUT /weights/{model}/{version}`` stores a version. ``GET`` of the same path returns
it, or 429 with Retry-After if there were too many reads within the last second.
"""

import argparse
import os
import time

from bilberrydrum import runtime

runtime.prepare()

from tests.fakes import journal, server


class WeightStore:
    """The store; version 0 of every model is always available."""

    def __init__(self, rate: float, n_bytes: int, path: str) -> None:
        self._rate = rate
        self._n_bytes = n_bytes
        self._stored: set[tuple[str, int]] = set()
        self._allowance = rate
        self._last = time.monotonic()
        self._journal = journal.Journal(path)

    def put(self, request: server.Request) -> server.Answer:
        """Store a version; this is idempotent."""
        key = (request.parts["model"], int(request.parts["version"]))
        self._stored.add(key)
        return server.Answer(value={"weight_version": key[1]})

    def get(self, request: server.Request) -> server.Answer:
        """Return a version's weights."""
        key = (request.parts["model"], int(request.parts["version"]))
        if key[1] != 0 and key not in self._stored:
            return server.Answer(404, {"error": "no such version"})
        if not self._allow():
            self._journal.write("refused", model=key[0], weight_version=key[1])
            return server.Answer(
                429, {"error": "over the rate"}, headers=(("Retry-After", "1"),)
            )
        self._journal.write("sent", model=key[0], weight_version=key[1])
        return server.Answer(data=os.urandom(16) * (self._n_bytes // 16))

    def _allow(self) -> bool:
        """Take one read from a token bucket that holds at most one second's reads."""
        now = time.monotonic()
        grown = self._allowance + (now - self._last) * self._rate
        self._allowance = min(max(1.0, self._rate), grown)
        self._last = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True


def main() -> None:
    """Run the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rate", type=float, default=8.0, help="per second")
    parser.add_argument("--bytes", type=int, default=256 * 1024)
    parser.add_argument("--journal", default="")
    options = parser.parse_args()
    store = WeightStore(options.rate, options.bytes, options.journal)
    serving = server.Server()
    serving.add("PUT", "/weights/{model}/{version}", store.put)
    serving.add("GET", "/weights/{model}/{version}", store.get)
    serving.serve(options.port)


if __name__ == "__main__":
    main()
