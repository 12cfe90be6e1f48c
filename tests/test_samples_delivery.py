"""Batches read at several gateways while answers, holders and owners are lost."""

import unittest
from collections.abc import Callable

import eventlet
from nose2 import tools

from bilberrydrum import clock, interfaces, options, reasons, transport
from bilberrydrum.samples import delivery, model, payloads, section, service
from tests import helpers
from tests import samples_support as support

R = reasons.Reason
ZONES = ("Surquillo", "Callao", "Ate")
# Long enough for a busy machine; a passing test does not wait that long.
TIMEOUT_SECONDS = 30.0


class Gateway:
    """The sample service of one gateway; all of a `Site` share the state group."""

    def __init__(self, site: "Site", number: int, incarnation: int = 1) -> None:
        self.process_id = f"gw-{number}"
        address = f"127.0.0.1:{helpers.free_port()}"
        zone = ZONES[number - 1]
        self.gateway = interfaces.Gateway(
            self.process_id, address, zone, "Lima", incarnation
        )
        settings = options.Options(
            self.process_id,
            availability_zone=zone,
            peer_address=address,
            samples=options.SampleOptions(owner_lease_seconds=0.6),
        )
        self.state = support.FakeState(site.machine)
        self.transport = transport.Transport(self.process_id, "main", address)
        self.transport.incarnation = incarnation
        self.transport.start()
        self.dispatcher = support.FakeDispatcher([list(site.script)])
        self.service = service.SampleService(
            settings,
            self.transport,
            self.state,
            site.bundles,
            site.registry,
            self.dispatcher,
        )
        site.bundles.gateways[self.process_id] = self.gateway
        self.service.start()

    def crash(self) -> None:
        """Stop without releasing the groups, as a killed process does."""
        self.state.is_unreachable = True
        self.service.stop()
        self.transport.stop()

    def read(
        self,
        cursor: int,
        wait: float = TIMEOUT_SECONDS,
        epoch: int = 1,
        n_samples: int = 4,
    ) -> delivery.Answer:
        return self.service.read_batch(
            delivery.BatchRequest(support.TRAINER, epoch, cursor, n_samples, wait)
        )


class Site:
    """Three gateways in three availability zones."""

    def __init__(self, script: support.Script, n_gateways: int = 3) -> None:
        self.script = script
        self.machine = support.Machine()
        self.bundles = support.FakeBundles(support.bundle())
        self.registry = support.FakeRegistry({"engine-1": support.engine()})
        self.clock = eventlet.spawn(self._tick)
        self.gateways = [Gateway(self, i + 1) for i in range(n_gateways)]
        self.wait_for(lambda: len(self.owners()) == n_gateways)

    def _tick(self) -> None:
        began, start = clock.now(), self.machine.time
        while True:
            clock.sleep(0.02)
            self.machine.time = start + clock.now() - began

    def owners(self) -> list[str]:
        return sorted(section.of(self.machine.state).owners_by_id)

    def wait_for(self, condition: Callable[[], bool]) -> None:
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while not condition():
                clock.sleep(0.01)

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.crash()
        self.clock.kill()


def ids(delivered: delivery.Delivery) -> list[str]:
    return [f"{each.group_id}/{each.slot}" for each in delivered.batch.samples]


def unwrap(answer: delivery.Answer) -> delivery.Delivery:
    if answer.is_err():
        raise AssertionError(answer.unwrap_err())
    return answer.unwrap()


class SiteTestCase(unittest.TestCase):
    script: support.Script = [support.tokens(1, 2), support.finished()]

    def setUp(self) -> None:
        self.site = Site(list(self.script))
        self.addCleanup(self.site.stop)
        self.first, self.second, self.third = self.site.gateways
        self.first.service.open_reader(support.TRAINER)

    def add(self, *group_ids: str) -> None:
        groups = tuple(model.GroupRequest(each, "plan", 2, 8) for each in group_ids)
        self.first.service.add_groups(support.TRAINER, groups).unwrap()


class Reading(SiteTestCase):
    def test_any_gateway_answers_with_the_same_batch(self) -> None:
        self.add("g0", "g1", "g2")
        batches = [unwrap(each.read(0)) for each in self.site.gateways]
        self.assertEqual(len(set(ids(batches[0]))), 4)
        for other in batches[1:]:
            self.assertEqual(other, batches[0])
        texts = [each.text for each in batches[0].payloads]
        self.assertEqual(texts, [" 1 2"] * 4)

    def test_payloads_have_holders_in_two_zones(self) -> None:
        self.add("g0", "g1")
        delivered = unwrap(self.first.read(0))
        for sample in delivered.batch.samples:
            holders = [model.holder_process_id(h) for h in sample.record.holders]
            self.assertEqual(len(set(holders)), 2)

    @tools.params("refused", "lost")
    def test_answers_of_the_state_group_are_lost(self, fault: str) -> None:
        """An answer of the state group to a batch request is lost; the trainer retries.

        Whether or not the command was applied, the retry returns the batch that the
        first request would have returned.
        """
        self.add("g0", "g1", "g2", "g3")
        expected = unwrap(self.first.read(0))
        cursor = 0
        for n_before in range(3):
            with self.subTest(n_before=n_before):
                self.third.state.faults = ["", "", ""][:n_before] + [fault]
                answer = self.third.read(cursor, wait=0.2)
                if answer.is_err():
                    problem = answer.unwrap_err()
                    self.assertIn(
                        problem.reason, (R.STATE_UNAVAILABLE, R.BATCH_NOT_READY)
                    )
                self.third.state.faults = []
                self.assertEqual(unwrap(self.third.read(cursor)), expected)

    def test_one_holder_is_lost(self) -> None:
        """One holder of some payloads crashes before the trainer reads the batch again.

        The other holder has the copies, so the batch must stay the same.
        """
        self.add("g0", "g1")
        before = unwrap(self.first.read(0))
        self.second.crash()
        self.assertEqual(unwrap(self.third.read(0)), before)

    def test_both_holders_are_lost(self) -> None:
        """All holders of some payloads crash before the trainer's cursor has moved.

        The samples of these payloads keep their positions and get other attempts; the
        other samples stay.
        """
        self.add("g0", "g1")
        before = unwrap(self.first.read(0))
        self.second.crash()
        self.third.crash()
        after = unwrap(self.first.read(0))
        self.assertEqual(ids(after), ids(before))
        for old, new in zip(before.batch.samples, after.batch.samples, strict=True):
            is_lost = all(not each.startswith("gw-1") for each in old.record.holders)
            if is_lost:
                self.assertNotEqual(new.record, old.record)

    def test_payload_that_is_not_the_recorded_one_is_not_delivered(self) -> None:
        """Holders return payloads that differ from the recorded ones.

        They would be delivered with the segments and scores of other texts.
        """
        self.add("g0", "g1")
        before = unwrap(self.first.read(0))
        other = model.Payload("other", (9,))
        for gateway in self.site.gateways:
            held = gateway.service._store._payloads_by_key
            held.update(dict.fromkeys(held, other))
        after = unwrap(self.first.read(0))
        self.assertEqual(ids(after), ids(before))
        self.assertEqual([each.text for each in after.payloads], [" 1 2"] * 4)

    @tools.params((9, 0), (1, 1))
    def test_version_published_while_payloads_are_fetched(
        self, version: int, staleness: int
    ) -> None:
        """The batch is assigned, then versions are published, then payloads arrive.

        Without a check after the fetch, samples could be delivered beyond the bound in
        force, or with a staleness that is too low.
        """
        self.add("g0", "g1")
        unwrap(self.first.read(0))
        fetch = self.first.service._store.fetch
        n_published = 0

        def slow_fetch(wanted: list[payloads.Wanted]) -> dict[str, model.Payload]:
            nonlocal n_published
            found = fetch(wanted)
            if n_published == 0:
                n_published = version
                self.site.machine.publish(n_published)
                for gateway in self.site.gateways:
                    newer = [support.tokens(1, 2, version=version), support.finished()]
                    gateway.dispatcher.scripts = [newer]
            return found

        self.first.service._store.fetch = slow_fetch  # type: ignore[method-assign]
        delivered = unwrap(self.first.read(0))
        self.assertEqual(delivered.batch.weight_version, version)
        ages = {each.staleness for each in delivered.batch.samples}
        self.assertEqual(ages, {staleness})

    def test_gateway_is_suspended_after_the_last_check(self) -> None:
        """A gateway is suspended after the last check of a batch.

        Samples of the batch may have become too stale when it continues, so the check
        must be repeated.
        """
        self.add("g0", "g1")
        unwrap(self.first.read(0))
        n_checks = 0

        def freeze() -> None:
            nonlocal n_checks
            n_checks += 1
            if n_checks == 1:
                clock.sleep(delivery.MAX_CHECK_AGE_SECONDS + 0.1)
                self.site.machine.publish(1)

        self.first.state.after_query = freeze
        delivered = unwrap(self.first.read(0))
        self.assertEqual(delivered.batch.weight_version, 1)
        self.assertGreater(n_checks, 1)

    def test_waiting_trainer_gets_its_batch_when_it_is_complete(self) -> None:
        answers: list[delivery.Answer] = []
        reader = eventlet.spawn(lambda: answers.append(self.second.read(0)))
        clock.sleep(0.05)
        self.assertEqual(answers, [])
        self.add("g0", "g1")
        reader.wait()
        self.assertEqual(len(unwrap(answers[0]).payloads), 4)

    def test_early_request_is_refused_with_a_retry_time(self) -> None:
        """A trainer requests a batch without waiting, before any sample is ready."""
        problem = self.first.read(0, wait=0.0).unwrap_err()
        self.assertEqual((problem.status, problem.reason), (503, R.BATCH_NOT_READY))
        self.assertGreater(problem.retry_after_seconds, 0)


class Owners(SiteTestCase):
    """The owner of a group crashes or is suspended; another gateway continues."""

    script = [support.tokens(1), 0.2, support.tokens(2), support.finished()]

    def test_owner_is_killed_while_it_generates_samples(self) -> None:
        """The owner of some groups is killed while its engines generate.

        Other gateways must take over its groups, or their slots would stay empty.
        """
        self.add("g0", "g1")
        clock.sleep(0.1)
        self.first.crash()
        delivered = unwrap(self.third.read(0))
        self.assertEqual(sorted(ids(delivered)), ["g0/0", "g0/1", "g1/0", "g1/1"])
        self.assertEqual(self.site.owners(), ["gw-2", "gw-3"])

    def test_owner_is_partitioned_and_reconnects(self) -> None:
        """An owner is cut off past its lease and then reaches the state group again.

        Its groups were reassigned under a higher epoch. What it generated in the
        meantime is refused, and each slot has one sample.
        """
        self.add("g0", "g1")
        self.first.state.is_unreachable = True
        self.site.wait_for(lambda: "gw-1" not in self.site.owners())
        self.first.state.is_unreachable = False
        delivered = unwrap(self.first.read(0))
        self.assertEqual(sorted(ids(delivered)), ["g0/0", "g0/1", "g1/0", "g1/1"])
        self.assertEqual(ids(unwrap(self.second.read(0))), ids(delivered))

    def test_partitioned_owner_stops_its_attempts(self) -> None:
        """An owner can't renew its lease while its engines continue to stream.

        Another gateway has the samples generated, so the output of these engines would
        be useless.
        """
        slow = [support.tokens(1), 3600.0, support.finished()]
        for gateway in self.site.gateways:
            gateway.dispatcher.scripts = [list(slow)]
        self.add("g0", "g1", "g2")
        dispatcher = self.first.dispatcher
        self.site.wait_for(lambda: len(dispatcher.calls) == 2)
        self.first.state.is_unreachable = True
        self.site.wait_for(lambda: dispatcher.n_closed == 2)

    def test_attempts_outlive_a_short_outage_of_the_state_group(self) -> None:
        """No gateway reaches the state group for longer than the owners' lease.

        The groups still belong to their owners. The samples being generated are used,
        and no engine generates one of them a second time.
        """
        for gateway in self.site.gateways:
            pauses = [support.tokens(1), 1.5, support.tokens(2), support.finished()]
            gateway.dispatcher.scripts = [pauses]
        self.add("g0", "g1")
        calls = [gateway.dispatcher.calls for gateway in self.site.gateways]
        self.site.wait_for(lambda: sum(map(len, calls)) == 4)
        for is_unreachable in (True, False):
            for gateway in self.site.gateways:
                gateway.state.is_unreachable = is_unreachable
            clock.sleep(1.0 if is_unreachable else 0.0)
        self.assertEqual(len(unwrap(self.first.read(0)).payloads), 4)
        self.assertEqual(sum(map(len, calls)), 4)

    def test_stopping_gateway_releases_its_groups_at_once(self) -> None:
        """A gateway stops while it owns groups.

        If it did not release them, they would wait for its lease to expire.
        """
        self.add("g0", "g1")
        self.second.service.stop()
        self.assertNotIn("gw-2", self.site.owners())
        delivered = unwrap(self.third.read(0))
        self.assertEqual(sorted(ids(delivered)), ["g0/0", "g0/1", "g1/0", "g1/1"])

    def test_trainer_gets_every_sample_once_while_owners_restart(self) -> None:
        """Two owners crash in turn and restart while a trainer reads.

        A sample could be lost with its owner or be delivered by two.
        """
        received: list[str] = []
        cursor = 0
        for step in range(4):
            self.add(f"s{step}-g0", f"s{step}-g1")
            if step in (1, 2):
                self.site.gateways[step].crash()
                self.site.gateways[step] = Gateway(self.site, step + 1, incarnation=2)
            delivered = unwrap(self.first.read(cursor))
            received += ids(delivered)
            cursor = delivered.batch.n_assigned
        self.assertEqual(len(received), 16)
        self.assertEqual(len(set(received)), 16)


class Stop(unittest.TestCase):
    """A gateway is shut down while its attempts run."""

    def test_interrupted_stop_can_be_repeated(self) -> None:
        """A stop is interrupted while attempts run, and `stop` is called again.

        The schedule is emptied first, then the attempts are stopped one by one, and
        each of these steps lets other tasks run. After an interruption there the
        schedule is empty. If the second call relied on the schedule, engines would
        generate for the stopped gateway until its process ends.
        """
        site = Site(
            [support.tokens(1), TIMEOUT_SECONDS, support.finished()], n_gateways=1
        )
        self.addCleanup(site.stop)
        gateway = site.gateways[0]
        gateway.service.open_reader(support.TRAINER)
        groups = (model.GroupRequest("g0", "plan", 4, 8),)
        gateway.service.add_groups(support.TRAINER, groups).unwrap()
        site.wait_for(lambda: len(gateway.dispatcher.calls) == 4)
        first = eventlet.spawn(gateway.service.stop)
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while not gateway.dispatcher.n_closed:
                eventlet.sleep(0)
        first.kill()
        gateway.service.stop()
        self.assertEqual(gateway.dispatcher.n_closed, 4)
