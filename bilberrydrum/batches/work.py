"""The open batches and how far each item is, in the runner's memory."""

import collections
from collections.abc import Collection, Iterable, Iterator
from typing import Final

import attrs
import eliot

from bilberrydrum.batches import (
    carried,
    lifecycle,
    model,
    scheduling,
    scoring,
    texts,
    urgency,
)
from bilberrydrum.fleet import policy

# Pause before an item that was turned away is sent again, in seconds: a place at an
# engine comes free every 20 to 50 ms.
REJECTED_PAUSE_SECONDS: Final = 0.1


@attrs.define(eq=False)
class OpenBatch:
    """One batch that has not ended."""

    kept: model.KeptBatch
    batch: model.Batch
    # When it was submitted, in seconds of `clock.now`.
    submitted_at: float
    runs_by_item_id: dict[str, lifecycle.ItemRun]
    # Groups that the trainer does not wait for.
    spare_groups: frozenset[urgency.GroupKey] = frozenset()
    is_ended: bool = False

    def waiting_runs(self) -> Iterator[lifecycle.ItemRun]:
        """Yield the items that wait for an engine."""
        return self._in_stage(lifecycle.Stage.WAITING)

    def unscored_runs(self) -> Iterator[lifecycle.ItemRun]:
        """Yield the items whose scoring request is to be made."""
        return self._in_stage(lifecycle.Stage.UNSCORED)

    def _in_stage(self, stage: lifecycle.Stage) -> Iterator[lifecycle.ItemRun]:
        for run in self.runs_by_item_id.values():
            if run.stage is stage:
                yield run

    def unscored(
        self, run: lifecycle.ItemRun, route: policy.Route | None
    ) -> scoring.Unscored:
        """Return what the order of scoring requests needs to know of an item."""
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

    def take_progress(self, min_events: int) -> list[texts.Save]:
        """Return what is to be kept of the items that run.

        `min_events` is the least number of new events that is worth keeping.
        """
        taken = []
        for item_id, run in self.runs_by_item_id.items():
            n_new = len(run.text.parts) - run.text.n_taken
            if run.is_finished or n_new < min_events:
                continue
            progress = run.text.take_progress(item_id)
            if progress is not None:
                taken.append(progress)
        return taken

    def n_expected_output_tokens(self) -> int:
        """Return the tokens that are likely to be generated for the whole batch."""
        runs = self.runs_by_item_id.values()
        return sum(each.n_expected_output_tokens() for each in runs)

    def route(self, routes: policy.RouteTable) -> policy.Route | None:
        """Return the route that its items go by now; None: it was dropped."""
        path = self.batch.items[0].target.partition("?")[0]
        return routes.find(self.batch.host, path)

    def give_up_at(self, route: policy.Route | None) -> float:
        """Return when its items may be given up, in seconds of `clock.now`."""
        if route is None or not route.max_queue_seconds:
            return float("inf")
        return self.submitted_at + route.max_queue_seconds

    def bounds(self, route: policy.Route | None) -> texts.Bounds:
        """Return the weight versions that its texts may come from."""
        is_single = route is not None and route.is_single_version
        return texts.Bounds(self.batch.min_version, is_single)

    def due_at(self, route: policy.Route | None) -> float:
        """Return when its results have to be there, in seconds of `clock.now`."""
        seconds = route.result_deadline_seconds if route is not None else 0.0
        return self.submitted_at + (seconds or urgency.UNBOUNDED_SECONDS)

    def done_by(self, route: policy.Route | None) -> float:
        """Return when its last item has to be done, in seconds of `clock.now`."""
        return self.due_at(route) - urgency.READ_SECONDS


class Work:
    """All open batches, and what is left of ended ones that can still be used."""

    def __init__(self) -> None:
        self._open_by_id: dict[str, OpenBatch] = {}
        self._carried = carried.CarriedOver()

    def open_batches(self) -> list[OpenBatch]:
        """Return the open batches, the oldest first."""
        return list(self._open_by_id.values())

    def open(self, kept: model.KeptBatch, submitted_at: float) -> OpenBatch:
        """Begin to run a batch."""
        batch = kept.decode()
        finished = kept.finished_ids()
        runs = {}
        left_groups = set()
        for item in batch.items:
            group_key = (batch.batch_id, item.group or item.item_id)
            run = lifecycle.ItemRun(item, group_key)
            if item.item_id in finished:
                run.finish()
            else:
                self._resume(run, kept, batch)
            if self._carried.is_left(batch.account, item.item_id):
                left_groups.add(group_key)
            runs[item.item_id] = run
        spare = _spare_groups(batch, runs.values(), frozenset(left_groups))
        opened = OpenBatch(kept, batch, submitted_at, runs, spare)
        self._open_by_id[batch.batch_id] = opened
        return opened

    def _resume(
        self, run: lifecycle.ItemRun, kept: model.KeptBatch, batch: model.Batch
    ) -> None:
        """Go on from what there is of an item."""
        item_id = run.item.item_id
        unscored = kept.unscored_by_item_id.get(item_id)
        if unscored is not None:
            run.take_whole_text(unscored)
            return
        run.text = self._carried.take_text(batch, run.item) or texts.Text()
        source = "carried"
        progress = kept.progress_by_item_id.get(item_id)
        if progress is not None:
            run.text = texts.Text.of_progress(progress)
            source = "kept"
        if run.text.last_number is not None:
            eliot.log_message(
                message_type="batches:text-taken-up",
                batch_id=kept.batch_id,
                item_id=item_id,
                source=source,
                n_events=len(run.text.parts),
                last_number=run.text.last_number,
                versions=sorted(run.text.versions),
            )

    def carried_results(
        self, opened: OpenBatch, route: policy.Route | None
    ) -> list[model.Result]:
        """Return whole texts of earlier batches that the batch may use.

        Those of items to be scored may have no score; their runs wait for it.
        """
        bounds = opened.bounds(route)
        usable = []
        for run in opened.runs_by_item_id.values():
            if run.is_finished or run.unscored is not None:
                continue
            whole = self._carried.find_whole(opened.batch, run.item, bounds)
            if whole is None:
                continue
            if run.item.is_settled_by(whole):
                run.finish()
            else:
                run.take_whole_text(whole)
            usable.append(whole)
        return usable

    def count_running(self) -> collections.Counter[str]:
        """Return how many items run, by the account that they belong to."""
        counts: collections.Counter[str] = collections.Counter()
        for opened in self._open_by_id.values():
            counts[opened.batch.account or ""] += sum(
                run.stage is lifecycle.Stage.GENERATING
                for run in opened.runs_by_item_id.values()
            )
        return counts

    def find(self, key: tuple[str, str]) -> tuple[OpenBatch, lifecycle.ItemRun] | None:
        """Return a batch and an item of it; None: the batch is not open."""
        opened = self._open_by_id.get(key[0])
        return (opened, opened.runs_by_item_id[key[1]]) if opened else None

    def finished(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Note items whose results are committed."""
        opened = self._open_by_id.get(batch_id)
        for item_id in item_ids:
            if opened is not None and item_id in opened.runs_by_item_id:
                opened.runs_by_item_id[item_id].finish()

    def close(self, batch_id: str) -> OpenBatch | None:
        """Take a batch that has ended out of the open ones; None: it is not open."""
        opened = self._open_by_id.pop(batch_id, None)
        if opened is not None:
            opened.is_ended = True
        return opened

    def remember_closed(self, closed: OpenBatch) -> None:
        """Remember what a later batch may use of one whose runs are broken off."""
        self.remember(closed.batch, closed.kept)
        self._carried.remember_runs(closed.batch, closed.runs_by_item_id.values())

    def remember(self, batch: model.Batch, kept: model.KeptBatch) -> None:
        """Remember what an ended batch has left."""
        self._carried.remember(batch, kept)

    def of_model(self, model_name: str) -> list[OpenBatch]:
        """Return the open batches of a model's trainer."""
        return [
            each for each in self._open_by_id.values() if each.batch.model == model_name
        ]


def _spare_groups(
    batch: model.Batch,
    runs: Iterable[lifecycle.ItemRun],
    carried: frozenset[urgency.GroupKey],
) -> frozenset[urgency.GroupKey]:
    longest_by_group: dict[urgency.GroupKey, int] = {}
    for run in runs:
        n_tokens = run.n_expected_output_tokens()
        longest = longest_by_group.get(run.group_key, 0)
        longest_by_group[run.group_key] = max(longest, n_tokens)
    return urgency.spare_groups(longest_by_group, carried, batch.n_wanted_groups)


def waiting_item(
    opened: OpenBatch,
    run: lifecycle.ItemRun,
    route: policy.Route,
    pace: urgency.Pace,
    served_versions: Collection[int],
    is_doubtful: bool,
    now: float,
    precedence: policy.Precedence | None = None,
) -> scheduling.WaitingItem:
    """Return what the choice of an engine needs to know of an item.

    `served_versions` are those of its model that some engine has.
    """
    batch = opened.batch
    is_running = run.stage is lifecycle.Stage.GENERATING
    is_single = route.is_single_version and not is_running
    if is_single and not run.text.versions <= set(served_versions):
        # All engines have left the text's version behind: nobody could go on with it.
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
        done_by - seconds * urgency.SURE_SHARE,
        run.group_key in opened.spare_groups,
        batch.model,
        batch.min_version,
        frozenset(route.services()),
        run.n_expected_tokens(),
        run.excluded_ids(now),
        only_version,
        done_by,
        is_doubtful,
        precedence or policy.Precedence(),
        batch.account or "",
    )
