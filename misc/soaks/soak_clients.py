"""The traffic of a soak: look-ups, requests that run once, batches, policies, readers.

Clients keep their connections for as long as the process behind them lasts, ask other
processes when one fails, and tell the ledger what they saw.
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
ASK_SECONDS: Final = 2.0
READ_PAUSE_SECONDS: Final = 0.3
STEP_SECONDS: Final = 8.0
GROUPS: Final = 4
GROUP_ITEMS: Final = 4
WANTED_GROUPS: Final = 3
# Share of the batches that are ended only once the next one is open, with items of
# theirs in it.
OVERLAP_SHARE: Final = 0.3
# How long a trainer waits before it ends a batch that is not complete; for a share of
# the steps it is hasty, and ends it while nearly all of its items run.
PATIENCE_SECONDS: Final = (2.0, 5.0)
HASTY_SECONDS: Final = (0.2, 1.0)
HASTY_SHARE: Final = 0.5
# Groups that come again in the next batch.
LEFT_GROUPS: Final = 2
# Items that a batch still runs when it ends. They last two seconds longer than it may
# take until its end is in force.
LASTING: Final = soak_runs.Shape(50, 0.1)


Items = tuple[batch_model.Item, ...]


@attrs.frozen
class Answer:
    """An HTTP answer; status 0: there is none."""

    status: int = 0
    body: bytes = b""
    stamp: str = ""
    ends_connection: bool = False


NO_ANSWER: Final = Answer()


def ask(
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
        ends = answer.getheader("Connection", "").lower() == "close"
        stamp = answer.getheader(standins.STAMP_HEADER, "")
        return Answer(answer.status, body, stamp, ends)
    return NO_ANSWER


def ask_once(address: str, call: standins.Call, seconds: float = ASK_SECONDS) -> Answer:
    """Send a call on a connection of its own and return the answer."""
    connection = http.client.HTTPConnection(address)
    try:
        return ask(connection, call, seconds)
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
        # Of its own: how its steps go doesn't depend on what others drew meanwhile.
        self._trainer_rng = random.Random(f"{seed} trainer")
        self._gateways = gateways
        self._controls = controls
        # Counted apart by kind: what becomes of a batch's items is drawn from its id,
        # which doesn't depend on how many requests were sent before.
        self._n_ids_by_kind: collections.Counter[str] = collections.Counter()
        self._policy_number = itertools.count(1)
        self._prefix = f"s{seed}"
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start all clients."""
        tasks: list[Callable[[], None]] = [self._operate, self._read_policies]
        tasks += [self._train, self._reread, self._reread, self._send_crashing]
        tasks += [self._look_up] * 3 + [self._run_once] * 2
        self._tasks = [eventlet.spawn(each) for each in tasks]

    def stop(self) -> None:
        """Stop all clients."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def _headers(self, request_id: str, key: str) -> dict[str, str]:
        """Return the headers of a request that is sent at once, under `key`."""
        self._ledger.accounts.sent(request_id, key, clock.now())
        return standins.request_headers(HOST, request_id, ASK_SECONDS, key)

    def _new_id(self, kind: str) -> str:
        self._n_ids_by_kind[kind] += 1
        return f"{self._prefix}-{kind}-{self._n_ids_by_kind[kind]}"

    # Control

    def announce(self, call: standins.Call) -> bool:
        """Send an upstream's call to the control processes until one takes it."""
        for address in self._shuffled(self._controls):
            if ask_once(address, call, 1.0).status // 100 == 2:
                return True
        return False

    def _shuffled(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(list(addresses), len(addresses))

    def put_policy(self) -> bool:
        """Send the next policy once to each control process until one takes it."""
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
        if not self.announce(standins.submit_policy(policy)):
            return False
        self._ledger.put_policy(version)
        self._ledger.accounts.put(policy.accounts, clock.now())
        return True

    def _operate(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(0.5, 2.5))
            self.put_policy()

    def read_policy(self) -> bool:
        """Read the policy back at some control process."""
        before = self._ledger.policy_version
        answer = ask_once(self._rng.choice(self._controls), standins.READ_POLICY)
        if answer.status != 200:
            return False
        self._ledger.read_policy(standins.policy_version(answer.body), before)
        return True

    def _read_policies(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(0.1, 0.6))
            self.read_policy()

    # Single requests

    def _look_up(self) -> None:
        while True:
            self._use_connection("look-up")

    def _run_once(self) -> None:
        while True:
            self._use_connection("once")

    def _use_connection(self, kind: str) -> None:
        """Send one request after the other to one gateway until it fails."""
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
        answer = ask(connection, call, ASK_SECONDS + 0.5)
        self._ledger.answered(request_id, answer.status, answer.body, answer.stamp)
        if kind == "once":
            self._ledger.answered_once_only(request_id, answer.status)
        return bool(answer.status) and not answer.ends_connection

    def _send_crashing(self) -> None:
        while True:
            self.send_crashing()
            eventlet.sleep(self._rng.uniform(0.5, 2.0))

    def send_crashing(self) -> None:
        """Send a request that ends upstreams to one gateway after the other."""
        for gateway in self._shuffled(self._gateways):
            request_id = self._new_id("crashing")
            headers = self._headers(request_id, soak_accounts.DESK_KEY)
            body = soak_ledger.CRASHING_BODY
            call = standins.Call("POST", "/look-up/x", headers, body)
            status = ask_once(gateway, call).status
            self._ledger.counts[f"crashing {status}"] += 1

    def look_up_at(self, gateway: str) -> bool:
        """Tell whether a look-up is served at a gateway."""
        connection = http.client.HTTPConnection(gateway)
        request_id = self._new_id("look-up")
        headers = self._headers(request_id, soak_accounts.DESK_KEY)
        call = standins.Call("POST", "/look-up/x", headers, b"body")
        try:
            return ask(connection, call, ASK_SECONDS).status == 200
        finally:
            connection.close()

    # Batches

    def _train(self) -> None:
        left: Items = ()
        open_ids: list[str] = []
        for step in itertools.count(1):
            version = self._ledger.named_by_model.get(MODEL, 1)
            batch = self._batch(step, max(version - 1, 1), left)
            if self.submit(batch):
                while open_ids:
                    self._end(open_ids.pop())
                self._await_groups(batch, patience_seconds(self._trainer_rng))
                left = self._left_items(batch)
                open_ids.append(batch.batch_id)
            if self.announce(standins.publish_version(MODEL, version + 1)):
                self._ledger.named(MODEL, version + 1)
            # What is left comes again at once, while its runs are being broken off.
            if open_ids and self._trainer_rng.random() >= OVERLAP_SHARE:
                self._end(open_ids.pop())

    def _batch(
        self, step: int, min_version: int, left: Items = (), may_be_long: bool = True
    ) -> batch_model.Batch:
        """Return a batch of the items of `left`, which come again, and new ones."""
        batch_id = self._new_id("batch")
        n_new = GROUPS * GROUP_ITEMS - len(left)
        new = [_item(batch_id, n, may_be_long) for n in range(n_new)]
        items = marked((*left, *new), batch_id)
        return batch_model.Batch(
            batch_id, HOST, items, step, MODEL, min_version, WANTED_GROUPS
        )

    def _left_items(self, batch: batch_model.Batch) -> Items:
        """Return the items of the first groups that are not complete."""
        missing = self._ledger.missing(batch.batch_id)
        groups = dict.fromkeys(e.group for e in batch.items if e.item_id in missing)
        again = list(groups)[:LEFT_GROUPS]
        return tuple(each for each in batch.items if each.group in again)

    def submit(self, batch: batch_model.Batch) -> bool:
        """Submit a batch at one gateway after the other until it is accepted."""
        key = soak_accounts.TRAINER_KEY
        call = standins.submit_batch(batch, "/batches/x", ASK_SECONDS, key)
        self._ledger.sent(batch.batch_id, [each.item_id for each in batch.items])
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline:
            if ask_once(self._rng.choice(self._gateways), call).status == 202:
                n_events = {
                    e.item_id: soak_runs.Shape.read(e.body).n_events
                    for e in batch.items
                }
                scored = frozenset(e.item_id for e in batch.items if e.scoring)
                self._ledger.accepted(
                    batch.batch_id, n_events, batch.min_version, clock.now(), scored
                )
                return True
            eventlet.sleep(0.1)
        return False

    def _await_groups(self, batch: batch_model.Batch, seconds: float) -> None:
        deadline = clock.now() + seconds
        while clock.now() < deadline:
            self.read(batch.batch_id, self._ledger.n_listed(batch.batch_id))
            if self._n_whole_groups(batch) >= WANTED_GROUPS:
                return
            eventlet.sleep(READ_PAUSE_SECONDS)

    def _n_whole_groups(self, batch: batch_model.Batch) -> int:
        missing = self._ledger.missing(batch.batch_id)
        broken = {each.group for each in batch.items if each.item_id in missing}
        return GROUPS - len(broken)

    def read(self, batch_id: str, position: int) -> bool:
        """Read a page of a batch at some gateway; tell whether there was one."""
        asked_at = clock.now()
        key = soak_accounts.TRAINER_KEY
        call = standins.read_results(HOST, batch_id, position, key)
        answer = ask_once(self._rng.choice(self._gateways), call)
        if answer.status == 200:
            self._ledger.read(batch_id, position, standins.read_page(answer.body))
        elif answer.status == 404:
            self._ledger.not_found(batch_id, asked_at)
        return answer.status == 200

    def _end(self, batch_id: str) -> bool:
        """Ask for a batch's end until it is acknowledged; tell whether it is."""
        call = standins.end_batch(HOST, batch_id, soak_accounts.TRAINER_KEY)
        self._ledger.end_asked(batch_id)
        for _ in range(20):
            if ask_once(self._rng.choice(self._gateways), call).status == 200:
                self._ledger.ended(batch_id, clock.now())
                return True
            eventlet.sleep(0.1)
        return False

    def _reread(self) -> None:
        """Read batches again from some earlier position."""
        while True:
            eventlet.sleep(self._rng.uniform(0.1, 0.5))
            batch_ids = self._ledger.batch_ids()
            if batch_ids:
                batch_id = self._rng.choice(batch_ids)
                n_listed = self._ledger.n_listed(batch_id)
                self.read(batch_id, self._rng.randint(0, n_listed))

    def read_whole(self, batch_id: str) -> bool:
        """Read a batch from the start to where it was read before."""
        position = 0
        while position <= self._ledger.n_listed(batch_id):
            if not self.read(batch_id, position):
                return False
            position += max(self._ledger.n_listed(batch_id) - position, 1)
        return True

    def end_while_it_runs(self) -> bool:
        """End a batch whose items run, and come again in one that is open by then.

        Takes until all items have been made in one go. Tell whether it came about.
        """
        first_id, again_id = self._new_id("batch"), self._new_id("batch")
        new = [_item(first_id, n, may_be_long=False) for n in range(GROUP_ITEMS)]
        items = tuple(
            attrs.evolve(each, body=LASTING.body(each.item_id), scoring=None)
            for each in new
        )
        first, again = (
            batch_model.Batch(each, HOST, marked(items, each), 0, MODEL, 1, 1)
            for each in (first_id, again_id)
        )
        if not self.submit(first) or not self._await_runs(items):
            return False
        if not self.submit(again) or not self._end(first_id):
            return False
        self._ledger.counts["batches ended while they ran"] += 1
        eventlet.sleep(LASTING.n_events * LASTING.pause_seconds)
        return True

    def _await_runs(self, items: Items) -> bool:
        """Wait until some of the items run; tell whether they do."""
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline:
            if any(self._ledger.runs.of(each.item_id) for each in items):
                return True
            eventlet.sleep(0.05)
        return False

    def is_batch_served(self) -> bool:
        """Tell whether a new batch is accepted and all of it is made."""
        batch = self._batch(0, 1, may_be_long=False)
        if not self.submit(batch):
            return False
        deadline = clock.now() + STEP_SECONDS
        while clock.now() < deadline and self._ledger.missing(batch.batch_id):
            self.read(batch.batch_id, self._ledger.n_listed(batch.batch_id))
            eventlet.sleep(0.1)
        return not self._ledger.missing(batch.batch_id)


def patience_seconds(rng: random.Random) -> float:
    """Return how long a trainer waits for the groups of a step."""
    is_hasty = rng.random() < HASTY_SHARE
    return rng.uniform(*(HASTY_SECONDS if is_hasty else PATIENCE_SECONDS))


def marked(items: Items, batch_id: str) -> Items:
    """Return items whose requests name the batch that they are sent for."""
    mark = {soak_ledger.BATCH_HEADER: batch_id}
    return tuple(attrs.evolve(e, headers={**e.headers, **mark}) for e in items)


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
