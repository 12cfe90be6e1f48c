"""Membership changes: one at a time, with a reachable majority, learners first."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.state import events, membership, membership_planner, node
from tests import test_state_core
from tests.fakes import replica_group

LEARNER = membership.ReplicaInfo("d", "p-d", "at-d", is_voter=False)


def voter(name: str) -> membership.ReplicaInfo:
    found = test_state_core.MEMBERS.find(name)
    assert found is not None
    return found


class Refused(unittest.TestCase):
    """Changes that would endanger the group are refused with the reason."""

    def refusal(
        self, one: test_state_core.CoreHarness, change: membership.Change
    ) -> str:
        effects = one.step(events.ProposeChange(change, 0.0, 1))
        refused = [each for each in effects if isinstance(each, events.ChangeRefused)]
        return refused[0].detail if refused else ""

    def test_second_change_before_the_first_is_committed(self) -> None:
        """Two operators change the membership at once.

        With two uncommitted changes, two leaders could have majorities without a common
        replica.
        """
        one = test_state_core.CoreHarness()
        one.establish()
        one.acknowledge("c", 2)
        add = membership.Change(membership.ADD_LEARNER, LEARNER)
        remove = membership.Change(membership.REMOVE, voter("c"))
        self.assertEqual(self.refusal(one, add), "")
        self.assertIn("under way", self.refusal(one, remove))
        one.sync()
        one.acknowledge("b", 3)
        self.assertEqual(self.refusal(one, remove), "")

    def test_change_before_the_leader_committed_in_its_term(self) -> None:
        one = test_state_core.CoreHarness()
        one.lead()
        change = membership.Change(membership.ADD_LEARNER, LEARNER)
        self.assertIn("not committed in its term", self.refusal(one, change))

    def test_removal_that_loses_the_majority(self) -> None:
        """One of three hosts is lost, and an operator removes a healthy one.

        Two voters would remain, one of them lost. Nothing could then be committed,
        not even the reversal of the change.
        """
        one = test_state_core.CoreHarness()
        one.establish()
        detail = self.refusal(one, membership.Change(membership.REMOVE, voter("b")))
        self.assertIn("lose its majority", detail)
        self.assertIn("not heard from: c", detail)
        lost = membership.Change(membership.REMOVE, voter("c"))
        self.assertEqual(self.refusal(one, lost), "")

    def test_vote_for_a_learner_that_has_not_caught_up(self) -> None:
        one = test_state_core.CoreHarness()
        one.establish()
        add = membership.Change(membership.ADD_LEARNER, LEARNER)
        self.assertEqual(self.refusal(one, add), "")
        one.sync()
        one.acknowledge("b", 3)
        promote = membership.Change(membership.PROMOTE, LEARNER)
        self.assertIn("caught up", self.refusal(one, promote))
        one.acknowledge("d", 3)
        self.assertEqual(self.refusal(one, promote), "")

    def test_last_voter(self) -> None:
        only = membership.Membership((voter("a"),))
        after = membership.apply_change(
            only, membership.Change(membership.REMOVE, voter("a"))
        )
        self.assertIsInstance(after, membership.Refusal)


class NextChange(unittest.TestCase):
    """Which change the leader makes without an operator."""

    MEMBERS = test_state_core.MEMBERS
    NEW_C = membership.ReplicaInfo("c2", "p-c", "at-c", is_voter=False)

    @tools.params(
        ("joins", (), (0, False), 100, "add-learner"),
        ("old replica gone", ("c2",), (100, False), 100, "remove"),
        ("old replica reachable", ("c2",), (100, True), 100, None),
        ("behind", ("d",), (100, True), 1000, None),
        ("caught up", ("d",), (100, True), 300, "promote"),
    )
    def test_due(
        self,
        name: str,
        learners: tuple[str, ...],
        progress: tuple[int, bool],
        commit_index: int,
        kind: str | None,
    ) -> None:
        current = self.MEMBERS
        joining = {"p-c": self.NEW_C}
        if learners:
            joining = {}
        if "c2" in learners:
            current = membership.Membership((*current.replicas, self.NEW_C))
        if "d" in learners:
            current = membership.Membership((*current.replicas, LEARNER))
        match_index, is_old_reachable = progress
        change = membership_planner.next_change(
            current,
            joining,
            {
                "c2": membership_planner.ReplicaProgress(match_index, True),
                "c": membership_planner.ReplicaProgress(0, is_old_reachable),
                "d": membership_planner.ReplicaProgress(match_index, True),
            },
            commit_index,
        )
        self.assertEqual(change.kind if change else None, kind, name)


class BoundedGroup(unittest.TestCase):
    """A group of three voters replaces those that are lost or leaving."""

    VOTERS = tuple(membership.ReplicaInfo(f"r{i}", f"p{i}", f"a{i}") for i in range(4))
    LEARNER = attrs.evolve(VOTERS[3], is_voter=False)

    def due(self, replicas, lost=(), leaving=(), joining=(), behind=()):
        """Return the kind and the replica id of the change that is due."""
        progress = {
            each.replica_id: membership_planner.ReplicaProgress(
                100 if each.replica_id not in behind else 0,
                each.replica_id not in lost,
            )
            for each in replicas
        }
        policy = membership_planner.Policy(3, frozenset(lost), frozenset(leaving))
        change = membership_planner.next_change(
            membership.Membership(tuple(replicas)),
            {each.process_id: each for each in joining},
            progress,
            100,
            policy,
        )
        return (change.kind, change.replica.replica_id) if change else None

    @tools.params(
        ("all well", VOTERS[:3], (), (), (), None),
        ("one is spare", VOTERS[:3], (), (), (LEARNER,), None),
        ("one is lost", VOTERS[:3], ("r0",), (), (LEARNER,), ("add-learner", "r3")),
        ("one leaves", VOTERS[:3], (), ("p0",), (LEARNER,), ("add-learner", "r3")),
        ("a spare one is leaving", VOTERS[:3], ("r0",), ("p3",), (LEARNER,), None),
        ("lost, caught up", (*VOTERS[:3], LEARNER), ("r0",), (), (), ("remove", "r0")),
        ("then promoted", (*VOTERS[1:3], LEARNER), (), (), (), ("promote", "r3")),
        (
            "leaves, caught up",
            (*VOTERS[:3], LEARNER),
            (),
            ("p0",),
            (),
            ("promote", "r3"),
        ),
        ("then removed", VOTERS, (), ("p0",), (), ("remove", "r0")),
        ("no spare to replace it", VOTERS[:3], ("r0",), (), (), None),
    )
    def test_due(self, name, replicas, lost, leaving, joining, expected):
        self.assertEqual(self.due(replicas, lost, leaving, joining), expected, name)

    @tools.params(
        ("the zone that lost one", {"p3": "x", "p4": "z"}, "r4"),
        ("the first that asked, if zones are not known", {}, "r3"),
        ("a zone without any", {"p3": "y", "p4": "v"}, "r4"),
    )
    def test_zones_stay_spread(self, name, zones, expected):
        """The zones x, y and z have one replica each; the one in z is lost.

        If the two hosts that ask to join were taken in the order of their requests, two
        of the three replicas could be in one zone.
        """
        zones = {"p0": "x", "p1": "y", "p2": "z", **zones} if zones else {}
        candidates = [
            membership.ReplicaInfo(f"r{i}", f"p{i}", f"a{i}", is_voter=False)
            for i in (3, 4)
        ]
        progress = {
            f"r{i}": membership_planner.ReplicaProgress(100, i != 2) for i in range(3)
        }
        policy = membership_planner.Policy(
            3, frozenset({"r2"}), zones_by_process_id=zones
        )
        change = membership_planner.next_change(
            membership.Membership(self.VOTERS[:3]),
            {each.process_id: each for each in candidates},
            progress,
            100,
            policy,
        )
        self.assertEqual(change.replica.replica_id, expected, name)

    def test_leaving_voter_stays_until_it_is_replaced(self):
        """A store leaves, and another one loses its disk right afterwards.

        If the leaving store were removed before the fourth replica became a voter, two
        voters would remain. With one of their disks lost, the group could never commit
        again.
        """
        replicas = (*self.VOTERS[:3], self.LEARNER)
        self.assertIsNone(self.due(replicas, leaving=("p0",), behind=("r3",)))


class LostDisk(unittest.TestCase):
    """A host restarts empty; then a second one is lost."""

    def test_second_host_is_lost_right_after_the_repair(self) -> None:
        """A host loses its disk and rejoins, and another host is lost with its disk.

        The replica that rejoined must be a voter under a new id and have all
        acknowledged entries. Otherwise the two remaining hosts could not continue.
        """
        for seed in range(5):
            group = replica_group.Group(3, seed)
            group.run(4.0)
            hosts = list(group.hosts_by_name.values())
            n_before = group.n_commits
            group.lose_disk(hosts[1])
            new_id = hosts[1].replica_core.node.replica_id
            for _ in range(30):
                group.run(1.0)
                info = hosts[1].replica_core.node.members.find(new_id)
                if info is not None and info.is_voter:
                    break
            self.assertTrue(info and info.is_voter)
            group.crash(hosts[2])
            del group.hosts_by_name["h2"]
            n_repaired = group.n_commits
            group.run(6.0)
            self.assertGreater(n_repaired, n_before)
            self.assertGreater(group.n_commits, n_repaired)

    def test_returned_host_does_not_vote_for_what_it_lost(self) -> None:
        """The only other replica that has an entry of the leader loses its disk.

        The third replica never received the entry. The host restarts empty under its
        old name. If it voted with the third replica, the entry would be lost.
        """
        group = replica_group.Group(3, 7)
        group.run(3.0)
        leader = group.leader()
        assert leader is not None
        holder, lacking = (
            each for each in group.hosts_by_name.values() if each is not leader
        )
        for name in group.hosts_by_name:
            group.cuts |= {(lacking.name, name), (name, lacking.name)}
        group.run(1.0, is_ordered=True)
        group.lose_disk(holder)
        group.crash(leader)
        group.cuts.clear()
        group.run(10.0)
        self.assertIsNone(group.leader())
        self.assertIsInstance(holder.replica_core.node.role, node.Follower)
        group.start(leader)
        group.run(10.0)
        self.assertIsNotNone(group.leader())
