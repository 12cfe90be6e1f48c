"""Record of what clients and upstreams observed in a soak, and of broken guarantees.

Does no input or output: the soak's clients and upstreams record here what they sent and
received. A finding is a sentence with the ids to look for in the processes' logs.
"""

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

import attrs
from bilberrydrum_platform import standins

from misc.soaks import soak_accounts, soak_runs

# Statuses with which a gateway guarantees that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Time in seconds in which an acknowledged end of a batch or departure of an upstream
# must take effect while there is no fault.
MAX_DELAY_SECONDS: Final = 3.0
# Time bounds are not checked until the last fault is this many seconds ago.
SETTLE_SECONDS: Final = 6.0
# Number of times that a process may exit by itself in a run: one that was replaced, or
# whose disk failed, exits once and is restarted as a new replica.
MAX_UNEXPECTED_EXITS: Final = 3
# An accepted batch may be unknown to a gateway for this many seconds after its
# acknowledgement.
VISIBLE_SECONDS: Final = 1.0
# Header of each item's request that names the batch it is sent for. The item id does
# not identify the batch: an item that is submitted again has the same id in both.
BATCH_HEADER: Final = "X-Soak-Batch"
# A request with this body crashes the plain service that runs it.
CRASHING_BODY: Final = b"ends whatever runs it"
# After this many crashes, requests with this body must be in quarantine at all gateways
# within `QUARANTINE_SECONDS`. At most `MAX_LATE_ATTEMPTS` may reach an upstream later.
QUARANTINE_CRASHES: Final = 3
QUARANTINE_SECONDS: Final = 3.0
MAX_LATE_ATTEMPTS: Final = 3


@attrs.define
class _Batch:
    """What is known of one accepted batch."""

    n_events_by_item_id: Mapping[str, int]
    min_version: int
    accepted_at: float
    # Items that have a scoring request.
    scored_ids: frozenset[str] = frozenset()
    results: list[standins.BatchResult] = attrs.field(factory=list)
    ended_at: float | None = None
    # Whether its end was requested. The end may have taken effect even if the answer
    # was lost.
    is_end_requested: bool = False


class Ledger:
    """Everything observed in one run."""

    def __init__(self) -> None:
        self.findings: list[str] = []
        self.accounts = soak_accounts.Accounts(self._add_finding)
        self.runs = soak_runs.Runs()
        # Address of the sender of the last order, which is the leading store as far as
        # the engines know.
        self.leader = ""
        self.counts: collections.Counter[str] = collections.Counter()
        self.disturbed_at = float("-inf")
        self.policy_version = 0
        self.announced_by_model: dict[str, int] = {}
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._batches: dict[str, _Batch] = {}
        # Submitted batches of each item, accepted or not: an item may be in several.
        self._batch_ids_by_item: dict[str, set[str]] = {}
        self._departed_at_by_upstream: dict[str, float] = {}
        self._holders_by_order: dict[tuple[str, int], str] = {}
        self._unexpected_exits_by_process: collections.Counter[str] = (
            collections.Counter()
        )
        # Times at which crash-causing requests crashed upstreams, and the ids of those
        # that reached an upstream after they had to be in quarantine.
        self._crashed_at: list[float] = []
        self._late_crashing_ids: set[str] = set()

    def _add_finding(self, text: str) -> None:
        self.counts["findings"] += 1
        if text not in self.findings:
            self.findings.append(text)

    def record_disturbance(self, now: float) -> None:
        """Record that a fault is active at this moment."""
        self.disturbed_at = max(self.disturbed_at, now)

    def is_undisturbed(self, now: float) -> bool:
        """Return whether there was no fault for `SETTLE_SECONDS`."""
        return now - self.disturbed_at > SETTLE_SECONDS

    def record_unexpected_exit(
        self, process: str, exit_code: int | None, now: float
    ) -> None:
        """Record that a process has exited although no fault ended it."""
        self.counts[f"ended by themselves with {exit_code}"] += 1
        self.record_disturbance(now)
        self._unexpected_exits_by_process[process] += 1
        if self._unexpected_exits_by_process[process] > MAX_UNEXPECTED_EXITS:
            self._add_finding(f"{process} exited by itself too often")

    def record_process_error(self, process: str, error: str) -> None:
        """Record an unhandled exception in a process."""
        self._add_finding(f"{process} logged an unhandled exception: {error}")

    # Single requests

    def record_once_only_run(self, request_id: str, upstream_id: str) -> None:
        """Record that a once-only request has begun to run."""
        self._runs_by_request[request_id] += 1
        if self._runs_by_request[request_id] > 1:
            self._add_finding(f"{request_id} ran a second time, at {upstream_id}")
        if request_id in self._refused:
            self._add_finding(
                f"{request_id} ran at {upstream_id} after a refusal that excludes it"
            )

    def record_once_only_answer(self, request_id: str, status: int) -> None:
        """Record the answer to a once-only request."""
        self.counts[f"once-only {status}"] += 1
        if status not in NOT_RUN_STATUSES:
            return
        self._refused.add(request_id)
        if self._runs_by_request[request_id]:
            self._add_finding(
                f"{request_id} was refused with {status} after it had run"
            )

    def record_answer(
        self, request_id: str, status: int, body: bytes, stamp: str
    ) -> None:
        """Record the answer to any single request."""
        self.counts[f"look-up {status}"] += 1
        self.accounts.record_answer(request_id, status)
        if status != 200:
            return
        if body.decode("utf-8", "replace") != request_id:
            self._add_finding(f"{request_id} got a wrong answer: {body[:60]!r}")
        if not stamp:
            self._add_finding(f"{request_id} got a success without an upstream stamp")

    # Crash-causing requests

    def record_crash_by_request(self, now: float) -> None:
        """Record that a crash-causing request has crashed an upstream."""
        self.counts["ended by a request"] += 1
        self._crashed_at.append(now)

    def record_crashing_attempt(self, request_id: str, now: float) -> None:
        """Record that a crash-causing request has reached an upstream."""
        if len(self._crashed_at) < QUARANTINE_CRASHES or not self.is_undisturbed(now):
            return
        if now - self._crashed_at[QUARANTINE_CRASHES - 1] > QUARANTINE_SECONDS:
            self._late_crashing_ids.add(request_id)
        if len(self._late_crashing_ids) > MAX_LATE_ATTEMPTS:
            n_late = len(self._late_crashing_ids)
            self._add_finding(
                f"crash-causing requests reached upstreams {n_late} times too late"
            )

    # Policies and versions

    def record_policy(self, version: int) -> None:
        """Record an acknowledged policy."""
        self.counts["policies"] += 1
        self.policy_version = max(self.policy_version, version)

    def record_policy_read(self, version: int, version_before: int) -> None:
        """Record a policy that was read.

        `version_before` is the newest version acknowledged when the read began.
        """
        self.counts["policies read"] += 1
        if version < version_before:
            self._add_finding(
                f"policy {version} was read after {version_before} was acknowledged"
            )

    def record_version(self, model: str, version: int) -> None:
        """Record an acknowledged weight version of a model."""
        self.announced_by_model[model] = max(
            version, self.announced_by_model.get(model, 0)
        )

    def record_order(self, upstream_id: str, order: standins.ReceivedOrder) -> None:
        """Record an order that an engine has received."""
        self.counts["orders"] += 1
        self.leader = order.holder
        key = (upstream_id, order.fencing_number)
        holder = self._holders_by_order.setdefault(key, order.holder)
        if holder != order.holder:
            self._add_finding(
                f"{upstream_id} got orders with {order.fencing_number} from {holder} "
                f"and {order.holder}"
            )

    # Upstreams

    def record_departure(self, upstream_id: str, now: float) -> None:
        """Record that the departure of an upstream was acknowledged."""
        self._departed_at_by_upstream.setdefault(upstream_id, now)

    def record_invalid_announcement(self, body: bytes, is_acknowledged: bool) -> None:
        """Record an announcement that is invalid and must not be acknowledged."""
        self.counts["announced wrongly"] += 1
        if is_acknowledged:
            self._add_finding(f"acknowledged an invalid announcement: {body[:300]!r}")

    def record_request(
        self, upstream_id: str, request_id: str, now: float, batch_id: str = ""
    ) -> None:
        """Record a request that an upstream has received.

        `batch_id` is the value of its `BATCH_HEADER`, or empty.
        """
        departed_at = self._departed_at_by_upstream.get(upstream_id, now)
        if now - departed_at > MAX_DELAY_SECONDS and self.is_undisturbed(now):
            self._add_finding(
                f"{upstream_id} got {request_id} {now - departed_at:.1f} s "
                "after its departure"
            )
        self._check_end(batch_id, request_id, upstream_id, now)
        end_times = [
            self._batches[each].ended_at if each in self._batches else None
            for each in self._batch_ids_by_item.get(request_id, ())
        ]
        known_end_times = [each for each in end_times if each is not None]
        if (
            not end_times
            or len(known_end_times) < len(end_times)
            or not self.is_undisturbed(now)
        ):
            return
        if now - max(known_end_times) > MAX_DELAY_SECONDS:
            self._add_finding(f"item {request_id} ran after the end of all its batches")

    def check_run(self, run: soak_runs.EngineRun, now: float) -> None:
        """Check that the batch of a run that is in progress has not ended.

        A run during which there was a fault is not checked: on a muted connection the
        engine does not see that the run was cancelled.
        """
        if run.started_at > self.disturbed_at:
            self._check_end(run.batch_id, run.item_id, run.upstream_id, now)

    def _check_end(
        self, batch_id: str, item_id: str, upstream_id: str, now: float
    ) -> None:
        """Check that the batch an attempt was sent for has not ended.

        Other open batches with the same item are no excuse.
        """
        batch = self._batches.get(batch_id)
        if batch is None or batch.ended_at is None or not self.is_undisturbed(now):
            return
        if now - batch.ended_at > MAX_DELAY_SECONDS:
            self._add_finding(
                f"{item_id} ran after the end of {batch_id} at {upstream_id}"
            )

    # Scores

    def record_scoring_request(self, request_id: str) -> None:
        """Record a request at a plain service if it is a scoring request."""
        item_id = scored_item(request_id)
        if not item_id:
            return
        self.counts["scoring requests"] += 1
        runs = self.runs.of(item_id)
        if not any(each.n_expected in each.versions_by_number for each in runs):
            self._add_finding(f"{item_id} was scored before its text was complete")

    # Batches

    def record_submission(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Record a batch before it is submitted."""
        for item_id in item_ids:
            batch_ids = self._batch_ids_by_item.setdefault(item_id, set())
            self.counts["items that came again"] += bool(batch_ids - {batch_id})
            batch_ids.add(batch_id)

    def record_accepted_batch(
        self,
        batch_id: str,
        n_events_by_item_id: Mapping[str, int],
        min_version: int,
        now: float,
        scored_ids: frozenset[str] = frozenset(),
    ) -> None:
        """Record an acknowledged batch; the items in `scored_ids` are scored."""
        self.counts["batches"] += 1
        if batch_id in self._batches:
            return
        self._batches[batch_id] = _Batch(
            n_events_by_item_id, min_version, now, scored_ids
        )
        for item_id in n_events_by_item_id:
            self._batch_ids_by_item.setdefault(item_id, set()).add(batch_id)

    def batch_ids(self) -> list[str]:
        """Return the ids of the accepted batches, the oldest first."""
        return list(self._batches)

    def n_listed(self, batch_id: str) -> int:
        """Return how many results of a batch have been read so far."""
        return len(self._batches[batch_id].results)

    def must_finish(self, batch_id: str) -> bool:
        """Return whether all items of a batch must be listed eventually.

        Not after its end was requested: the end may have taken effect even if its
        answer was lost, for example because the client was stopped while it waited.
        """
        return not self._batches[batch_id].is_end_requested

    def record_end_request(self, batch_id: str) -> None:
        """Record that the end of a batch is about to be requested."""
        self._batches[batch_id].is_end_requested = True

    def record_end(self, batch_id: str, now: float) -> None:
        """Record the acknowledged end of a batch."""
        self.counts["ends"] += 1
        batch = self._batches[batch_id]
        if batch.ended_at is None:
            batch.ended_at = now

    def record_not_found(self, batch_id: str, requested_at: float) -> None:
        """Record that a gateway answered that a batch is unknown."""
        batch = self._batches.get(batch_id)
        if batch is not None and requested_at - batch.accepted_at > VISIBLE_SECONDS:
            self._add_finding(f"accepted batch {batch_id} was reported as unknown")

    def record_page(self, batch_id: str, position: int, page: standins.Page) -> None:
        """Record a page of results that was read from `position` on."""
        self.counts["pages"] += 1
        batch = self._batches[batch_id]
        if page.n_items != len(batch.n_events_by_item_id):
            self._add_finding(f"{batch_id} has a page with {page.n_items} items")
        for i, listed in enumerate(page.results, position):
            if i < len(batch.results):
                if batch.results[i] != listed:
                    self._add_finding(f"{batch_id} has a changed result at {i}")
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
            self._add_finding(f"{batch_id} lists {item_id}, which is not its item")
            return
        if any(each.item_id == item_id for each in batch.results):
            self._add_finding(f"{batch_id} lists {item_id} twice")
        if listed.is_completed:
            if item_id in batch.scored_ids:
                expected = standins.signature(scoring_id(item_id))
                if listed.score != expected:
                    self._add_finding(
                        f"{item_id} of {batch_id} has {listed.score!r} as wrong score"
                    )
            self.counts["texts"] += 1
            self.counts["texts of several runs"] += self.runs.n_runs_in(listed.text) > 1
            for error in self._text_errors(listed, batch):
                self._add_finding(f"{item_id} of {batch_id}: {error}")

    def _text_errors(
        self, listed: standins.BatchResult, batch: _Batch
    ) -> Iterator[str]:
        n_expected = batch.n_events_by_item_id[listed.item_id]
        yield from self.runs.text_errors(listed.item_id, n_expected, listed.text)
        versions = self.runs.versions_in(listed.text)
        if versions != set(listed.versions):
            yield f"made with {sorted(versions)}, listed with {listed.versions}"
        if versions and min(versions) < batch.min_version:
            yield f"made with version {min(versions)}, minimum {batch.min_version}"

    def missing(self, batch_id: str) -> Collection[str]:
        """Return the ids of the items of a batch that are not listed yet."""
        batch = self._batches[batch_id]
        listed = {each.item_id for each in batch.results}
        return batch.n_events_by_item_id.keys() - listed


_SCORING_SUFFIX: Final = "-score"


def scoring_id(item_id: str) -> str:
    """Return the id of an item's scoring request."""
    return item_id + _SCORING_SUFFIX


def scored_item(request_id: str) -> str:
    """Return the id of the item that a request scores, or "" if it scores none."""
    if not request_id.endswith(_SCORING_SUFFIX):
        return ""
    return request_id.removesuffix(_SCORING_SUFFIX)
