"""Replays a load on engines of different speeds: scheduling passes without a network.

The runner's own passes decide. Items that it sends generate events in steps of
`TICK_SECONDS` of a manual clock.
"""

import math
import random
import time
import types

import attrs

from bilberrydrum import quarantine
from bilberrydrum.batches import hooks, lifecycle, model, runner
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.requests import attempts, connections, watch

TICK_SECONDS = 0.02
N_ENGINES = 24
N_SLOTS = 6
# Seconds per event at an empty engine; a full one takes a fifth longer.
FAST_SECONDS = 0.036
SLOW_SECONDS = 0.08
MODELS = ("m0", "m1", "m2", "m3")
MAX_EVENTS = 104
TOKENS_PER_EVENT = 90
PROMPT_TOKENS = 500
# A step that takes longer is not waited for, in seconds.
MAX_STEP_SECONDS = 40.0


@attrs.define(eq=False)
class Running:
    """An item at an engine."""

    run: lifecycle.ItemRun
    engine_id: str
    began_at: float
    last_at: float
    n_before: int
    # Share of the next event that has been generated.
    share: float = 0.0


class Replay:
    """Four trainers' items at 24 engines, a quarter of which is slow."""

    def __init__(self, seed, clock, estimate_error=0.5):
        self.rng = random.Random(seed)
        self.clock = clock
        self.estimate_error = estimate_error
        # Factor on the seconds per event of engines that are slowed down.
        self.factors_by_id = {}
        # Called with each engine's record before each pass.
        self.report = lambda engine: None
        self.running = []
        self.n_events_by_key = {}
        self.upstreams = [self.upstream(f"e{n:02}") for n in range(N_ENGINES)]
        self.view = self._view()
        self.runner = runner.BatchRunner(
            None,
            self.view,
            attempts.Resources(connections.ConnectionPool(), watch.ClientWatch()),
            _hooks(),
            None,
            types.SimpleNamespace(
                standing=lambda fingerprint: quarantine.Standing.CLEAR,
                must_run_apart=lambda fingerprint: False,
            ),
        )
        self.runner._items.send = self._send
        self.runner._items.cancel_for_move = self._cancel

    def upstream(self, engine_id):
        versions = dict.fromkeys(MODELS, 1)
        return fleet_model.FleetUpstream(
            engine_id, "s", "127.0.0.1:1", "z", N_SLOTS, versions_by_model=versions
        )

    def _view(self):
        route = policy.Route(
            "r",
            "h",
            "/p/",
            policy.RouteKind.BATCH,
            (policy.Share("s", 1.0),),
            result_deadline_seconds=7.5,
        )
        service = policy.Service("s", models=MODELS, n_cache_tokens=59_008)
        return types.SimpleNamespace(
            routes=policy.RouteTable(policy.Policy(1, (route,), (service,))),
            registry=fleet_model.Registry(1, tuple(self.upstreams)),
            watch=lambda callback: None,
            unwatch=lambda callback: None,
        )

    def restart(self, engine_id, new_id):
        """Replace an engine by its next incarnation; its items wait again."""
        for each in [e for e in self.running if e.engine_id == engine_id]:
            self._stop(each)
        kept = [each for each in self.upstreams if each.upstream_id != engine_id]
        self.upstreams = [*kept, self.upstream(new_id)]
        index = self.view.registry.index + 1
        self.view.registry = fleet_model.Registry(index, tuple(self.upstreams))

    def submit(self, step):
        """Submit one batch of each trainer."""
        for name in MODELS:
            batch_id = f"{name}-{step}"
            items = [self._item(batch_id, n) for n in range(8 * self.rng.randint(5, 8))]
            batch = model.Batch(batch_id, "h", tuple(items), step, name)
            # Submitted in the future: the age, which is taken from the host's clock, is
            # 0 in each run.
            self.runner.accept(model.KeptBatch.of(batch, time.time() + 60.0))

    def _item(self, batch_id, number):
        drawn = self.rng.lognormvariate(2.3, 0.84)
        if self.rng.random() < 0.08:
            drawn *= 5.0
        n_events = round(min(max(drawn, 1.0), MAX_EVENTS))
        self.n_events_by_key[batch_id, f"i{number:03}"] = n_events
        error = math.exp(self.rng.gauss(0.0, self.estimate_error))
        n_expected = max(round(min(n_events * error, MAX_EVENTS) * TOKENS_PER_EVENT), 1)
        return model.Item(
            f"i{number:03}",
            "/p/x",
            {},
            b"body",
            PROMPT_TOKENS + MAX_EVENTS * TOKENS_PER_EVENT,
            f"g{number // 8}",
            PROMPT_TOKENS + n_expected,
            n_expected,
        )

    def run(self, seconds, until_done=False):
        """Advance the time, with a scheduling pass in each step of it."""
        end = self.clock() + seconds
        while self.clock() < end and not (until_done and self.is_done()):
            for engine in self.runner._engines.by_id.values():
                self.report(engine)
            self.runner._run_pass()
            self.clock.advance(TICK_SECONDS)
            for each in list(self.running):
                self._generate(each)

    def runs(self):
        return [
            run
            for opened in self.runner._work.open_batches()
            for run in opened.runs_by_item_id.values()
        ]

    def is_done(self):
        return all(each.is_finished for each in self.runs())

    def n_moves(self):
        return sum(each.n_moves for each in self.runs())

    def step_seconds(self, step):
        """Submit a step; return the time until its last item ends, in seconds."""
        began = self.clock()
        self.submit(step)
        self.run(MAX_STEP_SECONDS, until_done=True)
        return self.clock() - began

    def n_running(self, engine_id):
        return sum(each.engine_id == engine_id for each in self.running)

    def event_seconds(self, engine_id):
        number = int(engine_id[1:3])
        idle = SLOW_SECONDS if number % 4 == 0 else FAST_SECONDS
        load = 1.0 + 0.2 * (self.n_running(engine_id) - 1) / (N_SLOTS - 1)
        return idle * load * self.factors_by_id.get(engine_id, 1.0)

    def _generate(self, running):
        running.share += TICK_SECONDS / self.event_seconds(running.engine_id)
        run = running.run
        key = (run.group_key[0], run.item.item_id)
        engine = self.runner._engines.by_id[running.engine_id]
        while running.share >= 1.0 and running in self.running:
            running.share -= 1.0
            run.text.parts.append(b"x")
            now = self.clock()
            if len(run.text.parts) > running.n_before + 1:
                engine.record_pause(now - running.last_at, now)
            running.last_at = now
            if len(run.text.parts) >= self.n_events_by_key[key]:
                self._end(running)

    def _end(self, running):
        run = running.run
        if not running.n_before:
            seconds = self.clock() - running.began_at
            n_expected = run.n_expected_output_tokens()
            self.runner._pace.record(n_expected, len(run.text.parts), seconds)
        self._stop(running)
        run.finish()

    def _send(self, opened, run, engine):
        # Reading the prompt and the text takes some tenths of a second.
        now = self.clock()
        run.begin_generating(engine.upstream_id)
        engine.add_run(run)
        n_before = len(run.text.parts)
        share = -0.2 / self.event_seconds(engine.upstream_id) if n_before else 0.0
        self.running.append(Running(run, engine.upstream_id, now, now, n_before, share))

    def _cancel(self, key):
        for each in list(self.running):
            if (each.run.group_key[0], each.run.item.item_id) == key:
                self._stop(each)

    def _stop(self, running):
        self.running.remove(running)
        engine = self.runner._engines.by_id[running.engine_id]
        engine.remove_run(running.run)
        running.run.end_generating()


def _hooks():
    return hooks.Hooks(
        finish=lambda *each: None,
        keep_text=lambda *each: None,
        score=lambda *each: None,
        save=lambda *each: None,
        fencing_number=lambda: None,
        may_send=lambda: True,
        holder="h",
    )
