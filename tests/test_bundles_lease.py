"""Bundle leases: nothing is in force while any gateway can act on an older bundle."""

import copy
import unittest
from typing import Any

from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.bundles import commands, holder, lease_table, messages, model
from tests.fakes import lease_world


class TestRoll(unittest.TestCase):
    def test_in_force_once_all_gateways_have_confirmed(self) -> None:
        world = lease_world.World()
        world.renew_all("g0", "g1")
        world.roll()
        self.assertEqual(world.in_force(), 0)
        world.exchange("g0")
        self.assertEqual(world.in_force(), 0)
        self.assertEqual(
            world.leader.lease_table.status(world.now),
            messages.RollStatus(1, 1, 2, ("g1",)),
        )
        world.exchange("g1")
        self.assertEqual(world.in_force(), 1)
        for gateway in world.incarnations:
            self.assertEqual(world.acts_on(gateway), 1)

    def test_cut_off_gateways_lease_expires_before_the_roll_is_in_force(self) -> None:
        """A gateway is cut off; an operator rolls a bundle with the policy "refuse".

        The gateway refuses callers as soon as its lease has expired, and only then is
        the roll reported in force. Its clock is slow by nearly the drift margin.
        """
        world = lease_world.World({"g0": 1.0, "g1": 0.96})
        world.roll()
        world.renew_all("g0", "g1")
        self.assertEqual(world.in_force(), 1)
        world.roll()
        world.exchange("g0")
        while world.in_force() == 1:
            self.assertLess(world.now, 1000 + lease_world.LEASE + 1)
            world.advance(0.01)
            world.renew_all("g0")
        self.assertIsNone(world.acts_on(world.gateways_by_id["g1"]))
        self.assertEqual(world.acts_on(world.gateways_by_id["g0"]), 2)

    def test_reconnected_gateway_gets_the_newest_of_600_changes_first(self) -> None:
        """A gateway is cut off, 600 bundles are rolled, and the partition heals.

        Its first grant contains the newest bundle. It must never act on one in between
        nor on the old one, not even when an old push arrives late.
        """
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        old_push = messages.Push(1, "version: 1\nparent: 0\n")
        for _ in range(600):
            world.roll()
            world.exchange("g0")
            world.advance(lease_world.LEASE + 0.1)
            world.renew_all("g0")
        self.assertEqual(world.in_force(), 601)
        gateway = world.gateways_by_id["g1"]
        world.in_flight.clear()
        self.assertIsNone(world.acts_on(gateway))
        world.renew_all("g1")
        world.step_gateway(gateway, holder.PushReceived("old leader", old_push))
        self.assertEqual(world.acts_on(gateway), 601)
        self.assertEqual(gateway.versions, [1, 601])

    def test_restarted_gateway_starts_with_the_newest(self) -> None:
        """A gateway restarts while bundle 2 rolls; its earlier incarnation still runs.

        The new incarnation gets bundle 2 with its first lease. The roll must wait for
        the lease of the earlier one, which may still serve under the old bundle.
        """
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        earlier = world.gateways_by_id["g1"]
        world.roll()
        world.exchange("g0")
        world.start_gateway("g1")
        world.exchange("g1")
        self.assertEqual(world.acts_on(world.gateways_by_id["g1"]), 2)
        self.assertEqual(world.acts_on(earlier), 1)
        self.assertEqual(world.in_force(), 1)
        world.advance(lease_world.LEASE)
        self.assertIsNone(world.acts_on(earlier))
        self.assertEqual(world.in_force(), 2)

    def test_suspended_gateway_checks_its_lease_when_it_resumes(self) -> None:
        """A gateway is suspended past its lease, with an unread grant in its socket.

        It resumes in the middle of a request, which the lease check must refuse. The
        lease of the unread grant counts from when its renewal was sent, so it has
        expired as well.
        """
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        gateway = world.gateways_by_id["g1"]
        world.renew("g1")
        world.deliver(world.in_flight[-1])
        unread = world.in_flight[-1]
        world.roll()
        world.exchange("g0")
        world.advance(lease_world.LEASE)
        self.assertEqual(world.in_force(), 2)
        self.assertIsNone(world.acts_on(gateway))
        world.deliver(unread)
        self.assertIsNone(world.acts_on(gateway))

    def test_new_leader_waits_for_its_predecessors_leases(self) -> None:
        """The leader is lost during a roll of which one gateway has received nothing.

        The new leader does not know which leases were granted. It must not assume that
        the lease of the silent gateway has expired until a full lease has passed.
        """
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        world.roll()
        world.exchange("g0")
        world.in_flight.clear()
        world.elect()
        world.renew("g0")
        world.exchange("g0")
        self.assertEqual(world.acts_on(world.gateways_by_id["g1"]), 1)
        self.assertEqual(world.in_force(), 1)
        world.advance(lease_world.LEASE)
        self.assertIsNone(world.acts_on(world.gateways_by_id["g1"]))
        self.assertEqual(world.in_force(), 2)

    def test_next_roll_waits_for_a_lease_kept_over_a_push(self) -> None:
        """A gateway adopts bundle 2 from a push, under its long lease for bundle 1.

        Its confirmation arrives, the grant for 2 does not, and it is cut off. It acts
        on 2 for the rest of the long lease; bundle 3 must not be in force before that.
        """
        world = lease_world.World({"g0": 1.0})
        world.roll(model.CUT_HOLD)
        world.renew_all("g0")
        world.roll()
        push = world.in_flight[-1]
        world.deliver(push)
        confirmation = world.in_flight[-1]
        world.deliver(confirmation)
        self.assertEqual(world.in_force(), 2)
        world.in_flight.clear()
        world.roll()
        world.advance(lease_world.LEASE * 2)
        self.assertEqual(world.acts_on(world.gateways_by_id["g0"]), 2)
        self.assertEqual(world.in_force(), 2)
        world.advance(lease_world.HOLD_LEASE)
        self.assertIsNone(world.acts_on(world.gateways_by_id["g0"]))
        self.assertEqual(world.in_force(), 3)

    def test_confirmation_of_an_older_version_keeps_the_predecessors_lease(
        self,
    ) -> None:
        """A new leader rolls 3 while a gateway's renewal with bundle 2 is in flight.

        The renewal arrives, and the gateway is cut off with the lease that the
        predecessor granted for 2. The renewal does not say when that lease expires, so
        3 must still wait for it.
        """
        world = lease_world.World({"g0": 1.0})
        for _ in range(2):
            world.roll()
            world.renew_all("g0")
        world.elect()
        world.renew("g0")
        under_way = world.in_flight.pop()
        world.roll()
        world.in_flight.clear()
        world.receive(under_way)
        world.in_flight.clear()
        self.assertEqual(world.acts_on(world.gateways_by_id["g0"]), 2)
        self.assertEqual(world.in_force(), 2)

    def test_released_lease_is_not_waited_for(self) -> None:
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        world.step_gateway(world.gateways_by_id["g1"], holder.Released())
        world.step_leader(
            lease_table.ReleaseReceived(world.gateways_by_id["g1"].incarnation)
        )
        world.roll()
        world.exchange("g0")
        self.assertIsNone(world.acts_on(world.gateways_by_id["g1"]))
        self.assertEqual(world.in_force(), 2)

    def test_later_roll_replaces_a_delayed_roll(self) -> None:
        world = lease_world.World()
        world.roll()
        world.renew_all("g0", "g1")
        world.roll()
        world.exchange("g0")
        world.roll()
        world.exchange("g0", "g1")
        self.assertEqual(world.in_force(), 3)
        self.assertNotIn(2, world.gateways_by_id["g1"].versions[-1:])

    def test_gateway_ahead_of_a_restored_state_is_not_reverted(self) -> None:
        """All replicas are lost; the state is restored from a copy that ends at 1.

        Gateways act on 2. They must get no lease for 1 and refuse work until a bundle
        above 2 is rolled, and no other content may be submitted as 2.
        """
        world = lease_world.World()
        world.roll()
        earlier = copy.deepcopy(world.state.state().sections)
        world.roll()
        world.renew_all("g0", "g1")
        world.state.state().sections = earlier
        world.elect()
        world.renew_all("g0", "g1")
        world.advance(lease_world.LEASE)
        for gateway in world.incarnations:
            self.assertIsNone(world.acts_on(gateway))
        refused = world.state.apply(
            commands.SubmitBundle(2, 1, "d", "ana", model.CUT_REFUSE, "other")
        )
        self.assertEqual(refused.reason, reasons.Reason.BUNDLE_STALE)

    def test_earlier_incarnation_gets_no_lease(self) -> None:
        """Two processes run under one name, as the earlier one was considered dead.

        Each lease of the earlier one would delay all later rolls.
        """
        world = lease_world.World({"g0": 1.0})
        world.renew_all("g0")
        earlier = world.gateways_by_id["g0"]
        world.start_gateway("g0")
        world.in_flight.clear()
        world.step_gateway(earlier, holder.RenewalDue())
        world.deliver(world.in_flight[0])
        answers = [message.body for message in world.in_flight]
        self.assertEqual(answers, [messages.Unregistered(1, is_superseded=True)])

    def test_silent_gateway_is_dropped_and_must_register(self) -> None:
        world = lease_world.World()
        world.renew_all("g0", "g1")
        world.advance(lease_table.FORGET_SECONDS - 1)
        world.renew_all("g0")
        world.advance(2)
        self.assertEqual(list(world.leader.lease_table.gateways_by_incarnation), [1])
        world.renew("g1")
        world.deliver(world.in_flight[-1])
        self.assertEqual(world.in_flight[-1].body, messages.Unregistered(2))


class TestCutPolicy(unittest.TestCase):
    @tools.params((model.CUT_REFUSE, lease_world.LEASE), (model.CUT_HOLD, 60.0))
    def test_cut_off_gateway_serves_for_as_long_as_the_policy_allows(
        self, policy: str, seconds: float
    ) -> None:
        """A gateway is cut off under a bundle with either partition policy.

        "refuse": it refuses callers after the short lease, and the roll completes.
        "hold": it serves under the old bundle for the long lease, and the roll is not
        in force until that lease has expired.
        """
        world = lease_world.World()
        world.roll(policy)
        world.renew_all("g0", "g1")
        world.roll()
        world.exchange("g0")
        world.advance(seconds * 0.94)
        self.assertEqual(world.acts_on(world.gateways_by_id["g1"]), 1)
        self.assertEqual(world.in_force(), 1)
        world.advance(seconds * 0.06)
        self.assertIsNone(world.acts_on(world.gateways_by_id["g1"]))
        self.assertEqual(world.in_force(), 2)

    def test_hold_ends_when_the_cut_off_side_confirms(self) -> None:
        world = lease_world.World()
        world.roll(model.CUT_HOLD)
        world.renew_all("g0", "g1")
        world.roll()
        world.exchange("g0")
        world.advance(20)
        self.assertEqual(world.in_force(), 1)
        world.renew_all("g1")
        self.assertEqual(world.in_force(), 2)

    def test_new_leader_waits_for_a_hold_lease(self) -> None:
        """The leader fails; the bundle in force says "hold", the rolling one "refuse".

        A silent gateway may have the long lease. If the new leader waited only for the
        short lease of the rolling bundle, the roll would be reported in force while the
        gateway still serves under the old bundle.
        """
        world = lease_world.World()
        world.roll(model.CUT_HOLD)
        world.renew_all("g0", "g1")
        world.roll()
        world.in_flight.clear()
        world.elect()
        world.renew_all("g0")
        world.advance(lease_world.LEASE * 2)
        self.assertEqual(world.acts_on(world.gateways_by_id["g1"]), 1)
        self.assertEqual(world.in_force(), 1)

    def test_first_short_lease_ends_a_longer_one(self) -> None:
        world = lease_world.World()
        world.roll(model.CUT_HOLD)
        world.renew_all("g0", "g1")
        world.roll(model.CUT_REFUSE)
        world.exchange("g0", "g1")
        self.assertEqual(world.in_force(), 2)
        world.advance(lease_world.LEASE)
        self.assertIsNone(world.acts_on(world.gateways_by_id["g0"]))


class TestHolder(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = holder.LeaseHolder(0.05)
        self.holder.step(100.0, holder.Registered(7))

    def grant(self, **fields: Any) -> holder.GrantReceived:
        known: dict[str, Any] = {
            "sequence": 1,
            "incarnation": 7,
            "version": 1,
            "lease_seconds": 10.0,
            "content": "version: 1\nparent: 0\n",
        }
        grant = messages.Grant(**{**known, **fields})
        bundle = holder.read(grant.version, grant.content)
        return holder.GrantReceived("leader", grant, bundle)

    @tools.params(
        ("before the first grant", None, 100.0, "BUNDLE_LEASE_EXPIRED"),
        ("no bundle rolled yet", {"version": 0, "content": None}, 101.0, "NO_BUNDLE"),
        ("held", {}, 109.4, ""),
        ("counted from sending, less the margin", {}, 109.5, "BUNDLE_LEASE_EXPIRED"),
        (
            "of an earlier incarnation",
            {"incarnation": 6},
            101.0,
            "BUNDLE_LEASE_EXPIRED",
        ),
        ("of an unknown renewal", {"sequence": 9}, 101.0, "BUNDLE_LEASE_EXPIRED"),
        ("newer, content lost", {"content": None}, 101.0, "BUNDLE_LEASE_EXPIRED"),
        ("unreadable", {"content": "version: x"}, 101.0, "BUNDLE_INVALID"),
    )
    def test_current(
        self, name: str, fields: dict[str, Any] | None, now: float, reason: str
    ) -> None:
        if fields is not None:
            self.holder.step(105.0, self.grant(**fields))
        current = self.holder.current(now)
        if reason:
            self.assertEqual(current.unwrap_err(), reasons.Reason[reason], name)
        else:
            self.assertEqual(current.unwrap().version, 1, name)

    def test_copy_of_a_grant_extends_nothing(self) -> None:
        self.holder.step(100.5, self.grant())
        self.holder.step(109.0, self.grant())
        self.assertTrue(self.holder.current(109.6).is_err())

    def test_unanswered_renewal_is_next_sent_to_all(self) -> None:
        self.holder.step(100.5, self.grant())
        sent = [
            self.holder.step(now, holder.RenewalDue())[0].address
            for now in (101.0, 102.0)
        ]
        self.assertEqual(sent, ["leader", None])
