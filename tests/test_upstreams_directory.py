"""Several directories on a faulty network: what each lists, and for how long."""

import unittest

from bilberrydrum import reasons
from bilberrydrum.upstreams import events, messages
from tests import upstreams_net


class Replication(unittest.TestCase):
    def test_all_gateways_list_what_announced_itself_anywhere(self):
        net = upstreams_net.Net(3, 5)
        for listed in net.all_listed():
            self.assertEqual({f"e{i}" for i in range(5)}, listed)

    def test_renewals_through_any_gateway_keep_the_lease_without_gap(self):
        """Each renewal reaches another gateway. The owner must receive all of them and
        stay the owner. If each gateway counted only its own, every one of eight would
        see a renewal every 4 s, and the upstream would expire again and again.
        """
        net = upstreams_net.Net(8, 6)
        owners = {net.record("gw-0", f"e{i}").home for i in range(6)}
        for _ in range(200):
            net.advance(0.1)
            for listed in net.all_listed():
                self.assertEqual(6, len(listed))
        self.assertEqual(owners, {net.record("gw-3", f"e{i}").home for i in range(6)})

    def test_single_lost_messages_make_no_gap(self):
        """One message in twenty is lost. After a lost heartbeat the known renewals are
        a little older, and a lost change shows in the digest of the next heartbeat;
        neither may remove an upstream from a list.
        """
        net = upstreams_net.Net(4, 6)
        net.loss = 0.05
        n_gaps = 0
        for _ in range(300):
            net.advance(0.1)
            n_gaps += sum(len(listed) != 6 for listed in net.all_listed())
        self.assertEqual(0, n_gaps)

    def test_a_changed_load_and_model_reach_everyone(self):
        net = upstreams_net.Net(3, 1)
        load = upstreams_net.model.Load(n_running=9)
        models = {"planner": upstreams_net.model.ServedModel(7)}
        net.renew("e0", at="gw-2", load=load, models=models)
        net.advance(0.2)
        for name in net.nodes_by_id:
            upstream = net.record(name, "e0").upstream
            self.assertEqual(9, upstream.load.n_running)
            self.assertEqual(7, upstream.models["planner"].weight_version)

    def test_a_load_that_does_not_affect_routing_is_not_published(self):
        net = upstreams_net.Net(3, 1)
        net.advance(0.2)
        before = net.record("gw-0", "e0")
        net.renew("e0", at=before.home, load=upstreams_net.model.Load(n_running=1))
        net.renew("e0", at=before.home, load=upstreams_net.model.Load(n_running=0))
        net.advance(0.2)
        self.assertEqual(before, net.record("gw-0", "e0"))

    def test_a_restarted_gateway_has_all_records_before_it_answers(self):
        net = upstreams_net.Net(3, 4)
        net.kill("gw-1")
        net.advance(1.0)
        net.start("gw-1")
        node = net.nodes_by_id["gw-1"]
        self.assertFalse(node.core.is_synced(net.clock(node)))
        net.advance(0.2)
        self.assertTrue(node.core.is_synced(net.clock(node)))
        self.assertEqual(4, len(node.core.listing.records_by_id()))


class Leaving(unittest.TestCase):
    def test_a_leave_takes_the_upstream_off_every_list_at_once(self):
        net = upstreams_net.Net(5, 2)
        net.leave("e0", at="gw-3")
        net.advance(0.1)
        self.assertTrue(all(listed == {"e1"} for listed in net.all_listed()))
        self.assertIn("e0", net.nodes_by_id["gw-3"].confirmed_leaves)

    def test_updates_on_a_leave_are_lost_on_each_link_in_turn(self):
        """An upstream leaves and, by mistake, continues to renew. Everything that the
        gateway which received the leave sends to one other gateway is lost. That one
        must still receive the leave from the gateways that acknowledged it; otherwise
        it would forward renewals and continue to send work.
        """
        for entry in ("gw-0", "gw-1", "gw-2", "gw-3"):
            for cut_off_peer in {"gw-0", "gw-1", "gw-2", "gw-3"} - {entry}:
                with self.subTest(entry=entry, cut_off_peer=cut_off_peer):
                    net = upstreams_net.Net(4, 1)
                    net.drop = lambda a, b, m, h=entry, d=cut_off_peer: (a, b) == (h, d)
                    net.leave("e0", at=entry, is_silent=False)
                    net.advance(5.0)
                    self.assertTrue(all(not listed for listed in net.all_listed()))

    def test_the_receiving_gateway_dies_right_after_it_answered_a_leave(self):
        """A gateway answers a leave and dies before it has sent it to any gateway but
        those that acknowledged it. The upstream continues to renew by mistake. The
        acknowledging gateways have sent the leave to the others, so no gateway takes
        the upstream over.
        """
        for owner in ("gw-0", "gw-1"):
            with self.subTest(owner=owner):
                net = upstreams_net.Net(5, 0)
                net.announce("e0", at=owner)
                net.advance(0.6)
                # All messages but the requests for acknowledgement are lost.
                net.drop = lambda a, b, m: (
                    a == "gw-0"
                    and not (isinstance(m, messages.RecordUpdate) and m.is_witness)
                )
                net.leave("e0", at="gw-0", is_silent=False)
                net._deliver()
                self.assertIn("e0", net.nodes_by_id["gw-0"].confirmed_leaves)
                net.kill("gw-0")
                net.drop = lambda a, b, m: False
                net.advance(8.0)
                self.assertTrue(all(not listed for listed in net.all_listed()))

    def test_a_leave_is_not_answered_while_no_other_gateway_knows(self):
        """The gateway that received the leave is cut off. If the leave were answered,
        the upstream would stop, the gateway might die, and the leave would be lost.
        """
        net = upstreams_net.Net(3, 1)
        net.cut_off("gw-0")
        net.leave("e0", at="gw-0")
        net.advance(1.0)
        self.assertNotIn("e0", net.nodes_by_id["gw-0"].confirmed_leaves)
        net.heal()
        net.advance(1.0)
        self.assertIn("e0", net.nodes_by_id["gw-0"].confirmed_leaves)

    def test_a_leave_is_answered_when_the_other_gateways_are_dead(self):
        """Two of three gateways are dead, though registered. A leave through the third
        must still be answered, or the upstream would wait forever.
        """
        net = upstreams_net.Net(3, 1)
        net.kill("gw-1")
        net.kill("gw-2")
        net.advance(2.5)
        net.leave("e0", at="gw-0")
        net.advance(0.2)
        self.assertIn("e0", net.nodes_by_id["gw-0"].confirmed_leaves)

    def test_old_announcements_and_renewals_do_not_bring_it_back(self):
        net = upstreams_net.Net(3, 0)
        net.announce("e0", at="gw-0", incarnation=7)
        net.advance(0.1)
        net.leave("e0", at="gw-1")
        net.advance(0.2)
        cases = (
            (reasons.Reason.ANNOUNCEMENT_STALE, net.announce("e0", "gw-2", 7)),
            (reasons.Reason.ANNOUNCEMENT_STALE, net.announce("e0", "gw-0", 6)),
            (reasons.Reason.UPSTREAM_LEFT, net.renew("e0", "gw-2")),
        )
        for reason, reply in cases:
            self.assertEqual(reason, reply.refusal)
        self.assertTrue(all(not listed for listed in net.all_listed()))
        self.assertIsNone(net.announce("e0", "gw-2", 8).refusal)
        net.advance(0.2)
        self.assertTrue(all(listed == {"e0"} for listed in net.all_listed()))


class Failures(unittest.TestCase):
    def test_the_owner_dies_and_its_upstreams_stay_listed_without_a_gap(self):
        """The owner dies. Its upstreams renew at other gateways, which forward the
        renewals and get no answer; they take the upstreams over before the records of
        the dead owner expire, so no gateway has a gap.
        """
        net = upstreams_net.Net(4, 6)
        owner = net.record("gw-0", "e0").home
        net.kill(owner)
        for _ in range(80):
            net.advance(0.1)
            for listed in net.all_listed():
                self.assertEqual(6, len(listed))
        others = net.nodes_by_id.keys() - {owner}
        self.assertNotIn(owner, {net.record(name, "e0").home for name in others})

    def test_only_the_old_owner_is_received_after_a_take_over(self):
        """gw-1 becomes the owner. Its message to gw-2 is lost, but the release by the
        old owner arrives. gw-2 still knows that the upstream has renewed, and must
        list it until it receives messages of the new owner.
        """
        net = upstreams_net.Net(3, 0)
        net.announce("e0", at="gw-0")
        net.advance(0.6)
        net.drop = lambda a, b, m: (a, b) == ("gw-1", "gw-2")
        net.announce("e0", at="gw-1")
        net._deliver()
        self.assertEqual({"e0"}, net.listed("gw-2"))

    def test_owner_and_upstream_die_together(self):
        net = upstreams_net.Net(4, 2)
        owner = net.record("gw-0", "e0").home
        net.kill(owner)
        net.crash("e0")
        net.advance(4.0)
        self.assertTrue(all(listed == {"e1"} for listed in net.all_listed()))

    def test_a_paused_gateway_resumes_in_the_middle_of_a_request(self):
        """A gateway is paused for 10 s. Meanwhile an upstream leaves and another falls
        silent. It resumes with 10 s of old messages and two old renewals to read, and
        must not list either at any step, though by the old messages both are active.
        """
        for owner in ("gw-0", "gw-1"):
            with self.subTest(owner=owner):
                net = upstreams_net.Net(3, 0)
                for name in ("e0", "e1", "e2"):
                    net.announce(name, at=owner)
                net.advance(1.0)
                net.suspend("gw-0")
                net.advance(0.2)
                net.ask("gw-0", events.Renewed("e0"))
                net.ask("gw-0", events.Renewed("e1"))
                net.leave("e0", at="gw-2")
                net.crash("e1")
                net.advance(10.0)
                self.assertEqual(set(), net.listed("gw-0"))
                net.resume("gw-0")
                net.advance(1.0)
                self.assertTrue(all(listed == {"e2"} for listed in net.all_listed()))

    def test_a_renewal_forwarded_to_a_paused_gateway_is_old_when_it_resumes(self):
        """A renewal is forwarded to the paused owner and waits there; the upstream and
        the other gateway die. The owner resumes alone and reads the renewal, which is
        10 s old and must not count.
        """
        net = upstreams_net.Net(2, 0)
        net.announce("e0", at="gw-0")
        net.advance(0.6)
        net.suspend("gw-0")
        net.renew("e0", at="gw-1")
        net._deliver()
        net.crash("e0")
        net.kill("gw-1")
        net.advance(10.0)
        net.resume("gw-0")
        net.advance(2.0)
        self.assertEqual(set(), net.listed("gw-0"))

    def test_the_new_owner_dies_after_only_one_gateway_received_its_take_over(self):
        """gw-2 takes e0 over, and dies after only gw-0 received the new record. The old
        owner continues under an older record. gw-0 would never accept that one, so it
        must send the newer record to the old owner.
        """
        net = upstreams_net.Net(4, 0)
        net.announce("e0", at="gw-1")
        net.advance(0.6)
        net.balancer = {"gw-1", "gw-3"}
        net.cut_off("gw-0", "gw-2")
        net.announce("e0", at="gw-2")
        net._deliver()
        net.kill("gw-2")
        net.heal()
        net.advance(4.0)
        self.assertEqual({"e0"}, net.listed("gw-0"))

    def test_a_message_of_an_earlier_incarnation_is_dropped(self):
        net = upstreams_net.Net(2, 1)
        node = net.nodes_by_id["gw-0"]
        old = events.Received("gw-1", 0, messages.Fetch(0, 0))
        effects = node.core.step(net.clock(node), old)
        self.assertEqual([events.Drop(reasons.Reason.MESSAGE_STALE_SENDER)], effects)

    def test_a_cut_off_gateway_and_messages_that_waited_for_the_heal(self):
        """One gateway is cut off for 10 s. Messages on the cut links are lost, or wait
        in sockets. Upstreams leave, crash or renew on the other side. After the heal
        the old messages arrive first; none may list an upstream that is gone.
        """
        for holds in (False, True):
            with self.subTest(holds_on_cut=holds):
                net = upstreams_net.Net(4, 0)
                for name in ("e0", "e1", "e2"):
                    net.announce(name, at="gw-1")
                net.advance(1.0)
                net.holds_on_cut = holds
                net.balancer = {"gw-1", "gw-2", "gw-3"}
                net.cut_off("gw-0")
                net.advance(0.5)
                net.leave("e0", at="gw-2")
                net.crash("e1")
                net.advance(10.0)
                self.assertEqual(set(), net.listed("gw-0"))
                net.heal()
                net.balancer = None
                net.advance(2.0)
                self.assertTrue(all(listed == {"e2"} for listed in net.all_listed()))

    def test_both_sides_of_a_cut_keep_the_upstreams_that_reach_them(self):
        net = upstreams_net.Net(4, 6)
        net.cut_off("gw-0", "gw-1")
        net.advance(6.0)
        net.heal()
        net.advance(2.0)
        self.assertTrue(all(len(listed) == 6 for listed in net.all_listed()))
        for i in range(6):
            owners = {net.record(name, f"e{i}").home for name in net.nodes_by_id}
            self.assertEqual(1, len(owners))


class Drain(unittest.TestCase):
    def test_a_drain_is_kept_until_a_new_incarnation(self):
        """Renewals, a repeated announcement and the crash of the owner keep it; a new
        incarnation ends it.
        """
        net = upstreams_net.Net(3, 0)
        net.announce("e0", at="gw-0", incarnation=1)
        net.advance(0.1)
        net.ask("gw-1", events.DrainRequested("e0", True, upstreams_net.WALL))
        net.advance(1.0)
        self.assertIsNone(net.announce("e0", "gw-2", 1).refusal)
        net.advance(0.3)
        net.kill("gw-2")
        net.advance(4.0)
        for name in ("gw-0", "gw-1"):
            self.assertTrue(net.record(name, "e0").is_drained)
            self.assertEqual({"e0"}, net.listed(name))
        net.announce("e0", "gw-0", 2)
        net.advance(0.2)
        self.assertFalse(net.record("gw-1", "e0").is_drained)

    def test_a_drain_survives_a_take_over_on_the_other_side_of_a_cut(self):
        """An operator drains an upstream at a gateway that is cut off, while another
        takes the upstream over under the same epoch. After the heal one record wins,
        but the drain must be kept.
        """
        for drainer in ("gw-0", "gw-3"):
            with self.subTest(drainer=drainer):
                net = upstreams_net.Net(4, 0)
                net.announce("e0", at="gw-1")
                net.advance(0.6)
                net.balancer = {"gw-0", "gw-1", "gw-2", "gw-3"} - {drainer}
                net.cut_off(drainer)
                net.ask(drainer, events.DrainRequested("e0", True, upstreams_net.WALL))
                net.kill("gw-1")
                net.advance(4.0)
                net.heal()
                net.advance(2.0)
                for name in ("gw-0", "gw-2", "gw-3"):
                    self.assertTrue(net.record(name, "e0").is_drained, name)
