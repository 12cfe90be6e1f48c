"""The stand-in for an engine, with lengths that belong to the sample.

The length of a sample is drawn from its id, so that another attempt at it, or the same
one going on at another engine, is as long as the first. Drawn anew, a second attempt
would look like a remedy for long samples when it only asks for other, shorter ones.
"""

import random
import time

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import batching, engine, journal

# A longer time between two steps was an idle one.
MAX_STEPS_BETWEEN = 5
PACE_SECONDS = 0.5


def length_of(request_id: str, median: int) -> int:
    """Return the length of the sample that a request is an attempt at."""
    sample_id = request_id.partition("#")[0]
    shape = batching.LENGTH_SHAPE
    scale = random.Random(sample_id).paretovariate(shape) / 2 ** (1 / shape)
    return max(1, round(median * scale))


class SampleBatcher(batching.Batcher):
    """Batches streams whose lengths are those of their samples, and times its steps."""

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
        """Take on a generation that goes on after `n_made` tokens."""
        stream = super().submit(request_id, model, prompt, max_tokens, priority, n_made)
        stream.length = length_of(request_id, self.settings.median_length)
        return stream


def note_pace(batcher: SampleBatcher, notes: journal.Journal) -> None:
    """Note how long steps really take, which a busy machine makes longer."""
    while True:
        eventlet.sleep(PACE_SECONDS)
        notes.write(
            "pace",
            time=time.time(),
            n_steps=batcher.n_steps,
            busy_seconds=batcher.busy_seconds,
            n_tokens=batcher.n_tokens,
        )


def main() -> None:
    """Run the engine."""
    batching.Batcher = SampleBatcher  # type: ignore[misc]
    stand_in = engine.Engine(engine._parser().parse_args())
    assert isinstance(stand_in.batcher, SampleBatcher)
    eventlet.spawn(note_pace, stand_in.batcher, stand_in.journal)
    stand_in.run()


if __name__ == "__main__":
    main()
