"""Lost hosts, concurrent failures and late restarts, with real processes."""

import shutil
import uuid

from bilberrydrum import runtime

runtime.prepare()

from misc.demos import andes, figures
from tests import path_support
from tests.fakes import journal


class LossesTest(path_support.PathCase):
    """Tests share one deployment, and each one repairs what it breaks."""

    sizes = andes.Sizes(n_engines=3, n_schedules=1, n_scorers=2)
    n_bundles = 70

    def has_vote(self, process_id, replica_id):
        """Return whether a newer replica than `replica_id` of this process may vote."""
        members = self.andes.tool("state", "status")["members"]
        return any(
            member["process_id"] == process_id
            and member["replica_id"] != replica_id
            and member["is_voter"]
            for member in members
        )

    def replica_id(self, process_id):
        members = self.andes.tool("state", "status")["members"]
        return next(m["replica_id"] for m in members if m["process_id"] == process_id)

    def test_no_data_is_lost_with_a_second_host_after_a_repair(self):
        """Losing a second host after a repair must not lose any accepted data.

        A host is restarted without its disk and is repaired as a new replica. Then one
        of the initial hosts is lost permanently, with its disk. Only the repaired
        replica and one other now hold what was accepted before: the booking, the
        samples, the cursor and the bundle.
        """
        booking_id = uuid.uuid4().hex
        self.assert_booked(self.gateways[0], booking_id)
        self.assert_complete(self.read_group("l1", "Outage before"))
        leader = self.andes.leader()
        repaired, rest = (name for name in self.gateways if name != leader)
        before = self.replica_id(repaired)
        self.processes[repaired].kill()
        shutil.rmtree(self.folder / f"{repaired}-data")
        self.processes.restart(repaired)
        self.wait_for(lambda: self.has_vote(repaired, before), f"{repaired} votes")

        self.processes[leader].kill()
        shutil.rmtree(self.folder / f"{leader}-data")
        left = [repaired, rest]
        in_force = self.next_version() - 1
        self.wait_for(
            lambda: all(self.look_up(name) == 200 for name in left), "lookups"
        )
        answer = self.assert_booked(repaired, booking_id)
        self.assertEqual("true", answer.headers["Idempotency-Replayed"])
        self.assertEqual(in_force + 1, self.next_version())
        self.assert_complete(self.read_group("l2", "Outage after", gateway=repaired))
        self.roll(in_force + 1, [andes.CALLER])
        self.assert_look_up(403, repaired, "visitor")
        self.processes.restart(leader)
        self.wait_for(self.is_served, f"{leader} is back")

    def test_gateway_restarted_after_hundreds_of_changes_serves_the_newest(self):
        """A restarted gateway must not act on a bundle that was superseded.

        While a gateway is down, many bundles are submitted, signed off and rolled,
        which are three changes each. Each bundle allows one caller that no other one
        allows. After its restart the gateway acts only on the newest bundle and never
        on one in between. An earlier booking is not repeated, and the trainer's cursor
        is kept.
        """
        leader = self.andes.leader()
        killed = next(name for name in self.gateways if name != leader)
        booking_id = uuid.uuid4().hex
        self.assert_booked(killed, booking_id)
        self.assert_complete(self.read_group("r1", "Outage before", gateway=killed))
        self.processes[killed].kill()
        first = self.next_version()
        last = first + self.n_bundles - 1
        for version in range(first, last + 1):
            self.change(leader, version)
        newest = f"desk-{last}"
        oldest = [f"desk-{version}" for version in (first, last - 1)]
        self.wait_for(
            lambda: self.look_up(leader, newest) == 200, f"{newest} at {leader}"
        )
        self.processes.restart(killed)
        statuses = set()

        def is_back():
            for caller in oldest:
                statuses.add(self.look_up(killed, caller))
            return self.look_up(killed, newest) == 200

        self.wait_for(is_back, f"{killed} serves {newest}")
        # 0: the gateway does not listen yet; 503: it has no bundle yet.
        self.assertLessEqual(statuses, {0, 403, 503})
        answer = self.assert_booked(killed, booking_id)
        self.assertEqual("true", answer.headers["Idempotency-Replayed"])
        self.assert_complete(self.read_group("r2", "Outage after", gateway=killed))

    def change(self, gateway, version):
        """Submit, sign off and roll one more bundle, as the CLI does."""
        path = self.andes.write_bundle(version, [andes.CALLER, f"desk-{version}"])
        content = {"content": path.read_text(), "file_name": path.name}
        headers = self.andes.operator_headers()

        def post(suffix, value):
            answer = self.andes.send_request(
                gateway, "POST", f"/v1/bundles{suffix}", headers, value, timeout=20
            )
            self.assertIn(answer.status, (200, 201, 202), answer.data)
            return answer.json()

        digest = {"digest": post("", content)["digest"]}
        post(f"/{version}/sign-off", digest)
        post(f"/{version}/roll", digest)

    def n_steps(self):
        return len(list(journal.read(self.folder / "trainer.journal", "step")))

    def n_published(self):
        return len(list(journal.read(self.folder / "trainer.journal", "published")))

    def test_concurrent_failures_lose_and_duplicate_nothing(self):
        """Concurrent failures must not lose or duplicate samples and bookings.

        The state leader's process is killed while two engines crash in mid-stream and
        weight swaps fail on the third. The trainer and the planners continue at the
        other gateways. Meanwhile a bundle is rolled, and the killed gateway acts on it
        after its restart.
        """
        self.andes.start_planner("--pause-seconds", "0.1")
        trainer = self.andes.start_trainer(
            *("--id", andes.SECOND_TRAINER),
            *("--n-steps", "1000", "--step-seconds", "0.2", "--publish-every", "3"),
        )
        self.wait_for(lambda: self.n_steps() >= 2, "two steps")
        killed = self.andes.leader()
        *crashed, failing = self.andes.engines
        self.andes.control(failing, fail_swaps=2)
        for engine in crashed:
            self.andes.control(engine, crash_after_tokens=5)
        self.processes[killed].kill()
        for engine in crashed:
            self.wait_for(lambda e=engine: not self.processes[e].is_running(), "crash")
            self.processes.restart(engine)
        version = self.next_version()
        self.roll(version, [andes.CALLER, "newcomer"])
        self.processes.restart(killed)
        self.wait_for(self.is_served, f"{killed} is back")
        for gateway in self.gateways:
            self.assert_look_up(200, gateway, "newcomer")
        self.wait_for(lambda: self.n_published() >= 3, "three versions published")
        for client in (trainer, self.processes["planner"]):
            code = client.terminate(path_support.DEADLINE)
            self.assertEqual(0, code, client.log_tail())
        breaches = figures.find_breaches(
            # The number of steps depends on the speed of the machine.
            {
                **figures.read_report(self.folder, "trainer"),
                "n_steps": figures.MIN_STEPS,
            },
            figures.read_report(self.folder, "planner"),
            figures.count_bookings(self.folder),
            [],
        )
        examples = figures.read_report(self.folder, "trainer")["examples"]
        self.assertEqual([], breaches, examples)
