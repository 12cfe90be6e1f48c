"""The open batches and the state of each of their items, in the runner's memory."""

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

import attrs
import eliot

from bilberrydrum.batches import (
    lifecycle,
    model,
    moves,
    reusable,
    scheduling,
    scoring,
    texts,
    urgency,
)
from bilberrydrum.fleet import policy

# Pause before an item that an engine has rejected is sent again, in seconds. At a full
# engine, a run slot becomes free every 20 to 50 ms.
REJECTED_PAUSE_SECONDS: Final = 0.1


@attrs.define(eq=False)
class OpenBatch:
    """A batch from its submission until it is closed at its end."""

    kept: model.KeptBatch
    batch: model.Batch
    # Time of submission, in seconds of `clock.now`.
    submitted_at: float
    runs_by_item_id: dict[str, lifecycle.ItemRun]
    # Surplus groups, which the trainer does not wait for.
    spare_groups: frozenset[urgency.GroupKey] = frozenset()
    is_ended: bool = False
    # The route of its items in `_routes`, the table in which it was looked up last.
    _routes: policy.RouteTable | None = attrs.field(default=None, init=False)
    _route: policy.Route | None = attrs.field(default=None, init=False)
    # The route that `services` was called with last, and its services.
    _served_route: policy.Route | None = attrs.field(default=None, init=False)
    _services: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def waiting_runs(self) -> Iterator[lifecycle.ItemRun]:
        """Yield the items that wait for an engine."""
        return self._in_stage(lifecycle.Stage.WAITING)

    def unscored_runs(self) -> Iterator[lifecycle.ItemRun]:
        """Yield the items whose scoring request has yet to be sent."""
        return self._in_stage(lifecycle.Stage.UNSCORED)

    def _in_stage(self, stage: lifecycle.Stage) -> Iterator[lifecycle.ItemRun]:
        for run in self.runs_by_item_id.values():
            if run.stage is stage:
                yield run

    def unscored(
        self, run: lifecycle.ItemRun, route: policy.Route | None
    ) -> scoring.Unscored:
        """Return the data by which an item's scoring request is prioritized."""
        n_missing = sum(
            1
            for each in self.runs_by_item_id.values()
            if each.group_key == run.group_key and not each.is_finished
        )
        return scoring.Unscored(
            (self.batch.batch_id, run.item.item_id),
            run.group_key in self.spare_groups,
            n_missing,
            self.done_by(route),
        )

    def begin_saves(self, min_events: int) -> list[texts.Save]:
        """Begin a save of each unfinished text that has enough new events.

        The caller must end each of them by `Save.end`. `min_events` is the minimum
        number of new events for a save.
        """
        saves = []
        for item_id, run in self.runs_by_item_id.items():
            n_new = len(run.text.parts) - run.text.n_submitted
            if run.is_finished or n_new < min_events:
                continue
            save = run.text.begin_save(item_id)
            if save is not None:
                saves.append(save)
        return saves

    def n_waiting_tokens(self) -> int:
        """Return the expected output tokens of the items that wait for an engine."""
        return sum(each.n_expected_output_tokens() for each in self.waiting_runs())

    def route(self, routes: policy.RouteTable) -> policy.Route | None:
        """Return the current route of its items; None: the route was removed."""
        # It is needed for each waiting item in each scheduling pass. Each change of the
        # policy creates a new table, so comparing identities is enough.
        if routes is not self._routes:
            self._route = route_of(self.batch, routes)
            self._routes = routes
        return self._route

    def services(self, route: policy.Route) -> frozenset[str]:
        """Return the services that may run its items."""
        if route is not self._served_route:
            self._services = frozenset(route.services())
            self._served_route = route
        return self._services

    def give_up_at(self, route: policy.Route | None) -> float:
        """Return when its unfinished items are given up, in seconds of `clock.now`."""
        if route is None or not route.max_queue_seconds:
            return float("inf")
        return self.submitted_at + route.max_queue_seconds

    def bounds(self, route: policy.Route | None) -> texts.Bounds:
        """Return the weight versions that may generate its texts."""
        is_single = route is not None and route.is_single_version
        return texts.Bounds(self.batch.min_version, is_single)

    def due_at(self, route: policy.Route | None) -> float:
        """Return when its results are due at the reader, in seconds of `clock.now`."""
        seconds = route.result_deadline_seconds if route is not None else 0.0
        return self.submitted_at + (seconds or urgency.DEFAULT_DEADLINE_SECONDS)

    def done_by(self, route: policy.Route | None) -> float:
        """Return when its last item has to finish, in seconds of `clock.now`."""
        return self.due_at(route) - urgency.READ_SECONDS


def route_of(batch: model.Batch, routes: policy.RouteTable) -> policy.Route | None:
    """Return the current route of a batch's items; None: there is none."""
    path = batch.items[0].target.partition("?")[0]
    return routes.find(batch.host, path)


class OpenBatches:
    """All open batches, and the texts of ended ones that they may reuse."""

    def __init__(self) -> None:
        self._open_by_id: dict[str, OpenBatch] = {}
        self._reusable = reusable.ReusableWork()

    def open_batches(self) -> list[OpenBatch]:
        """Return the open batches, the oldest first."""
        return list(self._open_by_id.values())

    def open(self, kept: model.KeptBatch, submitted_at: float) -> OpenBatch:
        """Add a batch; its items continue from what is stored or reusable of them."""
        batch = kept.decode()
        finished = kept.finished_ids()
        runs = {}
        resubmitted_groups = set()
        for item in batch.items:
            group_key = (batch.batch_id, item.group or item.item_id)
            run = lifecycle.ItemRun(item, group_key)
            if item.item_id in finished:
                run.finish()
            else:
                self._resume(run, kept, batch)
            if self._reusable.was_in_incomplete_group(batch.account, item.item_id):
                resubmitted_groups.add(group_key)
            runs[item.item_id] = run
        spare = _spare_groups(batch, runs.values(), frozenset(resubmitted_groups))
        opened = OpenBatch(kept, batch, submitted_at, runs, spare)
        self._open_by_id[batch.batch_id] = opened
        return opened

    def _resume(
        self, run: lifecycle.ItemRun, kept: model.KeptBatch, batch: model.Batch
    ) -> None:
        """Set the state of an item from its stored or reusable text."""
        item_id = run.item.item_id
        unscored = kept.unscored_by_item_id.get(item_id)
        if unscored is not None:
            run.set_complete_text(unscored)
            return
        run.text = self._reusable.pop_text(batch, run.item) or texts.Text()
        source = "carried"
        progress = kept.progress_by_item_id.get(item_id)
        if progress is not None:
            run.text = texts.Text.of_progress(progress)
            source = "kept"
        if run.text.last_number is not None:
            eliot.log_message(
                message_type="batches:text-resumed",
                batch_id=kept.batch_id,
                item_id=item_id,
                source=source,
                n_events=len(run.text.parts),
                last_number=run.text.last_number,
                versions=sorted(run.text.versions),
            )

    def reusable_results(
        self, opened: OpenBatch, route: policy.Route | None
    ) -> list[model.Result]:
        """Return complete texts of earlier batches that the batch may reuse.

        Their items are marked as finished. Where a text still lacks its score, the item
        waits for the score instead.
        """
        bounds = opened.bounds(route)
        usable = []
        for run in opened.runs_by_item_id.values():
            if run.is_finished or run.unscored is not None:
                continue
            complete = self._reusable.find_complete(opened.batch, run.item, bounds)
            if complete is None:
                continue
            if run.item.is_finished_by(complete):
                run.finish()
            else:
                run.set_complete_text(complete)
            usable.append(complete)
        return usable

    def count_running(self) -> collections.Counter[str]:
        """Return the number of running items by account."""
        counts: collections.Counter[str] = collections.Counter()
        for opened in self._open_by_id.values():
            counts[opened.batch.account or ""] += sum(
                run.stage is lifecycle.Stage.GENERATING
                for run in opened.runs_by_item_id.values()
            )
        return counts

    def find(self, key: tuple[str, str]) -> tuple[OpenBatch, lifecycle.ItemRun] | None:
        """Return a batch and one of its items; None: the batch is not open."""
        opened = self._open_by_id.get(key[0])
        return (opened, opened.runs_by_item_id[key[1]]) if opened else None

    def mark_finished(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Mark items whose results are committed as finished."""
        opened = self._open_by_id.get(batch_id)
        for item_id in item_ids:
            if opened is not None and item_id in opened.runs_by_item_id:
                opened.runs_by_item_id[item_id].finish()

    def close(self, batch_id: str) -> OpenBatch | None:
        """Remove and return a batch that has ended; None: it is not open."""
        opened = self._open_by_id.pop(batch_id, None)
        if opened is not None:
            opened.is_ended = True
        return opened

    def remember_closed(self, closed: OpenBatch) -> None:
        """Remember the reusable texts of a batch whose runs were cancelled."""
        self.remember(closed.batch, closed.kept)
        self._reusable.remember_runs(closed.batch, closed.runs_by_item_id.values())

    def remember(self, batch: model.Batch, kept: model.KeptBatch) -> None:
        """Remember the reusable complete texts of an ended batch."""
        self._reusable.remember(batch, kept)

    def of_model(self, model_name: str) -> list[OpenBatch]:
        """Return the open batches of a model."""
        return [
            each for each in self._open_by_id.values() if each.batch.model == model_name
        ]


def _spare_groups(
    batch: model.Batch,
    runs: Iterable[lifecycle.ItemRun],
    resubmitted: frozenset[urgency.GroupKey],
) -> frozenset[urgency.GroupKey]:
    longest_by_group: dict[urgency.GroupKey, int] = {}
    for run in runs:
        n_tokens = run.n_expected_output_tokens()
        longest = longest_by_group.get(run.group_key, 0)
        longest_by_group[run.group_key] = max(longest, n_tokens)
    return urgency.spare_groups(longest_by_group, resubmitted, batch.n_wanted_groups)


def waiting_item(
    opened: OpenBatch,
    run: lifecycle.ItemRun,
    route: policy.Route,
    pace: urgency.Pace,
    served_versions: Collection[int],
    is_suspected: bool,
    now: float,
    precedence: policy.Precedence | None = None,
) -> scheduling.WaitingItem:
    """Return the data by which an item is assigned to an engine.

    `served_versions` are the versions of the item's model that some engine serves.
    """
    batch = opened.batch
    is_running = run.stage is lifecycle.Stage.GENERATING
    is_single = route.is_single_version and not is_running
    if is_single and not run.text.versions <= set(served_versions):
        # No engine serves the text's version any more, so none could resume it.
        run.text.clear()
    seconds = pace.remaining_seconds(
        run.n_expected_output_tokens(), len(run.text.parts)
    )
    if run.item.scoring is not None:
        seconds += pace.scoring_seconds
    done_by = opened.done_by(route)
    only_version = None
    if route.is_single_version and run.text.versions:
        only_version = max(run.text.versions)
    return scheduling.WaitingItem(
        (batch.batch_id, run.item.item_id),
        run.group_key,
        done_by - seconds,
        done_by - seconds * urgency.MIN_TIME_SHARE,
        run.group_key in opened.spare_groups,
        batch.model,
        batch.min_version,
        opened.services(route),
        run.need(pace.tokens_per_event),
        run.excluded_ids(now),
        only_version,
        done_by,
        is_suspected,
        precedence or policy.Precedence(),
        batch.account or "",
        n_events=n_events_left(run, pace),
    )


def n_events_left(run: lifecycle.ItemRun, pace: urgency.Pace) -> float:
    """Return the expected number of events that an item will still generate."""
    n_expected = run.n_expected_output_tokens()
    return pace.remaining_events(n_expected, len(run.text.parts))


@attrs.frozen
class MovableRun:
    """A running item that ends earlier at a faster engine."""

    opened: OpenBatch
    run: lifecycle.ItemRun
    source: moves.Source
    # See `scheduling.WaitingItem`.
    max_event_seconds: float

    @property
    def key(self) -> tuple[str, str]:
        """Ids of the batch and the item."""
        return self.opened.batch.batch_id, self.run.item.item_id


def movable_runs(
    open_work: OpenBatches,
    sources_by_id: Mapping[str, moves.Source],
    pace: urgency.Pace,
) -> list[MovableRun]:
    """Return the items to consider for a move from the given engines."""
    at_slow, at_slower = [], []
    for opened in open_work.open_batches():
        for run in opened.runs_by_item_id.values():
            source = sources_by_id.get(run.engine_id)
            if source is None or run.n_moves >= moves.MAX_MOVES:
                continue
            n_events = n_events_left(run, pace)
            limit = moves.max_target_seconds(n_events, source)
            if not limit:
                continue
            movable = MovableRun(opened, run, source, limit)
            if source.is_slow:
                at_slow.append(movable)
            else:
                at_slower.append((n_events * source.event_seconds, movable))
    return [*at_slow, *moves.longest_first(at_slower)]
