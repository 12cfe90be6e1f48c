"""Which attempts are started and stopped: the schedule alone."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.samples import capacity, commands, scheduling
from tests import samples_support as support

POOL = scheduling.Pool(4, {"a": 1.0, "b": 1.0})


def work(
    group_id: str,
    slots: int = 2,
    trainer: str = "a",
    epoch: int = 1,
    sequence: int = 1,
    assigned: tuple[int, ...] = (),
) -> commands.Work:
    n_attempts = dict.fromkeys(range(slots), 0)
    return commands.Work(trainer, group_id, sequence, epoch, n_attempts, assigned)


def names(starts: list[scheduling.Start]) -> list[str]:
    return [
        f"{each.key.trainer}/{each.key.group_id}/{each.key.slot}.{each.attempt}"
        for each in starts
    ]


class Schedule(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = scheduling.Schedule()

    def starts(self, now: float = 0.0, pool: scheduling.Pool = POOL) -> list[str]:
        return names(self.schedule.starts(now, [pool]))

    def test_oldest_group_first_and_groups_stay_together(self) -> None:
        self.schedule.update(1, (work("new", sequence=2), work("old", sequence=1)))
        self.assertEqual(
            self.starts(), ["a/old/0.1", "a/old/1.1", "a/new/0.1", "a/new/1.1"]
        )

    def test_slot_that_a_batch_waits_for_goes_first(self) -> None:
        self.schedule.update(
            1, (work("old", 4), work("late", 1, sequence=2, assigned=(0,)))
        )
        self.assertEqual(self.starts()[0], "a/late/0.1")

    def test_capacity_is_shared_by_weight(self) -> None:
        self.schedule.update(1, (work("g", 9), work("h", 9, trainer="b")))
        pool = scheduling.Pool(8, {"a": 3.0, "b": 1.0})
        trainers = [each[0] for each in self.starts(pool=pool)]
        self.assertEqual((trainers.count("a"), trainers.count("b")), (6, 2))

    def test_unused_capacity_goes_to_the_other_trainer(self) -> None:
        self.schedule.update(1, (work("g", 9),))
        self.assertEqual(len(self.starts()), 4)
        self.schedule.update(2, (work("g", 9), work("h", 9, trainer="b")))
        self.assertEqual(self.starts(), [])
        key = scheduling.Key("a", "g", 0, 1)
        self.schedule.mark_generated(key, 1)
        # The second trainer has the fewest attempts relative to its share.
        self.assertEqual(self.starts(), ["b/h/0.1"])

    def test_failed_attempt_is_retried_with_growing_backoff(self) -> None:
        """A slot's attempts fail again and again.

        Retries without a growing backoff would keep the engines busy with failures.
        """
        self.schedule.update(1, (work("g", 1),))
        key = scheduling.Key("a", "g", 0, 1)
        now = 0.0
        pauses = []
        for attempt in range(1, 9):
            self.assertEqual(self.starts(now), [f"a/g/0.{attempt}"])
            self.schedule.record_failure(now, key, attempt)
            self.assertEqual(self.starts(now), [])
            not_before = self.schedule.wanted_by_key[key].not_before
            pauses.append(round(not_before - now, 3))
            now = not_before
        self.assertEqual(pauses[:3], [0.05, 0.1, 0.2])
        self.assertEqual(pauses[-1], 2.0)

    def test_attempt_numbers_are_not_used_twice_after_an_outage(self) -> None:
        """An attempt number is used again after an outage, and a payload is lost.

        The state group is unavailable for long, and the owner stops its attempts while
        the record of one still waits to be committed. After the outage the owner has
        the same groups under the same epoch. If it started with attempt 1 again, the
        payload of the new attempt would replace the recorded one, which has the same
        key, and would then be dropped because its own record is refused as superseded.
        """
        given = (work("g", 1),)
        self.schedule.update(1, given)
        self.assertEqual(self.starts(), ["a/g/0.1"])
        for n_outages in (1, 2):
            self.schedule.drop_all()
            self.schedule.drop_all()
            self.schedule.update(1 + n_outages, given)
            self.assertEqual(self.starts(), [f"a/g/0.{1 + n_outages}"])
        self.schedule.drop_all()
        self.schedule.update(5, (work("g", 1, epoch=2),))
        self.assertEqual(self.starts(), ["a/g/0.1"])

    @tools.params("outage", "recorded")
    def test_data_of_unwanted_slots_is_removed(self, name: str) -> None:
        """An owner runs for weeks, and its memory and the time to apply a list grow.

        Of each slot that was dropped in an outage or that got its sample, some data is
        kept until a later list: the highest attempt number, or the index of the record.
        After that list the slot is not wanted again, so the data must be removed.
        """
        for index in range(1, 4):
            group_id = f"g{index}"
            self.schedule.update(10 * index, (work(group_id, 3),))
            self.assertEqual(len(self.starts()), 3)
            if name == "outage":
                self.schedule.drop_all()
            else:
                for slot in range(3):
                    key = scheduling.Key("a", group_id, slot, 1)
                    self.schedule.mark_recorded(10 * index + 1, key, 1)
            self.schedule.update(10 * index + 2, ())
            left = attrs.evolve(self.schedule, n_started=0)
            self.assertEqual(left, scheduling.Schedule())

    def test_attempts_of_a_lost_group_are_stopped(self) -> None:
        """Another gateway took over a group; its slots leave the list or change epoch.

        Records of attempts under the older epoch would be refused.
        """
        for name, later in (("gone", ()), ("epoch", (work("g", 1, epoch=2),))):
            with self.subTest(name):
                self.schedule = scheduling.Schedule()
                self.schedule.update(1, (work("g", 1),))
                self.starts()
                cancels = self.schedule.update(2, later)
                key = scheduling.Key("a", "g", 0, 1)
                self.assertEqual(cancels, [scheduling.Cancel(key, 1)])

    def test_recorded_slot_is_not_started_from_an_older_list(self) -> None:
        """A list of wanted slots was read before a record and arrives after it.

        The slot has its sample, so another attempt would be useless.
        """
        self.schedule.update(1, (work("g", 1),))
        self.starts()
        self.schedule.mark_recorded(5, scheduling.Key("a", "g", 0, 1), 1)
        self.schedule.update(4, (work("g", 1),))
        self.assertEqual(self.starts(), [])
        # A list from a later state is correct: the sample was discarded since.
        self.schedule.update(6, (work("g", 1),))
        self.assertEqual(self.starts(), ["a/g/0.1"])

    def test_late_reports_of_a_stopped_attempt_change_nothing(self) -> None:
        self.schedule.update(1, (work("g", 1),))
        self.starts()
        key = scheduling.Key("a", "g", 0, 1)
        self.schedule.drop_all()
        self.schedule.record_failure(0.0, key, 1)
        self.schedule.record_progress(0.0, key, 1, "engine-1", 4)
        self.schedule.mark_generated(key, 1)
        self.assertEqual(self.starts(), [])
        self.assertFalse(self.schedule.is_running(key, 1))


class Stragglers(unittest.TestCase):
    """The last slots of a step determine how long the trainer waits."""

    def setUp(self) -> None:
        self.schedule = scheduling.Schedule(second_attempt_budget=0.5)
        self.pool = scheduling.Pool(4, {"a": 1.0})
        self.schedule.update(1, (work("g", 4),))
        self.keys = [scheduling.Key("a", "g", slot, 1) for slot in range(4)]
        self.schedule.starts(0.0, [self.pool])
        for slot, n_tokens in ((0, 40), (1, 40), (2, 4), (3, 40)):
            for now, n in ((1.0, 1), (5.0, n_tokens)):
                engine = f"e{slot}"
                self.schedule.record_progress(now, self.keys[slot], 1, engine, n)

    def finish(self, *slots: int) -> None:
        for slot in slots:
            self.schedule.mark_generated(self.keys[slot], 1)
            self.schedule.mark_recorded(2, self.keys[slot], 1)

    def test_slow_attempt_gets_a_second_one_at_another_engine(self) -> None:
        """One engine is much slower than the others, and its slot is the step's last.

        The second attempt resumes from the tokens generated so far at another engine.
        """
        self.finish(0, 1)
        self.schedule.record_progress(5.0, self.keys[2], 1, "e2", 4)
        self.schedule.update(1, (work("g", 4), work("h", 9, sequence=2)))
        started = self.schedule.starts(6.0, [self.pool])
        (start,) = [each for each in started if each.resumes_attempt]
        self.assertEqual((start.key, start.attempt), (self.keys[2], 2))
        self.assertEqual(start.excluded_upstream_ids, {"e2"})
        self.assertEqual(start.resumes_attempt, 1)
        cancels = self.schedule.mark_recorded(3, self.keys[2], 2)
        self.assertEqual(cancels, [scheduling.Cancel(self.keys[2], 1)])

    def test_no_second_attempt(self) -> None:
        for name, finished, sequence, budget in (
            ("an older group waits", (0, 1), 0, 0.5),
            ("budget spent", (0, 1), 2, 0.0),
            ("pace not known", (), 2, 0.5),
        ):
            with self.subTest(name):
                self.setUp()
                self.schedule.second_attempt_budget = budget
                self.finish(*finished)
                self.schedule.record_progress(5.0, self.keys[2], 1, "e2", 4)
                lists = (work("g", 4), work("h", 9, sequence=sequence))
                self.schedule.update(1, lists)
                seconds = [
                    each
                    for each in self.schedule.starts(6.0, [self.pool])
                    if each.resumes_attempt
                ]
                self.assertEqual(seconds, [])

    def test_stalled_attempt_is_stopped_and_retried(self) -> None:
        """An engine keeps a stream open and never sends anything more."""
        at = 5.0 + scheduling.STALL_SECONDS
        self.assertEqual(self.schedule.cancel_stalled(at), [])
        self.schedule.record_progress(at, self.keys[0], 1, "e0", 4)
        cancels = self.schedule.cancel_stalled(at + 0.1)
        self.assertEqual(cancels, [scheduling.Cancel(key, 1) for key in self.keys[1:]])
        again = self.schedule.starts(at + 9.0, [self.pool])
        self.assertEqual([each.attempt for each in again], [2, 2, 2])


class Pools(unittest.TestCase):
    def test_engines_are_divided_among_gateways(self) -> None:
        upstreams = {f"e{i}": support.engine(f"e{i}") for i in range(5)}
        for n_gateways, limit in ((1, 40), (3, 14), (0, 40)):
            with self.subTest(n_gateways=n_gateways):
                pools = capacity.pools(support.bundle(), upstreams, n_gateways)
                shares = {support.TRAINER: 1.0}
                expected = [scheduling.Pool(limit, shares)]
                self.assertEqual(pools, expected)
