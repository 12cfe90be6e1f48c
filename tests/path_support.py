"""A small deployment of separate processes, for tests of the complete path.

No step waits for a fixed time or measures one. Each waits for a condition, with a
timeout that is far longer than even a loaded machine needs.
"""

import pathlib
import shutil
import tempfile
import unittest

from bilberrydrum import runtime

runtime.prepare()

import urllib3

from misc import processes
from misc.demos import andes
from tests.fakes import journal, samples

# Timeout of each step, in seconds. It is far longer than any step takes, so that tests
# don't fail on a loaded machine.
DEADLINE = 90.0


class PathCase(unittest.TestCase):
    """A small deployment with a bundle in force."""

    sizes = andes.Sizes(n_engines=2, n_schedules=1, n_scorers=1)
    # Cursor at which the trainer's next batch begins.
    cursor = 0

    @classmethod
    def setUpClass(cls):
        cls.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberrydrum-path-"))
        cls.addClassCleanup(shutil.rmtree, cls.folder)
        cls.processes = processes.Processes(cls.folder)
        cls.addClassCleanup(cls.processes.stop_all)
        cls.andes = andes.Deployment(cls.processes, cls.sizes)
        cls.andes.start_daemons()
        cls.andes.start_upstreams("--step-seconds", "0.005")
        cls.gateways = list(cls.andes.daemons_by_id)
        cls.roll(1, [andes.CALLER, "visitor"])
        processes.wait_for(cls.is_served, DEADLINE, "lookups at every gateway")

    @classmethod
    def roll(cls, version, callers):
        return cls.andes.roll(cls.andes.write_bundle(version, callers), version)

    @classmethod
    def look_up(cls, gateway, caller=andes.CALLER):
        headers = {"X-Caller": caller}
        answer = cls.andes.send_request(
            gateway, "GET", "/apps/schedule/windows?crew=a", headers
        )
        return answer.status if answer is not None else 0

    @classmethod
    def is_served(cls):
        return all(cls.look_up(gateway) == 200 for gateway in cls.gateways)

    def wait_for(self, condition, what):
        try:
            processes.wait_for(condition, DEADLINE, what)
        except processes.ConditionTimeoutError as error:
            raise processes.ConditionTimeoutError(
                f"{error}\n{self.processes.describe()}"
            ) from None

    def retry_until_answered(self, send):
        """Repeat a request until its answer is not a 503; return the answer."""
        answers = []

        def is_answered():
            answers.append(send())
            return answers[-1] is not None and answers[-1].status != 503

        self.wait_for(is_answered, "an answer")
        return answers[-1]

    def assert_look_up(self, status, gateway, caller):
        """Check the status of a lookup, once the gateway has a bundle."""
        statuses = []

        def is_decided():
            statuses.append(self.look_up(gateway, caller))
            return statuses[-1] in (200, 403)

        self.wait_for(is_decided, f"a lookup at {gateway}")
        self.assertEqual(status, statuses[-1])

    def assert_booked(self, gateway, booking_id):
        """Repeat a booking until it is answered; check and return the answer."""
        answer = self.retry_until_answered(lambda: self.book(gateway, booking_id))
        self.assertEqual(201, answer.status)
        self.assertEqual(booking_id, answer.json()["booking_id"])
        self.assertEqual(1, self.n_runs(booking_id))
        return answer

    def book(self, gateway, booking_id, timeout_seconds=30):
        """Send a booking once; return its answer, or None if there was none."""
        headers = {
            "X-Caller": andes.CALLER,
            "X-Timeout-Seconds": str(timeout_seconds),
            "Idempotency-Key": booking_id,
        }
        body = {"booking_id": booking_id, "crew": "a", "window": "w"}
        return self.andes.send_request(
            gateway, "POST", "/apps/schedule/bookings", headers, body, DEADLINE
        )

    def next_version(self):
        """Return the version number that the next bundle must have."""
        return self.andes.tool("bundle", "list")["in_force"] + 1

    def is_listed(self, upstream):
        """Return whether each gateway lists an upstream as available."""
        headers = self.andes.operator_headers()
        for gateway in self.gateways:
            answer = self.andes.send_request(gateway, "GET", "/v1/upstreams", headers)
            if answer is None or answer.status != 200:
                return False
            listed = answer.json()["upstreams"]
            states = [u["state"] for u in listed if u["upstream_id"] == upstream]
            if states != ["stands"]:
                return False
        return True

    def restart_engine(self, engine):
        """Restart an engine that crashed; wait until it answers and is listed."""
        self.processes.restart(engine)

        def answers():
            try:
                self.andes.control(engine)
            except urllib3.exceptions.HTTPError:
                return False
            return self.is_listed(engine)

        self.wait_for(answers, f"{engine} is back")

    def slow_down_bookings(self, seconds):
        """Make the application delay its answers to bookings by `seconds`."""
        self.andes.control("schedule-1", slow_changes_seconds=seconds)

    def n_runs(self, booking_id):
        events = journal.read(self.folder / "schedule-1.journal", "booking")
        return sum(1 for event in events if event["booking_id"] == booking_id)

    def read_group(self, name, prompt, n_slots=6, gateway=""):
        """Request a group, read all its samples, and return the account of them."""
        max_tokens = 24
        gateway = gateway or self.gateways[0]
        trainer = f"/v1/trainers/{andes.TRAINER}"
        account = samples.SampleLedger(andes.TRAINER)
        group = samples.Group(name, prompt, n_slots, max_tokens)
        account.record_request(group)

        def post(path, value):
            return self.retry_until_answered(
                lambda: self.andes.send_request(
                    gateway, "POST", trainer + path, {}, value, 10
                )
            )

        opened = post("/readers", {})
        epoch = opened.json()["reader_epoch"]
        self.assertEqual(type(self).cursor, opened.json()["cursor"])
        value = {
            "groups": [
                {
                    "group_id": name,
                    "prompt": prompt,
                    "n_slots": n_slots,
                    "max_tokens": max_tokens,
                }
            ]
        }
        accepted = post("/groups", value)
        self.assertEqual(202, accepted.status)
        batches = []

        def read(n_samples, wait_seconds):
            path = (
                f"{trainer}/batches?reader_epoch={epoch}&cursor={type(self).cursor}"
                f"&n_samples={n_samples}&wait_seconds={wait_seconds}"
            )
            return self.andes.send_request(gateway, "GET", path, {}, timeout=10)

        def is_complete():
            answer = read(n_slots, 2)
            if answer is not None and answer.status == 200:
                batches.append(answer.json())
                return len(batches[-1]["samples"]) == n_slots
            return False

        self.wait_for(is_complete, f"the samples of {name}")
        for sample in batches[-1]["samples"]:
            account.check_sample(sample, published_version=0)
        type(self).cursor = batches[-1]["next_cursor"]
        # Reading from the next cursor acknowledges the batch.
        self.assertEqual("batch-not-ready", read(1, 0).json()["reason"])
        return account

    def assert_complete(self, account):
        report = account.report()
        self.assertEqual([], report["examples"])
        self.assertEqual(0, report["n_untraceable"])
        self.assertEqual(0, report["n_lost"])
        self.assertEqual(0, report["n_duplicates"])
