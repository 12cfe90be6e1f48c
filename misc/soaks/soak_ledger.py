"""What a soak has seen, and the promises that it breaks.

Pure: clients and upstreams of the soak tell what they saw on their sockets. A finding
is a sentence with the ids to look for in the processes' logs.
"""

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

import attrs
from bilberrydrum_platform import standins

from misc.soaks import soak_accounts, soak_runs

# Statuses by which a gateway promises that a request did not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Time in which an acknowledged end or departure must be in force, in seconds, while
# nothing is disturbed.
IN_FORCE_SECONDS: Final = 3.0
# Disturbances less than this long ago excuse what has a bound on its time.
SETTLE_SECONDS: Final = 6.0
# A process may end by itself this often in a run: one that was replaced, or whose disk
# failed, ends once and comes back as a new one.
MAX_OWN_ENDS: Final = 3
# An accepted batch may be unknown for this long after its acknowledgement.
KNOWN_SECONDS: Final = 1.0
# Header of each item's request that names the batch it is sent for: an item that comes
# again has the same id in both batches.
BATCH_HEADER: Final = "X-Soak-Batch"
# Requests with this body end the plain service that runs them.
CRASHING_BODY: Final = b"ends whatever runs it"
# Upstreams that such a request may end before all have to know, the time that they have
# for it, and the attempts that may still reach one later.
CRASHES: Final = 3
CONTACT_SECONDS: Final = 3.0
LATE_ATTEMPTS: Final = 3


@attrs.define
class _Batch:
    """What is known of one accepted batch."""

    n_events_by_item_id: Mapping[str, int]
    min_version: int
    accepted_at: float
    # Items that are scored.
    scored_ids: frozenset[str] = frozenset()
    results: list[standins.BatchResult] = attrs.field(factory=list)
    ended_at: float | None = None
    # Its end was asked for; it may hold, whether or not the answer was seen.
    is_end_asked: bool = False


class Ledger:
    """Everything seen in one run."""

    def __init__(self) -> None:
        self.findings: list[str] = []
        self.accounts = soak_accounts.Accounts(self._find)
        self.runs = soak_runs.Runs()
        # Who sent the last order: the leader of the stores, as far as engines know.
        self.leader = ""
        self.counts: collections.Counter[str] = collections.Counter()
        self.disturbed_at = float("-inf")
        self.policy_version = 0
        self.named_by_model: dict[str, int] = {}
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._batches: dict[str, _Batch] = {}
        # Batches that were sent, accepted or not: an item may come again.
        self._batch_ids_by_item: dict[str, set[str]] = {}
        self._left_at_by_upstream: dict[str, float] = {}
        self._holders_by_order: dict[tuple[str, int], str] = {}
        self._own_ends_by_process: collections.Counter[str] = collections.Counter()
        # When upstreams ended under crashing requests, and which attempts came late.
        self._crashed_at: list[float] = []
        self._late_crashing_ids: set[str] = set()

    def _find(self, text: str) -> None:
        self.counts["findings"] += 1
        if text not in self.findings:
            self.findings.append(text)

    def disturbed(self, now: float) -> None:
        """Note that a fault is there at this moment."""
        self.disturbed_at = max(self.disturbed_at, now)

    def is_calm(self, now: float) -> bool:
        """Tell whether nothing was disturbed for a while."""
        return now - self.disturbed_at > SETTLE_SECONDS

    def ended_by_itself(self, process: str, exit_code: int | None, now: float) -> None:
        """Note that a process has ended though nobody ended it."""
        self.counts[f"ended by themselves with {exit_code}"] += 1
        self.disturbed(now)
        self._own_ends_by_process[process] += 1
        if self._own_ends_by_process[process] > MAX_OWN_ENDS:
            self._find(f"{process} ended by itself again and again")

    def failed(self, process: str, error: str) -> None:
        """Note that a process has met an error of its own code."""
        self._find(f"{process} met an error: {error}")

    # Single requests

    def ran_once_only(self, request_id: str, upstream_id: str) -> None:
        """Note that a request that may run once has begun to run."""
        self._runs_by_request[request_id] += 1
        if self._runs_by_request[request_id] > 1:
            self._find(f"{request_id} ran again, at {upstream_id}")
        if request_id in self._refused:
            self._find(f"{request_id} ran at {upstream_id} after a refusal as not run")

    def answered_once_only(self, request_id: str, status: int) -> None:
        """Note the answer to a request that may run once."""
        self.counts[f"once-only {status}"] += 1
        if status not in NOT_RUN_STATUSES:
            return
        self._refused.add(request_id)
        if self._runs_by_request[request_id]:
            self._find(f"{request_id} was refused with {status} and had run")

    def answered(self, request_id: str, status: int, body: bytes, stamp: str) -> None:
        """Note the answer to any request."""
        self.counts[f"look-up {status}"] += 1
        self.accounts.answered(request_id, status)
        if status != 200:
            return
        if body.decode("utf-8", "replace") != request_id:
            self._find(f"{request_id} got another answer: {body[:60]!r}")
        if not stamp:
            self._find(f"{request_id} got a success that no upstream made")

    # Requests that end upstreams

    def crashed_by_request(self, now: float) -> None:
        """Note that a crashing request has ended an upstream."""
        self.counts["ended by a request"] += 1
        self._crashed_at.append(now)

    def crashing_reached(self, request_id: str, now: float) -> None:
        """Note that a crashing request has reached an upstream."""
        if len(self._crashed_at) < CRASHES or not self.is_calm(now):
            return
        if now - self._crashed_at[CRASHES - 1] > CONTACT_SECONDS:
            self._late_crashing_ids.add(request_id)
        if len(self._late_crashing_ids) > LATE_ATTEMPTS:
            n_late = len(self._late_crashing_ids)
            self._find(f"a crashing request reached upstreams {n_late} times too late")

    # Policies and versions

    def put_policy(self, version: int) -> None:
        """Note an acknowledged policy."""
        self.counts["policies"] += 1
        self.policy_version = max(self.policy_version, version)

    def read_policy(self, version: int, version_before: int) -> None:
        """Note a policy that was read; `version_before` was in force at the asking."""
        self.counts["policies read"] += 1
        if version < version_before:
            self._find(f"policy {version} was read after {version_before} was taken")

    def named(self, model: str, version: int) -> None:
        """Note an acknowledged version of a model."""
        self.named_by_model[model] = max(version, self.named_by_model.get(model, 0))

    def ordered(self, upstream_id: str, order: standins.ReceivedOrder) -> None:
        """Note an order that an engine has got."""
        self.counts["orders"] += 1
        self.leader = order.holder
        key = (upstream_id, order.fencing_number)
        holder = self._holders_by_order.setdefault(key, order.holder)
        if holder != order.holder:
            self._find(
                f"{upstream_id} got orders with {order.fencing_number} from {holder} "
                f"and {order.holder}"
            )

    # Upstreams

    def left(self, upstream_id: str, now: float) -> None:
        """Note that an upstream's leaving was acknowledged."""
        self._left_at_by_upstream.setdefault(upstream_id, now)

    def announced_wrongly(self, body: bytes, is_acknowledged: bool) -> None:
        """Note an announcement that names no upstream."""
        self.counts["announced wrongly"] += 1
        if is_acknowledged:
            self._find(f"acknowledged an announcement of nobody: {body[:300]!r}")

    def received(
        self, upstream_id: str, request_id: str, now: float, batch_id: str = ""
    ) -> None:
        """Note that an upstream got a request, with the mark of a batch or none."""
        left_at = self._left_at_by_upstream.get(upstream_id, now)
        if now - left_at > IN_FORCE_SECONDS and self.is_calm(now):
            self._find(f"{upstream_id} got {request_id} {now - left_at:.1f} s late")
        self._check_end(batch_id, request_id, upstream_id, now)
        ends = [
            self._batches[each].ended_at if each in self._batches else None
            for each in self._batch_ids_by_item.get(request_id, ())
        ]
        known_ends = [each for each in ends if each is not None]
        if not ends or len(known_ends) < len(ends) or not self.is_calm(now):
            return
        if now - max(known_ends) > IN_FORCE_SECONDS:
            self._find(f"item {request_id} ran after the end of its batch")

    def goes_on(self, run: soak_runs.EngineRun, now: float) -> None:
        """Note that an engine's run of an item is under way.

        One that has met a disturbance is let off: a connection that was muted tells its
        engine of no end.
        """
        if run.began_at > self.disturbed_at:
            self._check_end(run.batch_id, run.item_id, run.upstream_id, now)

    def _check_end(
        self, batch_id: str, item_id: str, upstream_id: str, now: float
    ) -> None:
        """Check that an attempt's own batch has not ended, whatever others are open."""
        batch = self._batches.get(batch_id)
        if batch is None or batch.ended_at is None or not self.is_calm(now):
            return
        if now - batch.ended_at > IN_FORCE_SECONDS:
            self._find(f"{item_id} of {batch_id} outlived it at {upstream_id}")

    # Scores

    def scored(self, request_id: str) -> None:
        """Note that a service has got a request that may be a scoring request."""
        item_id = scored_item(request_id)
        if not item_id:
            return
        self.counts["scoring requests"] += 1
        runs = self.runs.of(item_id)
        if not any(each.n_due in each.versions_by_number for each in runs):
            self._find(f"{item_id} was to be scored before its text was whole")

    # Batches

    def sent(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Note that a batch is about to be sent."""
        for item_id in item_ids:
            batch_ids = self._batch_ids_by_item.setdefault(item_id, set())
            self.counts["items that came again"] += bool(batch_ids - {batch_id})
            batch_ids.add(batch_id)

    def accepted(
        self,
        batch_id: str,
        n_events_by_item_id: Mapping[str, int],
        min_version: int,
        now: float,
        scored_ids: frozenset[str] = frozenset(),
    ) -> None:
        """Note an acknowledged batch; `scored_ids` are its items that are scored."""
        self.counts["batches"] += 1
        if batch_id in self._batches:
            return
        self._batches[batch_id] = _Batch(
            n_events_by_item_id, min_version, now, scored_ids
        )
        for item_id in n_events_by_item_id:
            self._batch_ids_by_item.setdefault(item_id, set()).add(batch_id)

    def batch_ids(self) -> list[str]:
        """Return the accepted batches, the oldest first."""
        return list(self._batches)

    def n_listed(self, batch_id: str) -> int:
        """Return how many results of a batch were read so far."""
        return len(self._batches[batch_id].results)

    def must_finish(self, batch_id: str) -> bool:
        """Tell whether all items of a batch must be listed some time.

        Not once its end was asked for: the end may be in force although nobody saw the
        answer, as when the asking client is stopped in the middle.
        """
        return not self._batches[batch_id].is_end_asked

    def end_asked(self, batch_id: str) -> None:
        """Note that the end of a batch is about to be asked for."""
        self._batches[batch_id].is_end_asked = True

    def ended(self, batch_id: str, now: float) -> None:
        """Note an acknowledged end."""
        self.counts["ends"] += 1
        batch = self._batches[batch_id]
        if batch.ended_at is None:
            batch.ended_at = now

    def not_found(self, batch_id: str, asked_at: float) -> None:
        """Note that a batch was called unknown."""
        batch = self._batches.get(batch_id)
        if batch is not None and asked_at - batch.accepted_at > KNOWN_SECONDS:
            self._find(f"accepted batch {batch_id} was called unknown")

    def read(self, batch_id: str, position: int, page: standins.Page) -> None:
        """Note results that were read from `position` on."""
        self.counts["pages"] += 1
        batch = self._batches[batch_id]
        if page.n_items != len(batch.n_events_by_item_id):
            self._find(f"{batch_id} has {page.n_items} items by its page")
        for i, listed in enumerate(page.results, position):
            if i < len(batch.results):
                if batch.results[i] != listed:
                    self._find(f"{batch_id} has another result at {i}")
                continue
            if i > len(batch.results):
                return
            self._check_result(batch_id, batch, listed)
            batch.results.append(listed)

    def _check_result(
        self, batch_id: str, batch: _Batch, listed: standins.BatchResult
    ) -> None:
        item_id = listed.item_id
        if item_id not in batch.n_events_by_item_id:
            self._find(f"{batch_id} lists {item_id}, which it doesn't have")
            return
        if any(each.item_id == item_id for each in batch.results):
            self._find(f"{batch_id} lists {item_id} twice")
        if listed.is_completed:
            if item_id in batch.scored_ids:
                expected = standins.signature(scoring_id(item_id))
                if listed.score != expected:
                    self._find(f"{item_id} of {batch_id} has {listed.score!r} as score")
            self.counts["texts"] += 1
            self.counts["texts of several runs"] += self.runs.n_joined(listed.text) > 1
            for fault in self._text_faults(listed, batch):
                self._find(f"{item_id} of {batch_id}: {fault}")

    def _text_faults(
        self, listed: standins.BatchResult, batch: _Batch
    ) -> Iterator[str]:
        n_due = batch.n_events_by_item_id[listed.item_id]
        yield from self.runs.faults(listed.item_id, n_due, listed.text)
        versions = self.runs.made_under(listed.text)
        if versions != set(listed.versions):
            yield f"made under {sorted(versions)}, listed as {listed.versions}"
        if versions and min(versions) < batch.min_version:
            yield f"made under {min(versions)}, allowed from {batch.min_version}"

    def missing(self, batch_id: str) -> Collection[str]:
        """Return the items of a batch that are not listed yet."""
        batch = self._batches[batch_id]
        listed = {each.item_id for each in batch.results}
        return batch.n_events_by_item_id.keys() - listed


_SCORING_SUFFIX: Final = "-score"


def scoring_id(item_id: str) -> str:
    """Return the id of an item's scoring request."""
    return item_id + _SCORING_SUFFIX


def scored_item(request_id: str) -> str:
    """Return the item that a request scores; empty: it is no scoring request."""
    if not request_id.endswith(_SCORING_SUFFIX):
        return ""
    return request_id.removesuffix(_SCORING_SUFFIX)
