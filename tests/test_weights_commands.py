"""Published versions in the replicated state."""

import unittest

from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.weights import commands, queries


def publish(state: machine.State, trainer: str, model: str, version: int) -> int:
    answer = machine.apply(
        commands.PublishWeights(trainer, model, version),
        state,
        machine.Context(index=1, time=50.0),
    )
    return int(answer.weight_version)


class PublishTest(unittest.TestCase):
    @tools.params(
        ("first", [3], [3], 3),
        ("rises", [1, 2], [1, 2], 2),
        ("resent", [2, 2], [2, 2], 2),
        ("late", [4, 3], [4, 4], 4),
        ("late_then_resent", [4, 3, 4], [4, 4, 4], 4),
    )
    def test_version_only_rises(self, _name, versions, answers, newest):
        """A trainer resends a publication, or an older one arrives after a newer one.

        Each answer is the newest version. If the version fell, samples would count as
        fresher than they are.
        """
        state = machine.State()
        received = [
            publish(state, "outage", "planner", version) for version in versions
        ]
        self.assertEqual(received, answers)
        self.assertEqual(commands.newest_version(state, "outage"), newest)

    def test_before_the_first_publication(self):
        state = machine.State()
        self.assertEqual(commands.newest_version(state, "outage"), 0)
        self.assertEqual(commands.newest_versions(state), {})
        self.assertEqual(commands.newest_model_version(state, "planner"), 0)

    def test_trainers_that_share_a_model(self):
        state = machine.State()
        publish(state, "wages", "drafter", 5)
        publish(state, "exits", "drafter", 3)
        publish(state, "outage", "planner", 9)
        self.assertEqual(
            commands.newest_versions(state), {"wages": 5, "exits": 3, "outage": 9}
        )
        self.assertEqual(commands.newest_model_version(state, "drafter"), 5)
        answer = machine.answer(queries.ListPublications(), state, 0.0)
        for trainers, newest in (
            (("wages", "exits", "outage"), {"drafter": 5, "planner": 9}),
            (("exits",), {"drafter": 3}),
        ):
            self.assertEqual(answer.newest_model_versions(trainers), newest)

    @tools.params(
        ("ahead", 4, 5, 5, {"planner": 5}),
        ("published_already", 4, 4, 4, {}),
        ("older", 4, 3, 4, {}),
        ("before_any", None, 1, 1, {"planner": 1}),
    )
    def test_prepare(self, _name, published, prepared, answered, wanted):
        state = machine.State()
        if published is not None:
            publish(state, "outage", "planner", published)
        context = machine.Context(index=2, time=51.0)
        for _ in range(2):
            command = commands.PrepareWeights("outage", "planner", prepared)
            answer = machine.apply(command, state, context)
            self.assertEqual(answer.weight_version, answered)
        answer = machine.answer(queries.ListPublications(), state, 0.0)
        self.assertEqual(answer.prepared_model_versions(["outage"]), wanted)
        self.assertEqual(commands.newest_version(state, "outage"), published or 0)
        publish(state, "outage", "planner", answered)
        answer = machine.answer(queries.ListPublications(), state, 0.0)
        self.assertEqual(answer.prepared_model_versions(["outage"]), {})

    def test_roles(self):
        state = machine.State()
        context = machine.Context(index=1, time=0.0)
        machine.apply(commands.SetRole("e0", "prefill"), state, context)
        machine.apply(commands.SetRole("e1", "prefill"), state, context)
        machine.apply(commands.SetRole("e1", ""), state, context)
        answer = machine.answer(queries.ListPublications(), state, 0.0)
        self.assertEqual(answer.roles_by_upstream_id, {"e0": "prefill"})

    @tools.params((4, 6, 6), (6, 4, 6), (None, 6, 6), (6, None, 6))
    def test_restored_from_a_backup(self, saved, current, newest):
        """A backup that is older than the state is restored.

        If the published version fell, samples would count as fresher than they are.
        """
        sections = []
        for version in (saved, current):
            state = machine.State()
            if version is not None:
                publish(state, "outage", "planner", version)
            sections.append(commands.section_of(state))
        machine.keep_rising(*sections)
        restored = machine.State({commands.SECTION: sections[0]})
        self.assertEqual(commands.newest_version(restored, "outage"), newest)

    def test_codec_round_trip(self):
        state = machine.State()
        publish(state, "outage", "planner", 7)
        section = codec.decode(codec.encode(commands.section_of(state)))
        restored = machine.State({commands.SECTION: section})
        self.assertEqual(commands.newest_version(restored, "outage"), 7)
        answer = machine.answer(queries.ListPublications(), restored, 0.0)
        self.assertEqual(codec.decode(codec.encode(answer)), answer)
