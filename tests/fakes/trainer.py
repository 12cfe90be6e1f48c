"""A fake trainer.

It requests groups some steps ahead, reads a batch for each step, checks every sample,
trains for a fixed time and publishes new weights every few steps. It retries without
limit. On SIGTERM it stops requesting groups, and exits after the last step it has
requested. Every few steps it reads a batch again, or opens a new reader, as a trainer
would that lost an answer or was restarted.
"""

import argparse
import json
import pathlib
import time
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import eventlet
import urllib3

from tests.fakes import gateways, journal, samples, server

WAIT_SECONDS: Final = 5.0
TIMEOUT_SECONDS: Final = 10.0


class Trainer:
    """One trainer."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger = samples.SampleLedger(options.id)
        self.journal = journal.Journal(options.journal)
        self.weight_version = 0
        self.idle_seconds = 0.0
        self.n_steps = 0
        self.n_retries = 0
        self._path = f"/v1/trainers/{options.id}"
        self._client = gateways.GatewayClient(options.gateway, options.token_file)
        self._pool = urllib3.PoolManager(retries=False)
        self._reader_epoch = 0
        self._cursor = 0
        self._n_steps_requested = 0
        self._is_stopping = False

    def run(self) -> dict[str, Any]:
        """Train; return the report."""
        server.on_terminate(self._stop_requesting)
        self._open_reader()
        start = time.monotonic()
        while self.n_steps < self._n_steps_wanted():
            self._request_ahead()
            batch_start = time.monotonic()
            batch = self._read_step()
            self.idle_seconds += time.monotonic() - batch_start
            eventlet.sleep(self.options.step_seconds)
            self.n_steps += 1
            if self.n_steps % self.options.publish_every == 0:
                self._publish()
            self.journal.write(
                "step",
                step=self.n_steps,
                n_samples=len(batch),
                weight_version=self.weight_version,
                idle_seconds=round(self.idle_seconds, 3),
            )
        total = time.monotonic() - start
        self._acknowledge_all()
        return {
            **self.ledger.report(),
            "n_steps": self.n_steps,
            "weight_version": self.weight_version,
            "trainer_idle_fraction": round(self.idle_seconds / total, 4),
            "total_seconds": round(total, 2),
            "n_retries": self.n_retries,
        }

    def _stop_requesting(self) -> None:
        self._is_stopping = True

    def _n_steps_wanted(self) -> int:
        if self._is_stopping:
            return self._n_steps_requested
        n_steps: int = self.options.n_steps
        return n_steps

    # Requests to the system.

    def _send_request(
        self, method: str, path: str, value: Any = None
    ) -> gateways.Answer:
        """Retry until there is a 2xx answer, or a 409 that no retry would change."""
        while True:
            answer = self._client.request(
                method, self._path + path, value, timeout=TIMEOUT_SECONDS
            )
            if answer is not None:
                if 200 <= answer.status < 300 or answer.status == 409:
                    return answer
                reason = answer.problem().get("reason", str(answer.status))
                self.journal.write("retry", path=path, reason=reason)
                if reason != "batch-not-ready":
                    self._client.use_next_gateway()
            else:
                self.journal.write("retry", path=path, reason="no-answer")
            self.n_retries += 1
            eventlet.sleep(0.1 if answer is None else answer.retry_after(most=0.5))

    def _open_reader(self) -> None:
        answer = self._send_request("POST", "/readers", {}).json()
        if answer["cursor"] != self._cursor:
            raise SystemExit(
                f"new reader got cursor {answer['cursor']}, "
                f"expected {self._cursor} as acknowledged"
            )
        self._reader_epoch = answer["reader_epoch"]

    def _request_ahead(self) -> None:
        """Request the groups of the steps ahead."""
        options = self.options
        n_steps = min(self._n_steps_wanted(), self.n_steps + 1 + options.n_steps_ahead)
        while self._n_steps_requested < n_steps:
            step = self._n_steps_requested
            groups = [self._group(step, i) for i in range(options.n_groups)]
            for group in groups:
                self.ledger.record_request(group)
            value = {
                "groups": [
                    {
                        "group_id": group.group_id,
                        "prompt": group.prompt,
                        "n_slots": group.n_slots,
                        "max_tokens": group.max_tokens,
                    }
                    for group in groups
                ]
            }
            answer = self._send_request("POST", "/groups", value)
            if answer.status != 202:
                raise SystemExit(
                    f"group request failed with {answer.status}: {answer.body!r}"
                )
            self._n_steps_requested += 1

    def _group(self, step: int, number: int) -> samples.Group:
        plant = f"plant {number} of {self.options.id}"
        return samples.Group(
            f"s{step}-g{number}",
            f"{'Plan the outage of ' * 14}{plant}, week {step}.",
            self.options.n_slots,
            self.options.max_tokens,
        )

    def _read_step(self) -> list[dict[str, Any]]:
        """Read the samples of one step; a batch may contain fewer than requested."""
        n_wanted = self.options.n_groups * self.options.n_slots
        step: list[dict[str, Any]] = []
        while len(step) < n_wanted:
            batch = self._read(n_wanted - len(step))
            if self._is_time(self.options.reread_every):
                batch = self._read(n_wanted - len(step))
            elif self._is_time(self.options.reopen_every):
                self._open_reader()
                batch = self._read(n_wanted - len(step))
            step.extend(batch["samples"])
            self._cursor = batch["next_cursor"]
        return step

    def _is_time(self, every: int) -> bool:
        return every > 0 and self.n_steps % every == every - 1

    def _read(self, n_samples: int) -> dict[str, Any]:
        """Read and check the samples from the cursor on."""
        while True:
            answer = self._send_request(
                "GET",
                f"/batches?reader_epoch={self._reader_epoch}&cursor={self._cursor}"
                f"&n_samples={n_samples}&wait_seconds={WAIT_SECONDS}",
            )
            if answer.status == 200:
                break
            reason = answer.problem().get("reason")
            self.journal.write("refused", reason=reason)
            if reason != "reader-superseded":
                raise SystemExit(f"batch request failed: {answer.body!r}")
            self._open_reader()
        batch: dict[str, Any] = answer.json()
        for number, sample in enumerate(batch["samples"]):
            self.ledger.check_sample(sample, self.weight_version)
            if sample["position"] != self._cursor + number:
                raise SystemExit(
                    f"got position {sample['position']} in the batch at {self._cursor}"
                )
        return batch

    def _acknowledge_all(self) -> None:
        """Acknowledge the last batch, as the next step would."""
        self._client.request(
            "GET",
            f"{self._path}/batches?reader_epoch={self._reader_epoch}"
            f"&cursor={self._cursor}&n_samples=1&wait_seconds=0",
        )

    def _publish(self) -> None:
        """Store new weights, then publish them."""
        version = self.weight_version + 1
        url = f"{self.options.store}/weights/{self.options.model}/{version}"
        while True:
            try:
                if self._pool.request("PUT", url, body=b"").status == 200:
                    break
            except urllib3.exceptions.HTTPError:
                self.n_retries += 1
            eventlet.sleep(0.1)
        answer = self._send_request("POST", "/weights", {"weight_version": version})
        if answer.status != 200:
            raise SystemExit(
                f"publication failed with {answer.status}: {answer.body!r}"
            )
        self.weight_version = version
        self.journal.write("published", weight_version=version)


def main() -> None:
    """Train and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--token-file", default="")
    parser.add_argument("--store", required=True, help="base URL of the weight store")
    parser.add_argument("--model", default="planner")
    parser.add_argument("--n-steps", type=int, default=24)
    parser.add_argument("--n-groups", type=int, default=4, help="groups of a step")
    parser.add_argument("--n-slots", type=int, default=4, help="samples of a group")
    parser.add_argument("--max-tokens", type=int, default=96)
    parser.add_argument("--n-steps-ahead", type=int, default=2)
    parser.add_argument("--step-seconds", type=float, default=0.5)
    parser.add_argument("--publish-every", type=int, default=5, help="steps")
    parser.add_argument("--reread-every", type=int, default=4, help="steps")
    parser.add_argument("--reopen-every", type=int, default=7, help="steps")
    parser.add_argument("--journal", default="")
    parser.add_argument("--report", default="")
    options = parser.parse_args()
    report = json.dumps(Trainer(options).run())
    if options.report:
        pathlib.Path(options.report).write_text(report + "\n")
    print(report)


if __name__ == "__main__":
    main()
