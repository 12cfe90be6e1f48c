"""Trainers' steps on engines, their scoring requests, and look-ups beside them."""

import functools
import math
from collections.abc import Callable
from typing import Final

import attrs
import numpy as np

from bilberrydrum.batches import scheduling, scoring, urgency
from simulation import events, load, service


@attrs.define(eq=False)
class _Item:
    key: tuple[str, str]
    group_key: tuple[str, str]
    n_events: int
    n_expected: int
    n_made: int = 0
    began_at: float = 0.0
    ended_at: float = 0.0
    is_finished: bool = False


# What a late group is worth, as a share of one that is in time.
LATE_SHARE: Final = 0.4


@attrs.define(eq=False)
class _Step:
    came_at: float
    model: str
    items: list[_Item]
    n_wanted: int
    spare_groups: frozenset[tuple[str, str]]
    batch_id: str
    # Ends the step; set where trainers wait for their steps.
    end: Callable[[], None] | None = None
    # Moments at which groups were whole, in their order.
    whole_at: list[float] = attrs.field(factory=list)
    is_over: bool = False

    def group(self, key: tuple[str, str]) -> list[_Item]:
        return [each for each in self.items if each.group_key == key]


class Simulation:
    """One run of a load under a policy."""

    def __init__(self, given: load.Load, policy: load.Policy, seed: int) -> None:
        self._load = given
        self._policy = policy
        self._rng = np.random.default_rng(seed)
        self._loop = events.Loop()
        self._service = service.Service(self._loop, given, self._rng)
        self._leader = self._service.balancer(0)
        self._gateways = [
            self._service.balancer(n) for n in range(1, given.n_gateways + 1)
        ]
        self._running: list[list[_Item]] = [[] for _ in range(given.n_engines)]
        # Engines whose next event is due; each has one such moment at a time.
        self._going: set[int] = set()
        self._waiting: dict[tuple[str, str], tuple[_Step, _Item]] = {}
        self._unscored: dict[tuple[str, str], tuple[_Step, _Item]] = {}
        self._steps_by_batch: dict[str, _Step] = {}
        self._n_scoring = 0
        self._n_steps = 0
        self._is_out = False
        self._pace = urgency.Pace()
        self.figures = load.Figures()

    def run(self, n_steps: int) -> load.Figures:
        """Run so many steps of each trainer, and return what was seen."""
        self._n_steps = n_steps
        for number in range(len(self._load.trainers)):
            is_closed = self._load.training_seconds is not None
            # The first two steps are asked for without waiting for one before.
            for step in range(2 if is_closed else n_steps):
                self._plan_step(number, step)
        if self._load.outage_seconds:
            self._loop.after(self._load.outage_at, self._stop_engines)
        self._loop.after(0.0, self._look_up)
        end = n_steps * self._load.step_seconds
        self._loop.run_until(end + 2 * self._load.due_seconds)
        return self.figures

    # Steps

    def _plan_step(self, number: int, step: int) -> None:
        """Have a step asked for at its time, or now if that is past."""
        due = step * self._load.step_seconds
        is_in_time = self._loop.now < self._n_steps * self._load.step_seconds
        if step < self._n_steps and is_in_time:
            begin = functools.partial(self._begin_step, number, step)
            self._loop.after(max(due - self._loop.now, 0.0), begin)

    def _begin_step(self, number: int, step: int) -> None:
        trainer = self._load.trainers[number]
        self.figures.n_steps_begun += 1
        batch_id = f"m{number}-{step}"
        items = [
            self._make_item(batch_id, group, n, trainer)
            for group in range(trainer.n_groups)
            for n in range(trainer.group_size)
        ]
        longest: dict[tuple[str, str], int] = {}
        for each in items:
            known = longest.get(each.group_key, 0)
            longest[each.group_key] = max(known, each.n_expected)
        n_wanted = math.ceil(self._load.wanted_share * trainer.n_groups)
        n_first = n_wanted if self._policy.has_spare_groups else 0
        spare = urgency.spare_groups(longest, frozenset(), n_first)
        begun = _Step(self._loop.now, f"m{number}", items, n_wanted, spare, batch_id)
        self._steps_by_batch[batch_id] = begun
        for each in items:
            self._waiting[each.key] = (begun, each)
        check = functools.partial(self._count_late, begun)
        self._loop.after(self._load.due_seconds, check)
        if self._load.training_seconds is not None:
            give_up = functools.partial(self._end_step, begun, number, step)
            self._loop.after(self._load.give_up_seconds, give_up)
            begun.end = give_up
        self._assign()

    def _end_step(self, step: _Step, number: int, index: int) -> None:
        """Let the trainer read what is there, train and ask for a later step."""
        if step.is_over:
            return
        step.is_over = True
        due = step.came_at + self._load.due_seconds
        for at in step.whole_at[: step.n_wanted]:
            self.figures.earned += 1.0 if at <= due else LATE_SHARE
        for item in step.items:
            self._waiting.pop(item.key, None)
            self._unscored.pop(item.key, None)
        for running in self._running:
            running[:] = [each for each in running if each.key[0] != step.batch_id]
        training = self._load.training_seconds
        assert training is not None
        plan = functools.partial(self._plan_step, number, index + 2)
        self._loop.after(training, plan)

    def _make_item(
        self, batch_id: str, group: int, n: int, trainer: load.Trainer
    ) -> _Item:
        drawn = service.lognormal(self._rng, trainer.n_events, trainer.spread)
        if self._rng.random() < trainer.long_share:
            drawn *= trainer.long_factor
        n_events = max(1, round(min(drawn, trainer.n_events * trainer.most_events)))
        error = float(self._rng.normal(0.0, self._load.estimate_spread))
        return _Item(
            (batch_id, f"{group}-{n}"),
            (batch_id, str(group)),
            n_events,
            max(1, round(n_events * math.exp(error))),
        )

    def _count_late(self, step: _Step) -> None:
        self.figures.n_late_groups += max(step.n_wanted - len(step.whole_at), 0)

    # Engines: each belongs to one model, and makes an event of all its items at a time.

    def _stop_engines(self) -> None:
        """Everything that runs is broken off; what was made of it stands."""
        self._is_out = True
        for running in self._running:
            for item in running:
                step = self._steps_by_batch[item.key[0]]
                self._waiting[item.key] = (step, item)
            running.clear()
        self._loop.after(self._load.outage_seconds, self._start_engines)

    def _start_engines(self) -> None:
        self._is_out = False
        self._assign()

    def _assign(self) -> None:
        if self._is_out:
            return
        now = self._loop.now
        items = [self._waiting_item(*each) for each in self._waiting.values()]
        places = [self._place(n) for n in range(self._load.n_engines)]
        for each in scheduling.assign(items, places, now):
            _, item = self._waiting.pop(each.key)
            engine = int(each.engine_id)
            item.began_at = now
            self._running[engine].append(item)
            self._go_on(engine)

    def _waiting_item(self, step: _Step, item: _Item) -> scheduling.WaitingItem:
        policy = self._policy
        seconds = self._pace.remaining_seconds(item.n_expected, item.n_made)
        seconds += self._pace.scoring_seconds
        done_by = step.came_at + self._load.due_seconds - urgency.READ_SECONDS
        order = done_by if policy.has_old_steps_first else 0.0
        late_at = done_by - seconds * urgency.MIN_TIME_SHARE
        return scheduling.WaitingItem(
            item.key,
            item.group_key,
            done_by - seconds if policy.has_start_by else step.came_at,
            late_at if policy.has_tiers else math.inf,
            item.group_key in step.spare_groups,
            step.model,
            0,
            frozenset({"engines"}),
            done_by=order,
        )

    def _place(self, engine: int) -> scheduling.EngineCapacity:
        n_models = len(self._load.trainers)
        versions = {f"m{n}": 0 for n in range(n_models)}
        running = self._running[engine]
        models = {f"m{engine % n_models}"} if self._policy.has_shares else set(versions)
        return scheduling.EngineCapacity(
            str(engine),
            "engines",
            self._load.n_places,
            len(running),
            versions,
            frozenset(models),
            group_keys={each.group_key for each in running},
        )

    def _go_on(self, engine: int) -> None:
        n_running = len(self._running[engine])
        if not n_running or engine in self._going:
            return
        self._going.add(engine)
        given = self._load
        seconds = given.event_seconds + given.crowding_seconds * (n_running - 1)
        self._loop.after(seconds, functools.partial(self._made_events, engine))

    def _made_events(self, engine: int) -> None:
        self._going.discard(engine)
        for item in list(self._running[engine]):
            item.n_made += 1
            if item.n_made >= item.n_events:
                self._running[engine].remove(item)
                self._made_whole(item)
        self._assign()
        self._go_on(engine)

    # Scoring

    def _made_whole(self, item: _Item) -> None:
        item.ended_at = self._loop.now
        seconds = item.ended_at - item.began_at
        self._pace.record(item.n_expected, item.n_events, seconds)
        self._unscored[item.key] = (self._steps_by_batch[item.key[0]], item)
        self._score()

    def _score(self) -> None:
        slots = [each.n_slots for each in self._service.described]
        n_places = scoring.max_concurrent(slots, self._policy.n_reserved_slots)
        candidates = [
            scoring.Unscored(
                item.key,
                item.group_key in step.spare_groups,
                self._n_missing(step, item),
                item.ended_at + self._load.due_seconds,
            )
            for step, item in self._unscored.values()
        ]
        for each in scoring.choose(candidates, n_places - self._n_scoring):
            step, item = self._unscored.pop(each.key)
            self._n_scoring += 1
            done = functools.partial(self._scored, step, item)
            self._service.send(self._leader, self._load.scoring_seconds, done)

    def _n_missing(self, step: _Step, item: _Item) -> int:
        if not self._policy.has_scoring_order:
            return 0
        return sum(1 for each in step.group(item.group_key) if not each.is_finished)

    def _scored(self, step: _Step, item: _Item, seconds: float) -> None:
        self._n_scoring -= 1
        item.is_finished = True
        self._pace.record_scoring(seconds)
        self.figures.scoring_seconds.append(self._loop.now - item.ended_at)
        self._note_whole(step, item)
        self._score()

    def _note_whole(self, step: _Step, item: _Item) -> None:
        if not all(each.is_finished for each in step.group(item.group_key)):
            return
        step.whole_at.append(self._loop.now)
        if len(step.whole_at) == step.n_wanted:
            self.figures.step_seconds.append(self._loop.now - step.came_at)
            if step.end is not None:
                step.end()

    # Look-ups

    def _look_up(self) -> None:
        gateway = self._gateways[int(self._rng.integers(len(self._gateways)))]
        note = self.figures.look_up_seconds.append
        self._service.send(gateway, self._load.look_up_seconds, note)
        pause = float(self._rng.exponential(1 / self._load.look_ups_per_second))
        self._loop.after(pause, self._look_up)
