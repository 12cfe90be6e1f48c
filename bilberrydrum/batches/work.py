"""The open batches and how far each item is, in the runner's memory."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Final

import attrs

from bilberrydrum.batches import item_run, model, scheduling, urgency
from bilberrydrum.fleet import policy

# Pause before an item that was turned away is sent again, in seconds: a place at an
# engine comes free every 20 to 50 ms.
REJECTED_PAUSE_SECONDS: Final = 0.1
# An item does not go back to an engine that it failed at for this long, in seconds, if
# that engine is the only one; others take it at once.
EXCLUDED_SECONDS: Final = 1.0
# Unfinished texts, and results, that are remembered for later batches with the same
# items: those of the last few steps.
_MAX_REMEMBERED_TEXTS: Final = 400
# The newest version is known this long after the step that was handed in with it.
LAG_SECONDS: Final = 0.3
# Ids of items in groups that were not complete: those of the last few steps.
_MAX_REMEMBERED_IDS: Final = 4_000


@attrs.define(eq=False)
class ItemRun:
    """One item of an open batch."""

    item: model.Item
    group_key: tuple[str, str]
    text: item_run.Text = attrs.field(factory=item_run.Text)
    is_running: bool = False
    is_done: bool = False
    # Runs that the engine ended with a failure of its own.
    n_failures: int = 0
    not_before: float = float("-inf")
    # The engine that the last attempt failed at, and how long it is passed over.
    excluded_id: str = ""
    excluded_until: float = float("-inf")
    # The engine that it runs at; empty: none.
    engine_id: str = ""
    # Times that it was taken away from a slow engine.
    n_moves: int = 0

    def exclude(self, engine_id: str, now: float) -> None:
        """Pass over an engine for a while.

        For a while only: it may be the one engine that serves the version asked for.
        """
        self.excluded_id = engine_id
        self.excluded_until = now + EXCLUDED_SECONDS

    def excluded_ids(self, now: float) -> frozenset[str]:
        """Return the engines that are passed over now."""
        if self.excluded_id and now < self.excluded_until:
            return frozenset({self.excluded_id})
        return frozenset()

    def n_expected_tokens(self) -> int:
        """Return the tokens that the item is likely to take."""
        return self.item.n_expected_tokens or self.item.n_tokens

    def n_expected_output_tokens(self) -> int:
        """Return the tokens that are likely to be generated."""
        return self.item.n_expected_output_tokens or self.item.n_tokens


@attrs.define(eq=False)
class OpenBatch:
    """One batch that has not ended."""

    kept: model.KeptBatch
    batch: model.Batch
    # When it was submitted, in seconds of `clock.now`.
    submitted_at: float
    runs_by_item_id: dict[str, ItemRun]
    # Groups that the trainer does not wait for.
    spare_groups: frozenset[urgency.GroupKey] = frozenset()
    is_ended: bool = False

    def waiting_runs(self) -> Iterator[ItemRun]:
        """Yield the items that neither run nor are done."""
        for run in self.runs_by_item_id.values():
            if not run.is_done and not run.is_running:
                yield run

    def take_progress(self, min_events: int) -> list[model.Progress]:
        """Return what is to be kept of the items that run.

        `min_events` is the least number of new events that is worth keeping.
        """
        taken = []
        for item_id, run in self.runs_by_item_id.items():
            n_new = len(run.text.parts) - run.text.n_taken
            if run.is_done or n_new < min_events:
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

    def bounds(self, route: policy.Route | None) -> item_run.Bounds:
        """Return the weight versions that its texts may come from."""
        is_single = route is not None and route.is_single_version
        return item_run.Bounds(self.batch.min_version, is_single)

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
        # By item id: the same items may come again in a later batch.
        self._results_by_item_id: dict[str, model.Result] = {}
        self._texts_by_item_id: dict[str, item_run.Text] = {}
        # Items of groups that were not complete, begun or not; the oldest first.
        self._left_ids: dict[str, None] = {}

    def open_batches(self) -> list[OpenBatch]:
        """Return the open batches, the oldest first."""
        return list(self._open_by_id.values())

    def open(self, kept: model.KeptBatch, submitted_at: float) -> OpenBatch:
        """Begin to run a batch."""
        batch = kept.decode()
        finished = kept.finished_ids()
        runs = {}
        carried = set()
        for item in batch.items:
            group_key = (batch.batch_id, item.group or item.item_id)
            run = ItemRun(item, group_key, is_done=item.item_id in finished)
            text = self._texts_by_item_id.pop(item.item_id, None)
            if text is not None and not run.is_done:
                run.text = text
                run.text.n_taken = 0
            progress = kept.progress_by_item_id.get(item.item_id)
            if progress is not None and not run.is_done:
                run.text = item_run.Text.of_progress(progress)
            if item.item_id in self._left_ids:
                carried.add(group_key)
            runs[item.item_id] = run
        spare = _spare_groups(batch, runs.values(), frozenset(carried))
        opened = OpenBatch(kept, batch, submitted_at, runs, spare)
        self._open_by_id[batch.batch_id] = opened
        return opened

    def carried_results(
        self, opened: OpenBatch, route: policy.Route | None
    ) -> list[model.Result]:
        """Return earlier results that the batch may use; their items are done."""
        bounds = opened.bounds(route)
        usable = []
        for item_id, run in opened.runs_by_item_id.items():
            result = self._results_by_item_id.get(item_id)
            if run.is_done or result is None or not result.versions:
                continue
            is_single = len(result.versions) == 1 or not bounds.is_single
            if is_single and min(result.versions) >= bounds.min_version:
                run.is_done = True
                usable.append(result)
        return usable

    def find(self, key: tuple[str, str]) -> tuple[OpenBatch, ItemRun]:
        """Return a batch and an item of it."""
        opened = self._open_by_id[key[0]]
        return opened, opened.runs_by_item_id[key[1]]

    def finished(self, batch_id: str, results: Iterable[model.Result]) -> None:
        """Note results that are committed."""
        opened = self._open_by_id.get(batch_id)
        for result in results:
            if opened is not None and result.item_id in opened.runs_by_item_id:
                run = opened.runs_by_item_id[result.item_id]
                run.is_done = True
                # The result has it; kept twice, texts were a third of the memory.
                run.text = item_run.Text()

    def end(self, batch_id: str) -> None:
        """Forget a batch that has ended, but for what a later one may use."""
        opened = self._open_by_id.pop(batch_id, None)
        if opened is None:
            return
        opened.is_ended = True
        self.remember(opened.batch, opened.kept)
        for item_id, run in opened.runs_by_item_id.items():
            if run.text.parts and not run.is_done:
                self._texts_by_item_id[item_id] = run.text
        while len(self._texts_by_item_id) > _MAX_REMEMBERED_TEXTS:
            del self._texts_by_item_id[next(iter(self._texts_by_item_id))]

    def remember(self, batch: model.Batch, kept: model.KeptBatch) -> None:
        """Remember what there is of groups that were not complete.

        Their trainer waits for such a group when it comes again, also if none of its
        items had begun.
        """
        finished = {each.item_id: each for each in kept.results}
        groups: dict[str, list[str]] = {}
        for item in batch.items:
            groups.setdefault(item.group or item.item_id, []).append(item.item_id)
        for item_ids in groups.values():
            if all(each in finished for each in item_ids):
                continue
            for item_id in item_ids:
                self._left_ids[item_id] = None
                result = finished.get(item_id)
                if result and result.state is model.ItemState.COMPLETED:
                    self._results_by_item_id[item_id] = result
        while len(self._results_by_item_id) > _MAX_REMEMBERED_TEXTS:
            del self._results_by_item_id[next(iter(self._results_by_item_id))]
        while len(self._left_ids) > _MAX_REMEMBERED_IDS:
            del self._left_ids[next(iter(self._left_ids))]

    def of_model(self, model_name: str) -> list[OpenBatch]:
        """Return the open batches of a model's trainer."""
        return [
            each for each in self._open_by_id.values() if each.batch.model == model_name
        ]


def _spare_groups(
    batch: model.Batch,
    runs: Iterable[ItemRun],
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
    run: ItemRun,
    route: policy.Route,
    pace: urgency.Pace,
    served_versions: Collection[int],
    now: float,
) -> scheduling.WaitingItem:
    """Return what the choice of an engine needs to know of an item.

    `served_versions` are those of its model that some engine has.
    """
    batch = opened.batch
    is_single = route.is_single_version and not run.is_running
    if is_single and not run.text.versions <= set(served_versions):
        # All engines have left the text's version behind: nobody could go on with it.
        run.text.clear()
    seconds = pace.remaining_seconds(
        run.n_expected_output_tokens(), len(run.text.parts)
    )
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
    )


class Demand:
    """How much work each model's trainer has asked for lately."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._noted: list[tuple[float, str, float]] = []

    def note(self, model_name: str, amount: float, now: float) -> None:
        """Note work that was asked for."""
        self._noted.append((now, model_name, amount))

    def by_model(self, models: Sequence[str], now: float) -> dict[str, float]:
        """Return the demand of the last window by model, those without included."""
        since = now - self._window_seconds
        self._noted = [each for each in self._noted if each[0] >= since]
        demand = dict.fromkeys(models, 0.0)
        for _, model_name, amount in self._noted:
            if model_name in demand:
                demand[model_name] += amount
        return demand


class NamedVersions:
    """When versions were named, and how old a version a model's steps allow."""

    def __init__(self) -> None:
        self._versions_by_model: dict[str, int] = {}
        self._named_at_by_model: dict[str, float] = {}
        self._lags_by_model: dict[str, int] = {}
        # Oldest version that the newest step allows, and when the step came.
        self._new_steps_by_model: dict[str, tuple[int, float]] = {}

    def note(self, versions_by_model: Mapping[str, int], now: float) -> None:
        """Take in the newest versions."""
        for name, version in versions_by_model.items():
            if self._versions_by_model.get(name) != version:
                self._versions_by_model[name] = version
                self._named_at_by_model[name] = now
        for name, (min_version, came_at) in list(self._new_steps_by_model.items()):
            if now - came_at >= LAG_SECONDS:
                newest = self._versions_by_model.get(name, min_version)
                self._lags_by_model[name] = max(newest - min_version, 0)
                del self._new_steps_by_model[name]

    def note_step(self, model_name: str, min_version: int, now: float) -> None:
        """Take in the oldest version that a new step allows.

        Its trainer has named a version just before. The news of that takes another
        way and may come after the step, so the two are compared a little later.
        """
        self._new_steps_by_model[model_name] = (min_version, now)

    def named_at(self, model_name: str) -> float:
        """Return when the newest version was heard of; long ago if it is not known."""
        return self._named_at_by_model.get(model_name, float("-inf"))

    def lag(self, model_name: str) -> int:
        """Return by how many versions an engine may be behind; 0: not known."""
        return self._lags_by_model.get(model_name, 0)
