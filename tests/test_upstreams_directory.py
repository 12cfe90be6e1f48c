"""Several directories on a faulty network: who lists what, and for how long."""

import unittest

from bilberrydrum import reasons
from bilberrydrum.upstreams import events, messages
from tests import upstreams_net


class Spread(unittest.TestCase):
    def test_all_gateways_list_what_announced_itself_anywhere(self):
        net = upstreams_net.Net(3, 5)
        for listed in net.all_listed():
            self.assertEqual({f"e{i}" for i in range(5)}, listed)

    def test_renewals_through_any_gateway_keep_the_lease_without_gap(self):
        """Renewals land at a gateway chosen anew each time. The home must hear of all
        of them and stay the home; were each gateway to count its own, every one of
        eight would see a renewal every 4 s and the upstream would come and go.
        """
        net = upstreams_net.Net(8, 6)
        homes = {net.record("gw-0", f"e{i}").home for i in range(6)}
        for _ in range(200):
            net.advance(0.1)
            for listed in net.all_listed():
                self.assertEqual(6, len(listed))
        self.assertEqual(homes, {net.record("gw-3", f"e{i}").home for i in range(6)})

    def test_single_lost_messages_make_no_gap(self):
        """One message in twenty is lost. A lost standing message leaves the homes'
        word a little old, a lost change shows in the next one's digest; neither may
        take an upstream off a list.
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

    def test_a_load_that_alters_no_choice_is_not_told(self):
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
        self.assertIn("e0", net.nodes_by_id["gw-3"].known_leaves)

    def test_news_of_a_leave_lost_on_each_link_in_turn(self):
        """An upstream leaves and, by mistake, goes on renewing. Everything the hearer
        sends to one other gateway is lost. That one must still learn of it, from the
        witnesses, or it would pass renewals on and go on sending work.
        """
        for hearer in ("gw-0", "gw-1", "gw-2", "gw-3"):
            for deaf in {"gw-0", "gw-1", "gw-2", "gw-3"} - {hearer}:
                with self.subTest(hearer=hearer, deaf=deaf):
                    net = upstreams_net.Net(4, 1)
                    net.drop = lambda a, b, m, h=hearer, d=deaf: (a, b) == (h, d)
                    net.leave("e0", at=hearer, is_silent=False)
                    net.advance(5.0)
                    self.assertTrue(all(not listed for listed in net.all_listed()))

    def test_the_hearer_dies_right_after_it_answered_a_leave(self):
        """The leave is answered, then the hearer dies with everything it had not sent
        to more than its witnesses. The upstream goes on renewing by mistake. The
        witnesses have told the others, so nobody takes it over.
        """
        for home in ("gw-0", "gw-1"):
            with self.subTest(home=home):
                net = upstreams_net.Net(5, 0)
                net.announce("e0", at=home)
                net.advance(0.6)
                # What is not sent to a witness is lost with the hearer.
                net.drop = lambda a, b, m: (
                    a == "gw-0" and not (isinstance(m, messages.News) and m.is_witness)
                )
                net.leave("e0", at="gw-0", is_silent=False)
                net._deliver()
                self.assertIn("e0", net.nodes_by_id["gw-0"].known_leaves)
                net.kill("gw-0")
                net.drop = lambda a, b, m: False
                net.advance(8.0)
                self.assertTrue(all(not listed for listed in net.all_listed()))

    def test_a_leave_is_not_answered_while_no_other_gateway_knows(self):
        """The hearer is cut off. Were the leave answered, the upstream would stop, the
        hearer might die, and nobody would know of the leave.
        """
        net = upstreams_net.Net(3, 1)
        net.cut_off("gw-0")
        net.leave("e0", at="gw-0")
        net.advance(1.0)
        self.assertNotIn("e0", net.nodes_by_id["gw-0"].known_leaves)
        net.heal()
        net.advance(1.0)
        self.assertIn("e0", net.nodes_by_id["gw-0"].known_leaves)

    def test_a_leave_is_answered_when_the_other_gateways_are_dead(self):
        """Two of three gateways are dead, though registered. A leave through the third
        must be answered all the same, or the upstream would wait for ever.
        """
        net = upstreams_net.Net(3, 1)
        net.kill("gw-1")
        net.kill("gw-2")
        net.advance(2.5)
        net.leave("e0", at="gw-0")
        net.advance(0.2)
        self.assertIn("e0", net.nodes_by_id["gw-0"].known_leaves)

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
    def test_the_home_dies_and_its_upstreams_go_on_without_a_gap(self):
        """The home dies. Its upstreams renew at other gateways, which pass it on and
        get no answer; they take the upstreams over before the dead home's word runs
        out, so no gateway has a gap.
        """
        net = upstreams_net.Net(4, 6)
        home = net.record("gw-0", "e0").home
        net.kill(home)
        for _ in range(80):
            net.advance(0.1)
            for listed in net.all_listed():
                self.assertEqual(6, len(listed))
        others = net.nodes_by_id.keys() - {home}
        self.assertNotIn(home, {net.record(name, "e0").home for name in others})

    def test_the_new_home_is_not_heard_and_the_old_one_is(self):
        """gw-1 becomes the home; its message to gw-2 is lost, the old home's word that
        it answers no more arrives. gw-2 still knows that the upstream has renewed, and
        must not take it off its list until it hears the new home.
        """
        net = upstreams_net.Net(3, 0)
        net.announce("e0", at="gw-0")
        net.advance(0.6)
        net.drop = lambda a, b, m: (a, b) == ("gw-1", "gw-2")
        net.announce("e0", at="gw-1")
        net._deliver()
        self.assertEqual({"e0"}, net.listed("gw-2"))

    def test_home_and_upstream_die_together(self):
        net = upstreams_net.Net(4, 2)
        home = net.record("gw-0", "e0").home
        net.kill(home)
        net.crash("e0")
        net.advance(4.0)
        self.assertTrue(all(listed == {"e1"} for listed in net.all_listed()))

    def test_a_stopped_gateway_wakes_in_the_middle_of_a_request(self):
        """A gateway is stopped for 10 s. Meanwhile an upstream leaves and another
        falls silent. It wakes with 10 s of old messages and an old renewal to read,
        and must not list either at any step, though the old messages say they stand.
        """
        for home in ("gw-0", "gw-1"):
            with self.subTest(home=home):
                net = upstreams_net.Net(3, 0)
                for name in ("e0", "e1", "e2"):
                    net.announce(name, at=home)
                net.advance(1.0)
                net.freeze("gw-0")
                net.advance(0.2)
                net.ask("gw-0", events.Renewed("e0"))
                net.ask("gw-0", events.Renewed("e1"))
                net.leave("e0", at="gw-2")
                net.crash("e1")
                net.advance(10.0)
                self.assertEqual(set(), net.listed("gw-0"))
                net.wake("gw-0")
                net.advance(1.0)
                self.assertTrue(all(listed == {"e2"} for listed in net.all_listed()))

    def test_a_renewal_passed_on_to_a_stopped_gateway_is_not_new_when_it_wakes(self):
        """A renewal is passed on to its stopped home and waits there; the upstream and
        the other gateway die. The home wakes alone and reads it: it is 10 s old.
        """
        net = upstreams_net.Net(2, 0)
        net.announce("e0", at="gw-0")
        net.advance(0.6)
        net.freeze("gw-0")
        net.renew("e0", at="gw-1")
        net._deliver()
        net.crash("e0")
        net.kill("gw-1")
        net.advance(10.0)
        net.wake("gw-0")
        net.advance(2.0)
        self.assertEqual(set(), net.listed("gw-0"))

    def test_one_gateway_alone_heard_of_a_take_over_whose_author_died(self):
        """gw-2 takes e0 over, tells only gw-0 and dies. The old home goes on, under an
        older record. gw-0 would never believe it, so it must tell the old home.
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

    def test_a_message_of_an_earlier_life_is_dropped(self):
        net = upstreams_net.Net(2, 1)
        node = net.nodes_by_id["gw-0"]
        old = events.Heard("gw-1", 0, messages.Fetch(0, 0))
        effects = node.core.step(net.clock(node), old)
        self.assertEqual([events.Drop(reasons.Reason.MESSAGE_STALE_SENDER)], effects)

    def test_a_cut_off_gateway_and_messages_that_waited_for_the_heal(self):
        """One gateway is cut off for 10 s and the messages wait in sockets. The
        upstreams leave or renew on the other side. After the heal the old messages
        come first; none may list what has left.
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

    def test_both_sides_of_a_cut_go_on_with_the_upstreams_that_reach_them(self):
        net = upstreams_net.Net(4, 6)
        net.cut_off("gw-0", "gw-1")
        net.advance(6.0)
        net.heal()
        net.advance(2.0)
        self.assertTrue(all(len(listed) == 6 for listed in net.all_listed()))
        for i in range(6):
            homes = {net.record(name, f"e{i}").home for name in net.nodes_by_id}
            self.assertEqual(1, len(homes))


class Drain(unittest.TestCase):
    def test_a_drain_sticks_until_a_new_life(self):
        """Renewals, a repeated announcement and the death of the home keep it; a new
        life ends it.
        """
        net = upstreams_net.Net(3, 0)
        net.announce("e0", at="gw-0", incarnation=1)
        net.advance(0.1)
        net.ask("gw-1", events.DrainAsked("e0", True, upstreams_net.WALL))
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
        but the operator's wish must stand.
        """
        for drainer in ("gw-0", "gw-3"):
            with self.subTest(drainer=drainer):
                net = upstreams_net.Net(4, 0)
                net.announce("e0", at="gw-1")
                net.advance(0.6)
                net.balancer = {"gw-0", "gw-1", "gw-2", "gw-3"} - {drainer}
                net.cut_off(drainer)
                net.ask(drainer, events.DrainAsked("e0", True, upstreams_net.WALL))
                net.kill("gw-1")
                net.advance(4.0)
                net.heal()
                net.advance(2.0)
                for name in ("gw-0", "gw-2", "gw-3"):
                    self.assertTrue(net.record(name, "e0").is_drained, name)
