import collections
import random
import unittest

from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.requests import admission, queues, routing
from tests.fakes import overload

Reason = reasons.Reason


def heavy_tailed(rng: random.Random) -> float:
    return min(3.0, 0.05 * rng.paretovariate(1.3))


def all_full(ticket: queues.Ticket) -> routing.Unavailable:
    return routing.Unavailable.ALL_FULL


class Overloaded(unittest.TestCase):
    @tools.params(
        ("fixed times, retry at once", lambda rng: 0.1, 0.005),
        ("heavy tail, retry at once", heavy_tailed, 0.005),
        ("heavy tail, retry after the given delay", heavy_tailed, None),
    )
    def test_goodput_holds_at_ten_times_the_load(self, name, seconds_of, retry):
        """Goodput must not collapse under a permanent overload with endless retries.

        Callers offer ten times the load that the upstreams can serve. If calls were
        queued until their deadlines, the upstreams would mostly serve calls that are
        too late. Calls that can't be served in time are refused early and queues are
        short, so at least nine tenths of the goodput at capacity remain. Queues stay
        within their bounds and no caller starves.
        """
        upstreams = overload.upstreams(2, 5)
        n_slots = 2 * 5

        def run(n_wanted: int) -> overload.Overload:
            callers = [
                overload.Client(f"c{i}", n_wanted // 10, 1.0, 2.0, retry)
                for i in range(10)
            ]
            run = overload.Overload(upstreams, callers, seconds_of, max_queue=4)
            return run.run(6.0)

        at_capacity = run(n_slots)
        beyond = run(10 * n_slots)
        goodput = beyond.n_done.total() / at_capacity.n_done.total()
        self.assertGreaterEqual(goodput, 0.9, name)
        self.assertLessEqual(beyond.max_waiting, 10 * 4)
        fair = beyond.n_done.total() / 10
        for i in range(10):
            self.assertGreater(beyond.n_done[f"c{i}"], 0.7 * fair, name)

    def test_calls_that_would_be_late_are_refused_early(self):
        """Calls that wait until their deadline waste capacity and the caller's time.

        Callers have a timeout of 1 s, but the queue alone would take 4 s. A call that
        will be late is refused at its arrival. If it were kept, it would be served
        after its caller gave up, and the caller would learn too late to try another
        gateway.
        """
        callers = [overload.Client("c", 64, timeout=1.0, retry_seconds=0.02)]
        run = overload.Overload(
            overload.upstreams(1, 4), callers, lambda rng: 0.25
        ).run(10.0)
        self.assertGreater(run.n_refused[Reason.DEADLINE_UNREACHABLE], 0)
        # When the first calls arrive, no call has finished yet, so it is not known how
        # long calls take.
        self.assertLess(run.n_late.total(), 0.1 * run.n_done.total())
        self.assertGreater(run.n_done.total(), 0.9 * 10.0 * 4 / 0.25)

    def test_memory_does_not_grow_with_calls_that_come_and_go(self):
        """Entries of withdrawn calls must not accumulate while no call is granted.

        Callers disconnect and retry while all upstreams are full, so no entry is ever
        taken from the top of a heap.
        """
        queue = admission.Admission(64, random.Random(1))
        for _ in range(5000):
            ticket = queues.Ticket("c", overload.NEED, 2000.0)
            queue.offer(1000.0, ticket, all_full)
            queue.withdraw(ticket)
        domain = queue._domains_by_name[overload.NEED.domain]
        self.assertEqual(queue.n_waiting, 0)
        self.assertLess(len(domain.by_latest_start), 200)
        for client in domain.clients_by_name.values():
            self.assertLess(sum(map(len, client.queues_by_need.values())), 200)


class Fairness(unittest.TestCase):
    @tools.params(
        ("equal shares", {"a": 1.0, "b": 1.0}, {"a": 100, "b": 100}),
        ("one sends ten times more", {"a": 1.0, "b": 1.0}, {"a": 30, "b": 300}),
        ("a trainer with three shares", {"a": 1.0, "b": 3.0}, {"a": 100, "b": 100}),
        ("three", {"a": 1.0, "b": 2.0, "c": 5.0}, {"a": 99, "b": 99, "c": 99}),
    )
    def test_shares_hold_under_overload(self, name, shares, n_wanted):
        callers = [
            overload.Client(client, n_wanted[client], share, timeout=60.0)
            for client, share in shares.items()
        ]
        run = overload.Overload(
            overload.upstreams(2, 5), callers, heavy_tailed, max_queue=1000
        ).run(15.0)
        total = run.n_done.total()
        for client, share in shares.items():
            expected = total * share / sum(shares.values())
            self.assertAlmostEqual(run.n_done[client] / expected, 1.0, delta=0.15)

    def test_unused_capacity_goes_to_the_other_client(self):
        callers = [
            overload.Client("small", 1, 10.0, timeout=60.0),
            overload.Client("large", 60, 1.0, timeout=60.0),
        ]
        run = overload.Overload(overload.upstreams(1, 10), callers).run(20.0)
        # The first has one call at a time; nine tenths are left for the second.
        self.assertGreater(run.n_done["large"], 0.95 * 9 * 20.0 / 0.1)
        # A call of the first waits until one of ten calls finishes, then runs itself.
        self.assertGreater(run.n_done["small"], 0.95 * 20.0 / 0.11)

    def test_idle_client_accumulates_no_credit(self):
        """An idle client must not save up the capacity that it did not use.

        One client stays away while the other sends calls; then both send as many as
        they can. If the one that was away had accumulated credit, the other one would
        get nothing for as long as that client was idle.
        """
        queue = admission.Admission(1000, random.Random(1))
        upstream = overload.upstreams(1, 1)["u0"]
        for name in ["busy", "away"] + 500 * ["busy"]:
            ticket = queues.Ticket(name, overload.NEED, 1e9)
            queue.offer(1000.0, ticket, lambda ticket: upstream)
            queue.record_end(1000.0, ticket, None, True)
        for _ in range(100):
            for name in ("away", "busy"):
                queue.offer(1000.0, queues.Ticket(name, overload.NEED, 1e9), all_full)
        grants: collections.Counter[str] = collections.Counter()
        n_left = iter(range(100))
        effects = queue.schedule_waiting(
            1000.0,
            lambda ticket: (
                upstream
                if next(n_left, None) is not None
                else routing.Unavailable.ALL_FULL
            ),
        )
        grants.update(effect.ticket.client for effect in effects)
        self.assertAlmostEqual(grants["busy"], 50, delta=2)

    def test_tokens_are_charged_not_calls(self):
        """A client must not get more capacity by sending longer calls.

        Two trainers have equal shares, but the calls of one are four times as long. If
        each call cost the same, the one with long calls would get four fifths of the
        engines' time.
        """
        queue = admission.Admission(1000, random.Random(1))
        upstream = overload.upstreams(1, 1)["u0"]
        n_tokens = {"long": 400.0, "short": 100.0}
        for _ in range(200):
            for name in n_tokens:
                ticket = queues.Ticket(name, overload.NEED, 1e9, cost=1000.0)
                queue.offer(1000.0, ticket, all_full)
        spent: collections.Counter[str] = collections.Counter()
        for _ in range(100):
            n_left = iter(range(1))
            (effect,) = queue.schedule_waiting(
                1000.0,
                lambda ticket, left=n_left: (
                    upstream
                    if next(left, None) is not None
                    else routing.Unavailable.ALL_FULL
                ),
            )
            name = effect.ticket.client
            spent[name] += n_tokens[name]
            queue.record_end(1000.0, effect.ticket, n_tokens[name], True)
        self.assertAlmostEqual(spent["long"] / spent["short"], 1.0, delta=0.1)


class Queueing(unittest.TestCase):
    def setUp(self):
        self.queue = admission.Admission(3, random.Random(1))
        self.upstream = overload.upstreams(1, 1)["u0"]

    def offer(self, priority=0, client="c", deadline=1e9, need=overload.NEED, **fields):
        ticket = queues.Ticket(client, need, deadline, priority=priority, **fields)
        return ticket, self.queue.offer(1000.0, ticket, all_full)

    def test_queue_is_bounded_and_an_urgent_call_evicts_the_last_one(self):
        first, _ = self.offer(priority=5)
        self.offer(priority=5)
        last, _ = self.offer(priority=5)
        refused, effects = self.offer(priority=5)
        self.assertEqual([effect.ticket for effect in effects], [refused])
        self.assertEqual(effects[0].reason, Reason.QUEUE_FULL)
        urgent, effects = self.offer(priority=1)
        self.assertEqual([effect.ticket for effect in effects], [last])
        self.assertEqual(self.queue.n_waiting, 3)
        granted = self.queue.schedule_waiting(1000.0, lambda ticket: self.upstream)
        self.assertEqual(granted[0].ticket, urgent)
        self.assertEqual(granted[1].ticket, first)

    def test_one_clients_full_queue_leaves_room_for_another(self):
        for _ in range(4):
            self.offer(client="loud")
        _, effects = self.offer(client="quiet")
        self.assertEqual(effects, [])

    def test_call_without_any_upstream_is_refused_at_once(self):
        """No upstream serves the requested model, so waiting would be useless."""
        ticket = queues.Ticket("c", overload.NEED, 1e9)
        (effect,) = self.queue.offer(
            1000.0, ticket, lambda t: routing.Unavailable.NONE_ELIGIBLE
        )
        self.assertEqual(effect.reason, Reason.NO_UPSTREAM)
        self.assertGreater(effect.retry_after_seconds, 0)

    def test_waiting_call_is_refused_when_its_last_upstream_goes(self):
        ticket, _ = self.offer()
        (effect,) = self.queue.schedule_waiting(
            1000.0, lambda t: routing.Unavailable.NONE_ELIGIBLE
        )
        self.assertEqual((effect.ticket, effect.reason), (ticket, Reason.NO_UPSTREAM))

    def test_waiting_call_is_refused_before_its_deadline(self):
        """A call that takes 2 s has a timeout of 5 s, so it must start within 3 s."""
        warm = queues.Ticket("c", overload.NEED, 1e9)
        self.queue.offer(1000.0, warm, lambda t: self.upstream)
        self.queue.record_end(1002.0, warm, None, True)
        ticket, _ = self.offer(deadline=1005.0)
        self.assertEqual(self.queue.schedule_waiting(1002.9, all_full), [])
        (effect,) = self.queue.schedule_waiting(1003.0, all_full)
        self.assertEqual(effect.reason, Reason.DEADLINE_UNREACHABLE)
        self.assertEqual(effect.ticket, ticket)

    def test_call_that_would_be_late_is_refused_at_its_arrival(self):
        """A call is refused at once if the queue ahead of it takes too long.

        Two calls of 2 s each are ahead at a service that runs one call at a time, so a
        third one would take 6 s. It is refused with a timeout of 5 s and queued with a
        timeout of 7 s.
        """
        warm = queues.Ticket("c", overload.NEED, 1e9)
        self.queue.offer(996.0, warm, lambda t: self.upstream)
        self.queue.record_end(998.0, warm, None, True)
        running = queues.Ticket("c", overload.NEED, 1e9)
        self.queue.offer(1000.0, running, lambda t: self.upstream)
        self.offer()
        ticket, (effect,) = self.offer(deadline=1005.0)
        self.assertEqual(effect.ticket, ticket)
        self.assertEqual(effect.reason, Reason.DEADLINE_UNREACHABLE)
        self.assertEqual(self.offer(deadline=1007.0)[1], [])

    def test_call_without_free_upstream_blocks_no_other(self):
        """The first call of a queue must not block calls with other needs behind it.

        The first call needs an adapter that only a full engine has. Another engine is
        free for the next call of the same client.
        """
        other = routing.Need("engine", "planner")
        blocked = routing.Need("engine", "planner", adapter="dry")
        self.offer(need=blocked)
        ticket, _ = self.offer(need=other)
        effects = self.queue.schedule_waiting(
            1000.0,
            lambda t: (
                self.upstream if t.need == other else routing.Unavailable.ALL_FULL
            ),
        )
        self.assertEqual([effect.ticket for effect in effects], [ticket])

    def test_call_refused_by_a_busy_upstream_keeps_its_queue_position(self):
        """A call that its upstream refuses as busy must not go to the end of the queue.

        The call had waited and was granted. It is queued again under its old number,
        so it is granted before calls that arrived later.
        """
        first, _ = self.offer()
        self.queue.schedule_waiting(1000.0, lambda ticket: self.upstream)
        self.offer()
        self.queue.record_end(1000.0, first, 0.0, False)
        again, effects = self.offer(number=first.number)
        self.assertEqual(effects, [])
        granted = self.queue.schedule_waiting(1000.0, lambda ticket: self.upstream)
        self.assertEqual(granted[0].ticket, again)

    def test_client_at_its_limit_of_calls_in_flight_waits(self):
        first = queues.Ticket("c", overload.NEED, 1e9, max_in_flight=1)
        second = queues.Ticket("c", overload.NEED, 1e9, max_in_flight=1)
        (effect,) = self.queue.offer(1000.0, first, lambda t: self.upstream)
        self.assertIsInstance(effect, admission.Granted)
        self.assertEqual(self.queue.offer(1000.0, second, lambda t: self.upstream), [])
        self.queue.record_end(1000.0, first, None, True)
        (effect,) = self.queue.schedule_waiting(1000.0, lambda t: self.upstream)
        self.assertEqual(effect.ticket, second)

    def test_withdrawn_call_is_never_granted(self):
        ticket, _ = self.offer()
        self.queue.withdraw(ticket)
        self.assertEqual(
            self.queue.schedule_waiting(1000.0, lambda t: self.upstream), []
        )

    def test_retry_times_of_refused_callers_are_spread_out(self):
        """Callers that are refused together must not all retry together.

        A thousand callers are refused at the same moment. With the same delay they
        would all retry at the same moment and overload the gateway again. Their delays
        are spread over the time that the upstreams need to serve them all.
        """
        queue = admission.Admission(0, random.Random(1))
        warm = [queues.Ticket("c", overload.NEED, 1e9) for _ in range(50)]
        for ticket in warm:
            queue.offer(1000.0, ticket, lambda t: self.upstream)
        queue.record_end(1000.5, warm.pop(), None, True)
        times = []
        for _ in range(1000):
            ticket = queues.Ticket("c", overload.NEED, 1e9)
            (effect,) = queue.offer(1000.5, ticket, all_full)
            times.append(effect.retry_after_seconds)
        # 49 concurrent calls of half a second each: about 100 calls per second.
        per_second = collections.Counter(int(seconds) for seconds in times)
        self.assertLess(max(per_second.values()), 150)
        self.assertLessEqual(max(times), admission.MAX_RETRY_AFTER_SECONDS * 1.2)
