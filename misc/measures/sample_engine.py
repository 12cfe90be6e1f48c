"""Run the fake engine with lengths that depend only on the sample.

The length of a sample is drawn from its id, so that a second attempt, or an attempt
resumed at another engine, is as long as the first. If each attempt drew its own length,
second attempts would seem to help with long samples, although they would only be given
other, shorter ones.
"""

import random
import time

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import batching, engine, journal

# If two steps are further apart than this many step times, the engine was idle.
MAX_STEPS_BETWEEN = 5
PACE_SECONDS = 0.5


def length_of(request_id: str, median: int) -> int:
    """Return the length, in tokens, of the sample that a request generates."""
    sample_id = request_id.partition("#")[0]
    shape = batching.LENGTH_SHAPE
    scale = random.Random(sample_id).paretovariate(shape) / 2 ** (1 / shape)
    return max(1, round(median * scale))


class SampleBatcher(batching.Batcher):
    """Batches streams with the lengths of their samples, and measures its steps."""

    n_steps = 0
    busy_seconds = 0.0
    _stepped_at = 0.0

    def _step(self) -> None:
        now = time.monotonic()
        seconds = now - self._stepped_at
        if seconds < MAX_STEPS_BETWEEN * self.settings.step_seconds:
            self.n_steps += 1
            self.busy_seconds += seconds
        self._stepped_at = now
        super()._step()

    def submit(
        self,
        request_id: str,
        model: str,
        prompt: str,
        max_tokens: int,
        priority: int,
        n_made: int,
    ) -> batching.Stream:
        """Add a stream that continues after `n_made` tokens."""
        stream = super().submit(request_id, model, prompt, max_tokens, priority, n_made)
        stream.length = length_of(request_id, self.settings.median_length)
        return stream


def record_pace(batcher: SampleBatcher, pace_journal: journal.Journal) -> None:
    """Record how long steps really take, which is longer on a busy machine."""
    while True:
        eventlet.sleep(PACE_SECONDS)
        pace_journal.write(
            "pace",
            time=time.time(),
            n_steps=batcher.n_steps,
            busy_seconds=batcher.busy_seconds,
            n_tokens=batcher.n_tokens,
        )


def main() -> None:
    """Run the engine."""
    batching.Batcher = SampleBatcher  # type: ignore[misc]
    fake_engine = engine.Engine(engine._parser().parse_args())
    assert isinstance(fake_engine.batcher, SampleBatcher)
    eventlet.spawn(record_pace, fake_engine.batcher, fake_engine.journal)
    fake_engine.run()


if __name__ == "__main__":
    main()
