"""Simulate trainers' steps on engines, their scoring requests, and other look-ups."""

import functools
import math
from collections.abc import Callable
from typing import Final

import attrs
import numpy as np

from bilberrydrum.batches import (
    engine_divider,
    engine_shares,
    engines,
    model,
    moves,
    scheduling,
    scoring,
    urgency,
)
from bilberrydrum.fleet import model as fleet_model
from simulation import events, load, service


@attrs.define(eq=False)
class _Item:
    key: tuple[str, str]
    group_key: tuple[str, str]
    n_events: int
    n_expected: int
    n_generated: int = 0
    began_at: float = 0.0
    ended_at: float = 0.0
    is_scored: bool = False
    # Number of times that it was moved away from a slow engine.
    n_moves: int = 0


# Value of a late group, as a share of the value of a group in time.
LATE_SHARE: Final = 0.4


@attrs.define(eq=False)
class _Step:
    arrived_at: float
    trainer_index: int
    # The step as the service sees it.
    batch: model.Batch
    items: list[_Item]
    n_wanted: int
    spare_groups: frozenset[tuple[str, str]]
    # Ends the step; set only if trainers wait for their steps.
    end: Callable[[], None] | None = None
    # Times at which groups became complete, in ascending order.
    completed_at: list[float] = attrs.field(factory=list)
    is_over: bool = False

    @property
    def batch_id(self) -> str:
        return self.batch.batch_id

    def group(self, key: tuple[str, str]) -> list[_Item]:
        return [each for each in self.items if each.group_key == key]


class Simulation:
    """One simulated run of a load under a policy."""

    def __init__(self, workload: load.Load, policy: load.Policy, seed: int) -> None:
        self._load = workload
        self._policy = policy
        self._rng = np.random.default_rng(seed)
        self._loop = events.Loop()
        self._service = service.Service(self._loop, workload, self._rng)
        self._leader = self._service.balancer(0)
        self._gateways = [
            self._service.balancer(n) for n in range(1, workload.n_gateways + 1)
        ]
        self._running: list[list[_Item]] = [[] for _ in range(workload.n_engines)]
        # Engines whose next event is scheduled. An engine must have only one such call
        # at a time; otherwise it would generate several times as fast.
        self._scheduled: set[int] = set()
        self._waiting: dict[tuple[str, str], tuple[_Step, _Item]] = {}
        self._unscored: dict[tuple[str, str], tuple[_Step, _Item]] = {}
        self._steps_by_batch: dict[str, _Step] = {}
        self._n_scoring = 0
        self._n_steps = 0
        self._down: set[int] = set()
        self._pace = urgency.Pace()
        self._models = [f"m{n}" for n in range(len(workload.trainers))]
        self._engines = engines.Engines()
        for number in range(workload.n_engines):
            self._add_engine(number)
        self._divider = engine_divider.EngineDivider(self._pace)
        self._shares = engine_shares.Shares()
        # Times until which engines load weights of the model that they moved to.
        self._loading_until: dict[str, float] = {}
        self.figures = load.Figures()

    def run(self, n_steps: int) -> load.Figures:
        """Simulate `n_steps` steps of each trainer and return the results."""
        self._n_steps = n_steps
        for trainer_index in range(len(self._load.trainers)):
            is_closed = self._load.training_seconds is not None
            # A trainer that waits for its steps requests the first two at fixed times,
            # and each later one after the last but one has finished.
            for step in range(2 if is_closed else n_steps):
                self._plan_step(trainer_index, step)
        if self._load.outage_seconds:
            self._loop.call_later(self._load.outage_at, self._stop_engines)
        self._loop.call_later(0.0, self._look_up)
        end = n_steps * self._load.step_seconds
        self._loop.run_until(end + 2 * self._load.due_seconds)
        self._divider.stop()
        return self.figures

    # Steps

    def _plan_step(self, trainer_index: int, step: int) -> None:
        """Schedule a step at its time, or immediately if that time has passed."""
        due = step * self._load.step_seconds
        is_in_time = self._loop.now < self._n_steps * self._load.step_seconds
        if step < self._n_steps and is_in_time:
            begin = functools.partial(self._begin_step, trainer_index, step)
            self._loop.call_later(max(due - self._loop.now, 0.0), begin)

    def _begin_step(self, trainer_index: int, step: int) -> None:
        trainer = self._load.trainers[trainer_index]
        self.figures.n_steps_begun += 1
        lateness = self._loop.now - step * self._load.step_seconds
        self.figures.lateness_seconds.setdefault(trainer_index, []).append(lateness)
        batch_id = f"m{trainer_index}-{step}"
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
        batch = _batch_of(batch_id, step, self._models[trainer_index], items)
        begun = _Step(self._loop.now, trainer_index, batch, items, n_wanted, spare)
        self._divider.record_submission(batch, self._loop.now, spare)
        self._steps_by_batch[batch_id] = begun
        for each in items:
            self._waiting[each.key] = (begun, each)
        check = functools.partial(self._count_late, begun)
        self._loop.call_later(self._load.due_seconds, check)
        if self._load.training_seconds is not None:
            give_up = functools.partial(self._end_step, begun, trainer_index, step)
            self._loop.call_later(self._load.step_timeout_seconds, give_up)
            begun.end = give_up
        self._assign()

    def _end_step(self, step: _Step, trainer_index: int, index: int) -> None:
        """End a step: count its groups, drop its open items, schedule a later step."""
        if step.is_over:
            return
        step.is_over = True
        self._divider.record_end(step.batch, self._loop.now)
        due = step.arrived_at + self._load.due_seconds
        for at in step.completed_at[: step.n_wanted]:
            self.figures.earned += 1.0 if at <= due else LATE_SHARE
        for item in step.items:
            self._waiting.pop(item.key, None)
            self._unscored.pop(item.key, None)
        for running in self._running:
            running[:] = [each for each in running if each.key[0] != step.batch_id]
        training = self._load.training_seconds
        assert training is not None
        plan = functools.partial(self._plan_step, trainer_index, index + 2)
        self._loop.call_later(training, plan)

    def _make_item(
        self, batch_id: str, group: int, n: int, trainer: load.Trainer
    ) -> _Item:
        drawn = service.lognormal(self._rng, trainer.n_events, trainer.spread)
        if self._rng.random() < trainer.long_share:
            drawn *= trainer.long_factor
        n_events = max(
            1, round(min(drawn, trainer.n_events * trainer.max_events_factor))
        )
        error = float(self._rng.normal(0.0, self._load.estimate_spread))
        return _Item(
            (batch_id, f"{group}-{n}"),
            (batch_id, str(group)),
            n_events,
            max(1, round(n_events * math.exp(error))),
        )

    def _count_late(self, step: _Step) -> None:
        self.figures.n_late_groups += max(step.n_wanted - len(step.completed_at), 0)

    # Engines, each of which generates one event of all its items at a time

    def _add_engine(self, number: int) -> None:
        versions = dict.fromkeys(self._models, 0)
        upstream = fleet_model.FleetUpstream(
            str(number), "engines", "", "z", self._load.engine_capacity
        )
        added = engines.Engine(upstream)
        added.learn(versions)
        self._engines.by_id[str(number)] = added

    def _stop_engines(self) -> None:
        """Cancel the items of one zone, which keep the events generated so far."""
        self._down = set(range(0, self._load.n_engines, self._load.n_zones))
        for number in self._down:
            for item in self._running[number]:
                step = self._steps_by_batch[item.key[0]]
                self._waiting[item.key] = (step, item)
            self._running[number].clear()
            del self._engines.by_id[str(number)]
        self._loop.call_later(self._load.outage_seconds, self._start_engines)
        self._assign()

    def _start_engines(self) -> None:
        for number in self._down:
            self._add_engine(number)
        self._down = set()
        self._assign()

    def _divide(self) -> None:
        """Divide the engines anew; one that changes its model loads weights first."""
        if not self._policy.has_division:
            return
        now = self._loop.now
        shares = self._divider.step(self._engines, {}, now)
        for engine_id in self._engines.by_id:
            before = self._shares.models_of(engine_id)
            after = shares.models_of(engine_id)
            if before and before != after:
                self.figures.n_moved_engines += 1
                until = now + self._load.load_seconds
                self._loading_until[engine_id] = until
                self._loop.call_later(self._load.load_seconds, self._assign)
        self._shares = shares

    def _assign(self) -> None:
        self._divide()
        now = self._loop.now
        slow_ids = self._engines.slow_ids(now)
        items = [self._waiting_item(*each) for each in self._waiting.values()]
        items += self._movable(slow_ids)
        capacities = [
            self._capacity_of(n, slow_ids)
            for n in range(self._load.n_engines)
            if n not in self._down
        ]
        for each in scheduling.assign(items, capacities, now):
            item = self._take(each.key)
            engine = int(each.engine_id)
            item.began_at = now
            self._running[engine].append(item)
            self._schedule_events(engine)

    def _movable(self, slow_ids: frozenset[str]) -> list[scheduling.WaitingItem]:
        """Return the items that run at slow engines and may move to other engines."""
        return [
            attrs.evolve(
                self._waiting_item(self._steps_by_batch[item.key[0]], item),
                is_running=True,
            )
            for engine_id in slow_ids
            for item in self._running[int(engine_id)]
            if item.n_moves < moves.MAX_MOVES
        ]

    def _take(self, key: tuple[str, str]) -> _Item:
        """Remove an item from the waiting ones, or from the engine that it leaves."""
        if key in self._waiting:
            return self._waiting.pop(key)[1]
        running, item = next(
            (running, item)
            for running in self._running
            for item in running
            if item.key == key
        )
        running.remove(item)
        item.n_moves += 1
        return item

    def _waiting_item(self, step: _Step, item: _Item) -> scheduling.WaitingItem:
        policy = self._policy
        seconds = self._pace.remaining_seconds(item.n_expected, item.n_generated)
        seconds += self._pace.scoring_seconds
        done_by = step.arrived_at + self._load.due_seconds - urgency.READ_SECONDS
        order = done_by if policy.has_old_steps_first else 0.0
        late_at = done_by - seconds * urgency.MIN_TIME_SHARE
        return scheduling.WaitingItem(
            item.key,
            item.group_key,
            done_by - seconds if policy.has_start_by else step.arrived_at,
            late_at if policy.has_tiers else math.inf,
            item.group_key in step.spare_groups,
            step.batch.model,
            0,
            frozenset({"engines"}),
            done_by=order,
        )

    def _capacity_of(
        self, number: int, slow_ids: frozenset[str]
    ) -> scheduling.EngineCapacity:
        engine = self._engines.by_id[str(number)]
        running = self._running[number]
        assigned = [self._models[number % len(self._models)]]
        if self._policy.has_division:
            assigned = self._shares.models_of(engine.upstream_id)
        models = frozenset(assigned if self._policy.has_shares else self._models)
        versions = engine.versions_by_model
        if self._load.needs_new_weights:
            versions = dict.fromkeys(models, 0)
        is_loading = self._loop.now < self._loading_until.get(str(number), -math.inf)
        return scheduling.EngineCapacity(
            engine.upstream_id,
            "engines",
            engines.PROBE_SLOTS if engine.was_slow else self._load.engine_capacity,
            len(running),
            versions,
            models,
            models if is_loading else frozenset(),
            is_slow=engine.upstream_id in slow_ids,
            group_keys={each.group_key for each in running},
        )

    def _schedule_events(self, engine: int) -> None:
        n_running = len(self._running[engine])
        if not n_running or engine in self._scheduled:
            return
        self._scheduled.add(engine)
        workload = self._load
        seconds = workload.event_seconds + workload.extra_item_seconds * (n_running - 1)
        if engine < workload.n_slow_engines:
            seconds *= workload.slow_factor
        generate = functools.partial(self._generate_events, engine, seconds)
        self._loop.call_later(seconds, generate)

    def _generate_events(self, engine: int, seconds: float) -> None:
        self._scheduled.discard(engine)
        if engine in self._down:
            return
        self._engines.by_id[str(engine)].record_pause(seconds, self._loop.now)
        n_before = len(self._running[engine])
        for item in list(self._running[engine]):
            item.n_generated += 1
            if item.n_generated >= item.n_events:
                self._running[engine].remove(item)
                self._finish_item(item)
        if len(self._running[engine]) < n_before:
            self._assign()
        self._schedule_events(engine)

    # Scoring

    def _finish_item(self, item: _Item) -> None:
        item.ended_at = self._loop.now
        seconds = item.ended_at - item.began_at
        self._pace.record(item.n_expected, item.n_events, seconds)
        self._unscored[item.key] = (self._steps_by_batch[item.key[0]], item)
        self._score()

    def _score(self) -> None:
        slots = [each.n_slots for each in self._service.fleet_upstreams]
        max_concurrent = scoring.max_concurrent(slots, self._policy.n_reserved_slots)
        candidates = [
            scoring.Unscored(
                item.key,
                item.group_key in step.spare_groups,
                self._n_missing(step, item),
                item.ended_at + self._load.due_seconds,
            )
            for step, item in self._unscored.values()
        ]
        for each in scoring.choose(candidates, max_concurrent - self._n_scoring):
            step, item = self._unscored.pop(each.key)
            self._n_scoring += 1
            done = functools.partial(self._finish_scoring, step, item)
            self._service.send(self._leader, self._load.scoring_seconds, done)

    def _n_missing(self, step: _Step, item: _Item) -> int:
        if not self._policy.has_scoring_order:
            return 0
        return sum(1 for each in step.group(item.group_key) if not each.is_scored)

    def _finish_scoring(self, step: _Step, item: _Item, seconds: float) -> None:
        self._n_scoring -= 1
        item.is_scored = True
        self._pace.record_scoring(seconds)
        self.figures.scoring_seconds.append(self._loop.now - item.ended_at)
        self._record_complete_group(step, item)
        self._score()

    def _record_complete_group(self, step: _Step, item: _Item) -> None:
        if not all(each.is_scored for each in step.group(item.group_key)):
            return
        step.completed_at.append(self._loop.now)
        if len(step.completed_at) == step.n_wanted:
            self.figures.n_steps_done[step.trainer_index] += 1
            self.figures.step_seconds.append(self._loop.now - step.arrived_at)
            if step.end is not None:
                step.end()

    # Look-ups

    def _look_up(self) -> None:
        gateway = self._gateways[int(self._rng.integers(len(self._gateways)))]
        record = self.figures.look_up_seconds.append
        self._service.send(gateway, self._load.look_up_seconds, record)
        pause = float(self._rng.exponential(1 / self._load.look_ups_per_second))
        self._loop.call_later(pause, self._look_up)


def _batch_of(
    batch_id: str, step: int, model_name: str, items: list[_Item]
) -> model.Batch:
    """Return the batch with the estimates of these items."""
    return model.Batch(
        batch_id,
        "",
        tuple(
            model.Item(
                each.key[1],
                "",
                {},
                b"",
                0,
                each.group_key[1],
                n_expected_output_tokens=each.n_expected,
            )
            for each in items
        ),
        step,
        model_name,
    )
