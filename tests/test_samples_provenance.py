"""Segments come from the stream's reports; without them there is no sample."""

import unittest

import hypothesis
from hypothesis import strategies as st
from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.requests import model as request_model
from bilberrydrum.samples import model, provenance
from tests import samples_support as support

Segment = model.Segment
Event = request_model.Tokens


def output_of(events: list[Event]) -> provenance.PartialOutput:
    output = provenance.PartialOutput()
    for event in events:
        output.add(event)
    return output


class PartialOutput(unittest.TestCase):
    @tools.params(
        ("one version", [support.tokens(1), support.tokens(2, 3)], [(0, 0, 2)]),
        (
            "a swap in the middle",
            [support.tokens(1, 2), support.tokens(3, version=1)],
            [(0, 0, 1), (1, 2, 2)],
        ),
        (
            "resumed at an engine that lies behind",
            [support.tokens(1, version=2), support.tokens(2, version=1)],
            [(2, 0, 0), (1, 1, 1)],
        ),
        ("an event without tokens", [support.tokens(), support.tokens(1)], [(0, 0, 0)]),
        (
            "an event without tokens and version",
            [support.tokens(version=None), support.tokens(1)],
            [(0, 0, 0)],
        ),
    )
    def test_traceable(
        self, name: str, events: list[Event], segments: list[tuple[int, int, int]]
    ) -> None:
        found = output_of(events).finish(support.finished(), 64)
        self.assertEqual(found.unwrap(), tuple(Segment(*each) for each in segments))

    @tools.params(
        ("no tokens at all", [], "stop"),
        ("no version", [support.tokens(1, version=None)], "stop"),
        ("negative version", [support.tokens(1, version=-1)], "stop"),
        (
            "one event without a version",
            [support.tokens(1), support.tokens(2, version=None), support.tokens(3)],
            "stop",
        ),
        (
            "text without tokens",
            [support.tokens(1), Event("lost", (), 0, "engine-1"), support.tokens(2)],
            "stop",
        ),
        ("too few for the length", [support.tokens(1, 2)], "length"),
        ("more than asked for", [support.tokens(1, 2, 3, 4, 5)], "stop"),
    )
    def test_untraceable(self, name: str, events: list[Event], finish: str) -> None:
        """An engine's stream leaves out a version or tokens, or repeats some.

        Its segments would contain a version that was not reported, so the attempt fails
        and is retried.
        """
        found = output_of(events).finish(support.finished(finish), 4)
        self.assertEqual(found.err(), reasons.Reason.SAMPLE_UNTRACEABLE, name)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), min_size=1)
    )
    def test_each_token_has_the_version_reported_for_it(
        self, runs: list[tuple[int, int]]
    ) -> None:
        events = [support.tokens(*range(n), version=version) for version, n in runs]
        output = output_of(events)
        reported = [version for version, n in runs for _ in range(n)]
        named = [
            segment.weight_version
            for segment in output.segments
            for _ in range(segment.first_token, segment.last_token + 1)
        ]
        self.assertEqual(named, reported)
        self.assertEqual(
            provenance.covers(output.segments, len(reported)), bool(reported)
        )

    @tools.params(
        ("gap", [Segment(0, 0, 1), Segment(0, 3, 3)], 4, False),
        ("overlap", [Segment(0, 0, 2), Segment(0, 2, 3)], 4, False),
        ("late start", [Segment(0, 1, 3)], 4, False),
        ("empty segment", [Segment(0, 0, -1), Segment(0, 0, 3)], 4, False),
        ("short", [Segment(0, 0, 2)], 4, False),
        ("no version", [Segment(-1, 0, 3)], 4, False),
        ("whole", [Segment(0, 0, 2), Segment(1, 3, 3)], 4, True),
    )
    def test_covers(
        self, name: str, segments: list[Segment], n: int, expected: bool
    ) -> None:
        self.assertEqual(provenance.covers(segments, n), expected, name)
