"""The stand-in for an engine, with lengths that belong to the sample.

The length of a sample is drawn from its id, so that another attempt at it, or the same
one going on at another engine, is as long as the first. Drawn anew, a second attempt
would look like a remedy for long samples when it only asks for other, shorter ones.
"""

import random

from bilberrydrum import runtime

runtime.prepare()

from tests.fakes import batching, engine


def length_of(request_id: str, median: int) -> int:
    """Return the length of the sample that a request is an attempt at."""
    sample_id = request_id.partition("#")[0]
    shape = batching.LENGTH_SHAPE
    scale = random.Random(sample_id).paretovariate(shape) / 2 ** (1 / shape)
    return max(1, round(median * scale))


class SampleBatcher(batching.Batcher):
    """Batches streams whose lengths are those of their samples."""

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


def main() -> None:
    """Run the engine."""
    batching.Batcher = SampleBatcher  # type: ignore[misc]
    engine.Engine(engine._parser().parse_args()).run()


if __name__ == "__main__":
    main()
