"""Which attempts an owner starts and stops, and in what order.

The schedule has no side effects; time and capacity are passed in. Among the trainers,
the one with the fewest attempts in flight relative to its share goes first, so that
capacity that one trainer leaves unused goes to the others. Within a trainer, slots that
a batch waits for go first, then the slots of the oldest group. The slots of a group are
thus started in succession and find the prefix of its prompt in the engine's cache.

Stragglers: an attempt gets a second one at another engine if it generates tokens at
less than `SLOW_SHARE` of the usual pace and no older group of its trainer has slots
that wait to be started. The second attempt resumes from the tokens generated so far,
and the first of the two to finish is recorded. The number of second attempts is bounded
by a budget. A second attempt does not wait for free capacity: there is none while the
trainer has requested further groups, and that is usually the case when it waits for the
slow slot. An attempt that has stopped generating tokens is cancelled and started again
regardless of the budget, because its slot would block the trainer.
"""

from typing import Final

import attrs

from bilberrydrum.samples import commands

# Backoff in seconds after the first failed attempt of a slot. It doubles with each
# further failure.
BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 2.0
# Share of the usual pace below which an attempt is slow.
SLOW_SHARE: Final = 0.6
# Number of tokens after which an attempt's pace is used.
MIN_TOKENS: Final = 8
# Time without a token after which an attempt is cancelled.
STALL_SECONDS: Final = 20.0
# Weight of a new value in the moving average of the pace.
_SMOOTHING: Final = 0.02


@attrs.frozen
class Key:
    """A wanted slot and the epoch of its owner."""

    trainer: str
    group_id: str
    slot: int
    owner_epoch: int


@attrs.define
class Running:
    """An attempt in flight."""

    started_at: float
    upstream_id: str = ""
    # Time of the first tokens from the current engine; 0 if there were none.
    first_token_at: float = 0.0
    progressed_at: float = 0.0
    n_tokens: int = 0
    # Generation is complete; the attempt is being scored, stored or recorded.
    is_generated: bool = False


@attrs.define
class Wanted:
    """The scheduling state of a wanted slot."""

    sequence: int
    n_attempts: int
    is_assigned: bool
    not_before: float = 0.0
    n_failures: int = 0
    running_by_attempt: dict[int, Running] = attrs.field(factory=dict)


@attrs.frozen
class Start:
    """Start an attempt."""

    key: Key
    attempt: int
    # Engines that the attempt should avoid.
    excluded_upstream_ids: frozenset[str] = frozenset()
    # Number of the attempt at the same slot whose tokens it resumes from; 0 if none.
    resumes_attempt: int = 0


@attrs.frozen
class Cancel:
    """Stop an attempt and discard its output."""

    key: Key
    attempt: int


@attrs.frozen
class Pool:
    """Trainers that share engines, and how many attempts may be in flight."""

    capacity: int
    shares_by_trainer: dict[str, float]


@attrs.define
class Schedule:
    """The attempts of one owner."""

    # Second attempts allowed, as a share of all attempts started.
    second_attempt_budget: float = 0.0
    wanted_by_key: dict[Key, Wanted] = attrs.field(factory=dict)
    n_started: int = 0
    n_second_attempts: int = 0
    # Usual tokens per second of an attempt; 0 if not known.
    _usual_pace: float = 0.0
    # Log index at which a slot's sample was recorded. Work lists that were read earlier
    # still contain the slot.
    _recorded_at: dict[Key, int] = attrs.field(factory=dict)
    # Highest attempt number of each slot when `drop_all` was called, kept until the
    # next work list. The record of such an attempt may still be committed. If its
    # number were used again, the payload of the new attempt would replace the recorded
    # one.
    _n_attempts_by_key: dict[Key, int] = attrs.field(factory=dict)

    def update(self, index: int, work: tuple[commands.Work, ...]) -> list[Cancel]:
        """Apply the list of wanted slots that was read at log index `index`."""
        listed = {
            Key(each.trainer, each.group_id, slot, each.owner_epoch): (each, slot)
            for each in work
            for slot in each.n_attempts_by_slot
        }
        cancels = []
        for key in [each for each in self.wanted_by_key if each not in listed]:
            cancels += self._drop(key)
        for key, (each, slot) in listed.items():
            self._update_wanted(index, key, each, slot)
        self._n_attempts_by_key.clear()
        self._recorded_at = {
            key: at for key, at in self._recorded_at.items() if at > index
        }
        return cancels

    def _update_wanted(
        self, index: int, key: Key, work: commands.Work, slot: int
    ) -> None:
        # The list may have been read before the slot's sample was recorded.
        if self._recorded_at.get(key, -1) >= index:
            return
        n_attempts = work.n_attempts_by_slot[slot]
        n_attempts = max(n_attempts, self._n_attempts_by_key.get(key, 0))
        wanted = self.wanted_by_key.get(key)
        if wanted is None:
            wanted = Wanted(work.sequence, n_attempts, False)
            self.wanted_by_key[key] = wanted
        wanted.n_attempts = max(wanted.n_attempts, n_attempts)
        wanted.is_assigned = slot in work.assigned_slots

    def _drop(self, key: Key) -> list[Cancel]:
        wanted = self.wanted_by_key.pop(key)
        return [Cancel(key, attempt) for attempt in wanted.running_by_attempt]

    def drop_all(self) -> list[Cancel]:
        """Drop all wanted slots and return the attempts to cancel."""
        for key, wanted in self.wanted_by_key.items():
            self._n_attempts_by_key[key] = wanted.n_attempts
        return [
            cancel for key in list(self.wanted_by_key) for cancel in self._drop(key)
        ]

    @property
    def n_running(self) -> int:
        """Number of attempts that use an engine or wait for one."""
        return sum(
            not running.is_generated
            for wanted in self.wanted_by_key.values()
            for running in wanted.running_by_attempt.values()
        )

    def starts(self, now: float, pools: list[Pool]) -> list[Start]:
        """Return the attempts to start now; they count as running from here on."""
        starts = []
        for pool in pools:
            starts += self._pool_starts(now, pool)
        return starts

    def _pool_starts(self, now: float, pool: Pool) -> list[Start]:
        n_running = dict.fromkeys(pool.shares_by_trainer, 0)
        waiting: dict[str, list[Key]] = {name: [] for name in n_running}
        for key, wanted in self.wanted_by_key.items():
            if key.trainer not in n_running:
                continue
            generating = [
                each
                for each in wanted.running_by_attempt.values()
                if not each.is_generated
            ]
            n_running[key.trainer] += len(generating)
            if not wanted.running_by_attempt and wanted.not_before <= now:
                waiting[key.trainer].append(key)
        for keys in waiting.values():
            keys.sort(key=self._order, reverse=True)
        starts = []
        n_free = pool.capacity - sum(n_running.values())
        while n_free > 0 and any(waiting.values()):
            name = min(
                (each for each in waiting if waiting[each]),
                key=lambda each: (n_running[each] / pool.shares_by_trainer[each], each),
            )
            starts.append(self._start(now, waiting[name].pop()))
            n_running[name] += 1
            n_free -= 1
        starts += self._second_starts(now, pool, waiting)
        return starts

    def _second_starts(
        self, now: float, pool: Pool, waiting: dict[str, list[Key]]
    ) -> list[Start]:
        oldest_by_trainer = {
            name: min((self.wanted_by_key[key].sequence for key in keys), default=None)
            for name, keys in waiting.items()
        }
        starts: list[Start] = []
        for key, wanted in self.wanted_by_key.items():
            if key.trainer not in pool.shares_by_trainer:
                continue
            budget = self.second_attempt_budget * self.n_started
            if (
                self.n_second_attempts + 1 > budget
                or len(wanted.running_by_attempt) != 1
            ):
                continue
            oldest = oldest_by_trainer[key.trainer]
            if oldest is not None and wanted.sequence > oldest:
                continue
            number, running = next(iter(wanted.running_by_attempt.items()))
            if not self._is_slow(now, running):
                continue
            self.n_second_attempts += 1
            excluded = frozenset({running.upstream_id})
            starts.append(self._start(now, key, excluded, number))
        return starts

    def _is_slow(self, now: float, running: Running) -> bool:
        if running.is_generated or running.n_tokens < MIN_TOKENS:
            return False
        pace = running.n_tokens / max(1e-6, now - running.first_token_at)
        return pace < SLOW_SHARE * self._usual_pace

    def cancel_stalled(self, now: float) -> list[Cancel]:
        """Return the attempts that stopped generating tokens; they count as failed."""
        cancels = [
            Cancel(key, number)
            for key, wanted in self.wanted_by_key.items()
            for number, running in wanted.running_by_attempt.items()
            if running.first_token_at
            and not running.is_generated
            and now - running.progressed_at > STALL_SECONDS
        ]
        for cancel in cancels:
            self.record_failure(now, cancel.key, cancel.attempt)
        return cancels

    def _order(self, key: Key) -> tuple[bool, int, int]:
        wanted = self.wanted_by_key[key]
        return (not wanted.is_assigned, wanted.sequence, key.slot)

    def _start(
        self,
        now: float,
        key: Key,
        excluded: frozenset[str] = frozenset(),
        resumes_attempt: int = 0,
    ) -> Start:
        wanted = self.wanted_by_key[key]
        wanted.n_attempts += 1
        self.n_started += 1
        wanted.running_by_attempt[wanted.n_attempts] = Running(now, progressed_at=now)
        return Start(key, wanted.n_attempts, excluded, resumes_attempt)

    def record_progress(
        self, now: float, key: Key, attempt: int, upstream_id: str, n_tokens: int
    ) -> None:
        """Record that an attempt received tokens from an engine."""
        running = self._running(key, attempt)
        if running is None:
            return
        if running.upstream_id != upstream_id:
            # The attempt was resumed at another engine, whose pace may differ.
            running.upstream_id = upstream_id
            running.first_token_at = now
            running.n_tokens = 0
        else:
            # The tokens of the first event are not counted, because they were generated
            # before `first_token_at`, from which the pace is measured.
            running.n_tokens += n_tokens
        running.progressed_at = now

    def mark_generated(self, key: Key, attempt: int) -> None:
        """Record that an attempt no longer uses an engine."""
        running = self._running(key, attempt)
        if running is None:
            return
        running.is_generated = True
        seconds = running.progressed_at - running.first_token_at
        if running.n_tokens >= MIN_TOKENS and seconds > 0:
            pace = running.n_tokens / seconds
            share = _SMOOTHING if self._usual_pace else 1.0
            self._usual_pace += share * (pace - self._usual_pace)

    def record_failure(self, now: float, key: Key, attempt: int) -> None:
        """Record that an attempt failed; another is started after the backoff."""
        wanted = self.wanted_by_key.get(key)
        if wanted is None or wanted.running_by_attempt.pop(attempt, None) is None:
            return
        delay = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**wanted.n_failures)
        wanted.n_failures += 1
        wanted.not_before = now + delay

    def mark_recorded(self, index: int, key: Key, attempt: int) -> list[Cancel]:
        """Record that the slot has its sample; return its other attempts to cancel."""
        self._recorded_at[key] = index
        if key not in self.wanted_by_key:
            return []
        self.wanted_by_key[key].running_by_attempt.pop(attempt, None)
        return self._drop(key)

    def is_assigned(self, key: Key) -> bool:
        """Return whether a batch waits for the slot at its position."""
        wanted = self.wanted_by_key.get(key)
        return wanted is not None and wanted.is_assigned

    def is_running(self, key: Key, attempt: int) -> bool:
        """Return whether the attempt is still in flight."""
        return self._running(key, attempt) is not None

    def _running(self, key: Key, attempt: int) -> Running | None:
        wanted = self.wanted_by_key.get(key)
        return None if wanted is None else wanted.running_by_attempt.get(attempt)
