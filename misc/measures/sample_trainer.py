"""A trainer that measures how long it waits and how stale its samples are.

It works like the fake trainer, but in a steady state: it requests groups ahead until
after the measurement, so that neither the first nor the last step is among the figures.
"""

import argparse
import json
import pathlib
import time
from typing import Any

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import trainer


class MeasuringTrainer(trainer.Trainer):
    """Trains, and measures each step after the warm-up."""

    def run(self) -> dict[str, Any]:
        """Train; return the figures of the measured steps."""
        self._open_reader()
        while self.n_steps < self.options.n_warm_steps:
            self._step()
        self.ledger.n_by_staleness.clear()
        steps = []
        began = time.time()
        while time.time() < began + self.options.measure_seconds:
            steps.append(self._step())
        ended = time.time()
        return {
            **self.ledger.report(),
            "began": began,
            "ended": ended,
            "n_steps": len(steps),
            "idle_seconds": sum(step["idle_seconds"] for step in steps),
            "train_seconds": self.options.step_seconds * len(steps),
            "n_tokens": sum(step["n_tokens"] for step in steps),
            "n_retries": self.n_retries,
            "n_tokens_by_sample": {
                sample_id: len(token_ids)
                for sample_id, token_ids in self.ledger.tokens_by_id.items()
            },
        }

    def _step(self) -> dict[str, Any]:
        self._request_ahead()
        began = time.monotonic()
        samples = self._read_step()
        idle = time.monotonic() - began
        self.n_steps += 1
        # Groups are requested before training, so that engines have work during it.
        self._request_ahead()
        eventlet.sleep(self.options.step_seconds)
        if self.n_steps % self.options.publish_every == 0:
            self._publish()
        step = {
            "idle_seconds": idle,
            "n_tokens": sum(len(sample["token_ids"]) for sample in samples),
        }
        self.journal.write("step", step=self.n_steps, **step)
        return step


def main() -> None:
    """Train and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--n-groups", type=int, required=True)
    parser.add_argument("--n-slots", type=int, required=True)
    parser.add_argument("--max-tokens", type=int, required=True)
    parser.add_argument("--n-steps-ahead", type=int, required=True)
    parser.add_argument("--step-seconds", type=float, required=True)
    parser.add_argument("--publish-every", type=int, required=True)
    parser.add_argument("--n-warm-steps", type=int, required=True)
    parser.add_argument("--measure-seconds", type=float, required=True)
    parser.add_argument("--report", required=True)
    parser.add_argument("--journal", default="")
    parser.set_defaults(
        n_steps=1_000_000, reread_every=0, reopen_every=0, token_file=""
    )
    options = parser.parse_args()
    report = MeasuringTrainer(options).run()
    pathlib.Path(options.report).write_text(json.dumps(report))


if __name__ == "__main__":
    main()
