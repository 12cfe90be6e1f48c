"""One account submits many times what can be served; the others must be served anyway.

The replay starts items as run slots become free, with the scheduler's own assignment.
"""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.batches import scheduling

N_SLOTS = 24
ITEM_SECONDS = 0.5
# Time from an item's submission to its deadline, in seconds.
DUE_SECONDS = 4.0
STEP_SECONDS = 0.1


def waiting(account, number, submitted_at):
    """Return an item that is the only one of its batch and group."""
    key = (account, f"{number:06d}")
    done_by = submitted_at + DUE_SECONDS
    return scheduling.WaitingItem(
        key,
        key,
        done_by - ITEM_SECONDS,
        done_by - ITEM_SECONDS,
        False,
        "",
        0,
        frozenset({"s"}),
        done_by=done_by,
        account=account,
    )


class Replay:
    """A replay of items that are submitted every `STEP_SECONDS`."""

    def __init__(self, n_per_step_by_account, is_shared=True):
        self.n_per_step_by_account = n_per_step_by_account
        # If false, all items are treated as one account's.
        self.is_shared = is_shared
        self.waiting = {}
        self.due_keys = set()
        # End time and deadline of each running item, by key.
        self.running = {}
        self.n_submitted = dict.fromkeys(n_per_step_by_account, 0)
        # Numbers of items that are due within the replay, and of those in time.
        self.n_due = dict.fromkeys(n_per_step_by_account, 0)
        self.n_in_time = dict.fromkeys(n_per_step_by_account, 0)

    def run(self, seconds=10.0):
        now = 0.0
        while now < seconds:
            self.submit(now, now + DUE_SECONDS <= seconds)
            self.finish(now)
            self.start(now)
            now += STEP_SECONDS
        return {
            account: self.n_in_time[account] / n for account, n in self.n_due.items()
        }

    def submit(self, now, is_due):
        for account, n in self.n_per_step_by_account.items():
            for _ in range(n):
                number = self.n_submitted[account]
                item = waiting(account, number, now)
                self.waiting[item.key] = item
                self.n_submitted[account] += 1
                self.n_due[account] += is_due
                if is_due:
                    self.due_keys.add(item.key)

    def finish(self, now):
        for key, (ends_at, done_by) in list(self.running.items()):
            if ends_at <= now:
                del self.running[key]
                is_in_time = ends_at <= done_by and key in self.due_keys
                self.n_in_time[key[0]] += is_in_time

    def start(self, now):
        capacity = scheduling.EngineCapacity("e", "s", N_SLOTS, len(self.running), {})
        items = list(self.waiting.values())
        count = self.count_running if self.is_shared else lambda: {}
        if not self.is_shared:
            items = [self.without_account(each) for each in items]
        for each in scheduling.assign(items, [capacity], now, count):
            item = self.waiting.pop(each.key)
            self.running[each.key] = (now + ITEM_SECONDS, item.done_by)

    @staticmethod
    def without_account(item):
        return attrs.evolve(item, account="")

    def count_running(self):
        counts = {}
        for account, _ in self.running:
            counts[account] = counts.get(account, 0) + 1
        return counts


class Overload(unittest.TestCase):
    """48 items a second can be served; the small account submits 10 a second."""

    def test_small_account_is_served(self):
        """Guard against an account that is starved by the backlog of another one.

        The large account submits 1,000 items a second, of which hardly any are in time.
        If only deadlines counted, its old items would go before all of the small
        account's, and less than 0.3 of these would be in time. With shares, all of the
        small account's items that are due within the replay are in time.
        """
        load = {"large": 100, "small": 1}
        by_time = Replay(load, is_shared=False).run()
        by_share = Replay(load).run()
        self.assertLess(by_time["small"], 0.3)
        self.assertGreater(by_share["small"], 0.9)

    def test_nothing_is_left_unused(self):
        """The large account gets all run slots that the small one does not need."""
        replay = Replay({"large": 100, "small": 1})
        replay.run()
        self.assertEqual(len(replay.running), N_SLOTS)

    @tools.params(True, False)
    def test_no_difference_where_all_can_be_served(self, is_shared):
        served = Replay({"large": 3, "small": 1}, is_shared).run()
        self.assertGreater(min(served.values()), 0.9)

    def test_equal_accounts_share(self):
        """Three accounts submit more than their share: all are served alike."""
        served = Replay({"a": 4, "b": 4, "c": 4}).run()
        self.assertLess(max(served.values()) - min(served.values()), 0.1, served)
