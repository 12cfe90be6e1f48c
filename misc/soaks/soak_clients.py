"""Clients of a soak: look-ups, once-only requests, trainer, operator and readers.

Clients for single requests keep a connection open until a request on it fails, and then
choose a process again. All clients record in the ledger what they sent and received.
"""

import collections
import http.client
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import eventlet
from bilberrydrum_platform import standins

from bilberrydrum import clock
from bilberrydrum.batches import model as batch_model
from misc.soaks import soak_accounts, soak_ledger, soak_runs

HOST: Final = "soak.example"
MODEL: Final = "m"
REQUEST_SECONDS: Final = 2.0
READ_PAUSE_SECONDS: Final = 0.3
STEP_SECONDS: Final = 8.0
GROUPS: Final = 4
GROUP_ITEMS: Final = 4
WANTED_GROUPS: Final = 3
# Share of the batches that are ended only after the next batch, which contains some of
# the same items, has been accepted.
OVERLAP_SHARE: Final = 0.3
# How long the trainer waits for the wanted groups of a batch before it ends the batch.
# In a share of the steps the wait is so short that nearly all items are still running.
WAIT_SECONDS: Final = (2.0, 5.0)
SHORT_WAIT_SECONDS: Final = (0.2, 1.0)
SHORT_WAIT_SHARE: Final = 0.5
# Incomplete groups that are submitted again with the next batch.
RESUBMITTED_GROUPS: Final = 2
# Shape of items that are still running when their batch ends: at 5 s they last two
# seconds longer than `soak_ledger.MAX_DELAY_SECONDS`, the time in which the end of a
# batch must take effect.
LONG_SHAPE: Final = soak_runs.Shape(50, 0.1)


Items = tuple[batch_model.Item, ...]


@attrs.frozen
class Answer:
    """An HTTP answer; status 0 means that none was received."""

    status: int = 0
    body: bytes = b""
    stamp: str = ""
    closes_connection: bool = False


NO_ANSWER: Final = Answer()


def send(
    connection: http.client.HTTPConnection, call: standins.Call, seconds: float
) -> Answer:
    """Send a call on a connection and return the answer."""
    with eventlet.Timeout(seconds, False):
        try:
            connection.request(call.method, call.target, call.body, call.headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            return NO_ANSWER
        closes = answer.getheader("Connection", "").lower() == "close"
        stamp = answer.getheader(standins.STAMP_HEADER, "")
        return Answer(answer.status, body, stamp, closes)
    return NO_ANSWER


def send_once(
    address: str, call: standins.Call, seconds: float = REQUEST_SECONDS
) -> Answer:
    """Send a call on a new connection and return the answer."""
    connection = http.client.HTTPConnection(address)
    try:
        return send(connection, call, seconds)
    finally:
        connection.close()


class Clients:
    """All clients of one run."""

    def __init__(
        self,
        ledger: soak_ledger.Ledger,
        seed: int,
        gateways: Sequence[str],
        controls: Sequence[str],
    ) -> None:
        self._ledger = ledger
        self._rng = random.Random(seed)
        # Separate from `_rng`, so that the trainer's steps do not depend on how many
        # values the other clients have drawn.
        self._trainer_rng = random.Random(f"{seed} trainer")
        self._gateways = gateways
        self._controls = controls
        # Counted per kind: the shapes of a batch's items are drawn from its id, which
        # must not depend on how many single requests were sent before.
        self._n_ids_by_kind: collections.Counter[str] = collections.Counter()
        self._policy_number = itertools.count(1)
        self._prefix = f"s{seed}"
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start all clients."""
        tasks: list[Callable[[], None]] = [self._submit_policies, self._read_policies]
        tasks += [self._train, self._reread, self._reread, self._send_crashing]
        tasks += [self._look_up] * 3 + [self._send_once_only] * 2
        self._tasks = [eventlet.spawn(each) for each in tasks]

    def stop(self) -> None:
        """Stop all clients."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def _headers(self, request_id: str, key: str) -> dict[str, str]:
        """Record a request as sent with `key` and return its headers."""
        self._ledger.accounts.record_sent(request_id, key, clock.now())
        return standins.request_headers(HOST, request_id, REQUEST_SECONDS, key)

    def _new_id(self, kind: str) -> str:
        self._n_ids_by_kind[kind] += 1
        return f"{self._prefix}-{kind}-{self._n_ids_by_kind[kind]}"

    # Control processes

    def send_to_control(self, call: standins.Call) -> bool:
        """Send a call to one control process after the other until one accepts it."""
        for address in self._shuffled(self._controls):
            if send_once(address, call, 1.0).status // 100 == 2:
                return True
        return False

    def _shuffled(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(list(addresses), len(addresses))

    def submit_policy(self) -> bool:
        """Submit the next policy; return whether a control process has accepted it."""
        version = next(self._policy_number) * 3
        policy = standins.Policy(
            version,
            HOST,
            (
                standins.PlainRoute("look-ups", "/look-up/", "apps", True),
                standins.PlainRoute("once", "/once/", "apps", False),
                standins.PlainRoute("extra", f"/extra-{version}/", "apps", True),
            ),
            (standins.BatchRoute("batches", "/batches/", "engines"),),
            {"apps": (), "engines": (MODEL,)},
            soak_accounts.accounts_of(version),
        )
        if not self.send_to_control(standins.submit_policy(policy)):
            return False
        self._ledger.record_policy(version)
        self._ledger.accounts.record_accounts(policy.accounts, clock.now())
        return True

    def _submit_policies(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(0.5, 2.5))
            self.submit_policy()

    def read_policy(self) -> bool:
        """Read the policy from a random control process; return whether it answered."""
        before = self._ledger.policy_version
        answer = send_once(self._rng.choice(self._controls), standins.READ_POLICY)
        if answer.status != 200:
            return False
        self._ledger.record_policy_read(standins.policy_version(answer.body), before)
        return True

    def _read_policies(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(0.1, 0.6))
            self.read_policy()

    # Single requests

    def _look_up(self) -> None:
        while True:
            self._use_connection("look-up")

    def _send_once_only(self) -> None:
        while True:
            self._use_connection("once")

    def _use_connection(self, kind: str) -> None:
        """Send requests to one gateway on one connection until a request fails."""
        connection = http.client.HTTPConnection(self._rng.choice(self._gateways))
        try:
            while self._send_single(connection, kind):
                eventlet.sleep(self._rng.uniform(0.02, 0.15))
        finally:
            connection.close()
        eventlet.sleep(0.1)

    def _send_single(self, connection: http.client.HTTPConnection, kind: str) -> bool:
        request_id = self._new_id(kind)
        key = self._ledger.accounts.choose_key(self._rng)
        headers = self._headers(request_id, key)
        call = standins.Call("POST", f"/{kind}/x", headers, b"body")
        answer = send(connection, call, REQUEST_SECONDS + 0.5)
        self._ledger.record_answer(request_id, answer.status, answer.body, answer.stamp)
        if kind == "once":
            self._ledger.record_once_only_answer(request_id, answer.status)
        return bool(answer.status) and not answer.closes_connection

    def _send_crashing(self) -> None:
        while True:
            self.send_crashing()
            eventlet.sleep(self._rng.uniform(0.5, 2.0))

    def send_crashing(self) -> None:
        """Send a crash-causing request to each gateway in turn."""
        for gateway in self._shuffled(self._gateways):
            request_id = self._new_id("crashing")
            headers = self._headers(request_id, soak_accounts.DESK_KEY)
            body = soak_ledger.CRASHING_BODY
            call = standins.Call("POST", "/look-up/x", headers, body)
            status = send_once(gateway, call).status
            self._ledger.counts[f"crashing {status}"] += 1

    def look_up_at(self, gateway: str) -> bool:
        """Return whether a gateway serves a look-up."""
        connection = http.client.HTTPConnection(gateway)
        request_id = self._new_id("look-up")
        headers = self._headers(request_id, soak_accounts.DESK_KEY)
        call = standins.Call("POST", "/look-up/x", headers, b"body")
        try:
            return send(connection, call, REQUEST_SECONDS).status == 200
        finally:
            connection.close()

    # Batches

    def _train(self) -> None:
        resubmitted: Items = ()
        open_ids: list[str] = []
        for step in itertools.count(1):
            version = self._ledger.announced_by_model.get(MODEL, 1)
            batch = self._batch(step, max(version - 1, 1), resubmitted)
            if self.submit(batch):
                while open_ids:
                    self._end(open_ids.pop())
                self._await_groups(batch, draw_wait_seconds(self._trainer_rng))
                resubmitted = self._items_to_resubmit(batch)
                open_ids.append(batch.batch_id)
            if self.send_to_control(standins.publish_version(MODEL, version + 1)):
                self._ledger.record_version(MODEL, version + 1)
            # The next step submits the incomplete groups again at once, while the runs
            # of the ended batch are being cancelled.
            if open_ids and self._trainer_rng.random() >= OVERLAP_SHARE:
                self._end(open_ids.pop())

    def _batch(
        self,
        step: int,
        min_version: int,
        resubmitted: Items = (),
        may_be_long: bool = True,
    ) -> batch_model.Batch:
        """Return a batch of the items in `resubmitted` and new ones."""
        batch_id = self._new_id("batch")
        n_new = GROUPS * GROUP_ITEMS - len(resubmitted)
        new = [_item(batch_id, n, may_be_long) for n in range(n_new)]
        items = with_batch_header((*resubmitted, *new), batch_id)
        return batch_model.Batch(
            batch_id, HOST, items, step, MODEL, min_version, WANTED_GROUPS
        )

    def _items_to_resubmit(self, batch: batch_model.Batch) -> Items:
        """Return the items of the first incomplete groups."""
        missing = self._ledger.missing(batch.batch_id)
        groups = dict.fromkeys(e.group for e in batch.items if e.item_id in missing)
        again = list(groups)[:RESUBMITTED_GROUPS]
        return tuple(each for each in batch.items if each.group in again)

    def submit(self, batch: batch_model.Batch) -> bool:
        """Submit a batch to random gateways; return whether it was accepted in time."""
        key = soak_accounts.TRAINER_KEY
        call = standins.submit_batch(batch, "/batches/x", REQUEST_SECONDS, key)
        self._ledger.record_submission(
            batch.batch_id, [each.item_id for each in batch.items]
        )
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline:
            if send_once(self._rng.choice(self._gateways), call).status == 202:
                n_events = {
                    e.item_id: soak_runs.Shape.read(e.body).n_events
                    for e in batch.items
                }
                scored = frozenset(e.item_id for e in batch.items if e.scoring)
                self._ledger.record_accepted_batch(
                    batch.batch_id, n_events, batch.min_version, clock.now(), scored
                )
                return True
            eventlet.sleep(0.1)
        return False

    def _await_groups(self, batch: batch_model.Batch, seconds: float) -> None:
        deadline = clock.now() + seconds
        while clock.now() < deadline:
            self.read(batch.batch_id, self._ledger.n_listed(batch.batch_id))
            if self._n_complete_groups(batch) >= WANTED_GROUPS:
                return
            eventlet.sleep(READ_PAUSE_SECONDS)

    def _n_complete_groups(self, batch: batch_model.Batch) -> int:
        missing = self._ledger.missing(batch.batch_id)
        incomplete = {each.group for each in batch.items if each.item_id in missing}
        return GROUPS - len(incomplete)

    def read(self, batch_id: str, position: int) -> bool:
        """Read a page from a random gateway; return whether it was served."""
        requested_at = clock.now()
        key = soak_accounts.TRAINER_KEY
        call = standins.read_results(HOST, batch_id, position, key)
        answer = send_once(self._rng.choice(self._gateways), call)
        if answer.status == 200:
            self._ledger.record_page(
                batch_id, position, standins.read_page(answer.body)
            )
        elif answer.status == 404:
            self._ledger.record_not_found(batch_id, requested_at)
        return answer.status == 200

    def _end(self, batch_id: str) -> bool:
        """Request a batch's end until it is acknowledged; return whether it is."""
        call = standins.end_batch(HOST, batch_id, soak_accounts.TRAINER_KEY)
        self._ledger.record_end_request(batch_id)
        for _ in range(20):
            if send_once(self._rng.choice(self._gateways), call).status == 200:
                self._ledger.record_end(batch_id, clock.now())
                return True
            eventlet.sleep(0.1)
        return False

    def _reread(self) -> None:
        """Read random batches repeatedly from an already read position."""
        while True:
            eventlet.sleep(self._rng.uniform(0.1, 0.5))
            batch_ids = self._ledger.batch_ids()
            if batch_ids:
                batch_id = self._rng.choice(batch_ids)
                n_listed = self._ledger.n_listed(batch_id)
                self.read(batch_id, self._rng.randint(0, n_listed))

    def read_from_start(self, batch_id: str) -> bool:
        """Read a batch again from the start; return whether all pages were served."""
        position = 0
        while position <= self._ledger.n_listed(batch_id):
            if not self.read(batch_id, position):
                return False
            position += max(self._ledger.n_listed(batch_id) - position, 1)
        return True

    def end_while_running(self) -> bool:
        """End a batch while its items run and are also part of a second, open batch.

        Waits afterwards for as long as an item takes, so that a run that outlasts its
        batch is found. Returns whether the batch was ended while items ran.
        """
        first_id, again_id = self._new_id("batch"), self._new_id("batch")
        new = [_item(first_id, n, may_be_long=False) for n in range(GROUP_ITEMS)]
        items = tuple(
            attrs.evolve(each, body=LONG_SHAPE.body(each.item_id), scoring=None)
            for each in new
        )
        first, again = (
            batch_model.Batch(
                each, HOST, with_batch_header(items, each), 0, MODEL, 1, 1
            )
            for each in (first_id, again_id)
        )
        if not self.submit(first) or not self._await_runs(items):
            return False
        if not self.submit(again) or not self._end(first_id):
            return False
        self._ledger.counts["batches ended while they ran"] += 1
        eventlet.sleep(LONG_SHAPE.n_events * LONG_SHAPE.pause_seconds)
        return True

    def _await_runs(self, items: Items) -> bool:
        """Wait until a run of one of the items has begun; return whether one has."""
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline:
            if any(self._ledger.runs.of(each.item_id) for each in items):
                return True
            eventlet.sleep(0.05)
        return False

    def is_batch_served(self) -> bool:
        """Return whether a new batch is accepted and all of its items are completed."""
        batch = self._batch(0, 1, may_be_long=False)
        if not self.submit(batch):
            return False
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline and self._ledger.missing(batch.batch_id):
            self.read(batch.batch_id, self._ledger.n_listed(batch.batch_id))
            eventlet.sleep(0.1)
        return not self._ledger.missing(batch.batch_id)


def draw_wait_seconds(rng: random.Random) -> float:
    """Return how long the trainer waits for the groups of a step, in seconds."""
    is_short = rng.random() < SHORT_WAIT_SHARE
    return rng.uniform(*(SHORT_WAIT_SECONDS if is_short else WAIT_SECONDS))


def with_batch_header(items: Items, batch_id: str) -> Items:
    """Return the items with a header that names the batch they are sent for."""
    header = {soak_ledger.BATCH_HEADER: batch_id}
    return tuple(attrs.evolve(e, headers={**e.headers, **header}) for e in items)


def _item(batch_id: str, n: int, may_be_long: bool) -> batch_model.Item:
    item_id = f"{batch_id}-{n}"
    return batch_model.Item(
        item_id,
        "/batches/x",
        {"X-Model": MODEL, "X-Token-Count": "10,90"},
        soak_runs.Shape.draw(item_id, may_be_long).body(item_id),
        100,
        f"{batch_id}-g{n // GROUP_ITEMS}",
        # Every other item is scored.
        scoring=_scoring_request(item_id) if n % 2 else None,
    )


def _scoring_request(item_id: str) -> batch_model.ScoringRequest:
    request_id = soak_ledger.scoring_id(item_id)
    return batch_model.ScoringRequest(request_id, HOST, "/look-up/score", b"mark")
