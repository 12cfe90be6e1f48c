"""Directories in groups with relay nodes in place of the full mesh."""

import unittest

from nose2 import tools

from bilberrydrum.upstreams import exchange, messages, records, table, topology
from tests import upstreams_net

N_GATEWAYS = 12


def relayed_net(n_upstreams=6, seed=1):
    """Three groups of four gateways, one for each availability zone."""
    return upstreams_net.Net(N_GATEWAYS, n_upstreams, seed=seed, max_mesh=4)


def own_group(net, process_id):
    zones_by_id = net._tick().zones_by_id
    return topology.build(process_id, zones_by_id, 4).own.candidates


class Arrange(unittest.TestCase):
    def test_groups_partition_the_gateways_within_their_zones(self):
        for n_gateways, n_zones in ((5, 1), (17, 3), (24, 6), (330, 6)):
            zones_by_id = {f"gw-{i}": f"zone-{i % n_zones}" for i in range(n_gateways)}
            for process_id in list(zones_by_id)[:5]:
                arranged = topology.build(process_id, zones_by_id, 4)
                groups = [arranged.own, *arranged.others]
                members = [member for group in groups for member in group.candidates]
                self.assertEqual(sorted(zones_by_id), sorted(members))
                self.assertIn(process_id, arranged.own.candidates)
                for group in groups:
                    zones = {zones_by_id[member] for member in group.candidates}
                    self.assertEqual(1, len(zones))

    def test_few_gateways_form_no_groups(self):
        zones_by_id = {f"gw-{i}": "zone" for i in range(4)}
        self.assertIsNone(topology.build("gw-0", zones_by_id, 4))

    def test_all_gateways_build_the_same_topology(self):
        zones_by_id = {f"gw-{i}": f"zone-{i % 3}" for i in range(20)}
        arranged = [topology.build(name, zones_by_id, 4) for name in zones_by_id]
        self.assertEqual(1, len({one.digest for one in arranged}))
        groups = {frozenset((one.own, *one.others)) for one in arranged}
        self.assertEqual(1, len(groups))


class RelayNodeMessages(unittest.TestCase):
    """When a relay node's message confirms the renewals of an upstream in a view."""

    def setUp(self):
        zones_by_id = {f"gw-{i}": "zone" for i in range(5)}
        self.table = table.Table("gw-0", 1, 2.0, 2.75, 1.0)
        self.exchange = exchange.Exchange(self.table, 1, 0.5, 4)
        self.exchange.set_members(zones_by_id, 0.0)
        self.topology = topology.build("gw-0", zones_by_id, 4).digest
        self.record = records.Record(upstreams_net.engine("e0", change=7), "gw-2", 1, 1)
        item = messages.Item(7, "e0", self.record)
        self.table.view("gw-2", 1).apply(messages.Changes(0, 0, 7, (item,)), 0.0)
        self.table.merge(self.record, 0.0)
        self.table.view("gw-1", 1)

    def receive(self, message, now):
        self.exchange.receive(message, "gw-1", now)

    def test_changes_are_fetched_again_while_the_replica_is_behind(self):
        """The fetch from the owner is lost, and the owner has no further changes. Each
        message of the relay node shows that a change is missing, and must lead to
        another fetch.
        """
        vector = messages.Vector(10_000, 900, True, 4, ("gw-2",), (8,))
        self.receive(vector, 10.0)
        n_asked = 0
        for sequence in range(5, 25):
            self.exchange.take_effects()
            relayed = messages.Relayed(900, sequence, self.topology, True, 300)
            self.receive(relayed, 10.0 + sequence / 2)
            n_asked += len(self.exchange.take_effects())
        self.assertGreaterEqual(n_asked, 3)

    @tools.params(
        ("as far as the relay node", 7, 5, None, True),
        ("further than the relay node", 3, 5, None, True),
        ("behind the relay node: it may be gone there", 8, 5, None, False),
        ("a message is missing", 7, 6, None, False),
        ("other gateways are registered there", 7, 5, 1, False),
    )
    def test_when_it_counts(self, case, sender_change, sequence, gateways, counts):
        vector = messages.Vector(10_000, 900, True, 4, ("gw-2",), (sender_change,))
        self.receive(vector, 10.0)
        digest = self.topology if gateways is None else gateways
        relayed = messages.Relayed(900, sequence, digest, True, 300)
        self.receive(relayed, 10.0)
        listed = self.table.expires_at(self.record) > 12.0
        self.assertEqual(counts, listed, case)


class Relayed(unittest.TestCase):
    def test_all_list_all_without_a_gap(self):
        net = relayed_net()
        net.advance(0.5)
        for _ in range(150):
            net.advance(0.1)
            for listed in net.all_listed():
                self.assertEqual(6, len(listed))

    def test_few_messages_are_sent_where_a_mesh_sends_many(self):
        net = relayed_net(0)
        mesh = upstreams_net.Net(N_GATEWAYS, 0)
        counts = []
        for one in (net, mesh):
            before = one.n_sent
            one.advance(10.0, check=False)
            counts.append(one.n_sent - before)
        self.assertLess(counts[0], counts[1] / 2)

    def test_single_lost_messages_make_no_gap(self):
        net = relayed_net()
        net.advance(0.5)
        net.loss = 0.02
        n_gaps = 0
        for _ in range(200):
            net.advance(0.1)
            n_gaps += sum(len(listed) != 6 for listed in net.all_listed())
        self.assertEqual(0, n_gaps)

    def test_a_leave_reaches_all_though_the_receiving_gateway_dies(self):
        """A gateway answers a leave and dies at once; the upstream continues to renew
        by mistake. The relay nodes that received the leave must have sent it to all
        groups.
        """
        for entry in ("gw-0", "gw-5", "gw-10"):
            with self.subTest(entry=entry):
                net = relayed_net(3)
                net.advance(0.5)
                net.drop = lambda a, b, m, h=entry: (
                    a == h
                    and not (isinstance(m, messages.RecordUpdate) and m.is_witness)
                )
                net.leave("e0", at=entry, is_silent=False)
                net._deliver()
                self.assertIn("e0", net.nodes_by_id[entry].confirmed_leaves)
                net.kill(entry)
                net.drop = lambda a, b, m: False
                net.advance(1.0)
                for listed in net.all_listed():
                    self.assertEqual({"e1", "e2"}, listed)
                net.advance(5.0)
                for listed in net.all_listed():
                    self.assertEqual({"e1", "e2"}, listed)

    def test_the_relay_nodes_of_a_group_die(self):
        """One relay node dies: the other one works independently, so there is no gap,
        whenever it dies. Both die at once: the next members become relay nodes, and
        all gateways list all upstreams again soon after.
        """
        for n_dead, phase in ((1, 0.0), (1, 0.15), (1, 0.3), (1, 0.45), (2, 0.0)):
            with self.subTest(n_dead=n_dead, phase=phase):
                net = relayed_net(12)
                net.advance(2.0 + phase)
                for relay_node in own_group(net, "gw-0")[:n_dead]:
                    net.kill(relay_node)
                worst = 0
                for step in range(60):
                    net.advance(0.1)
                    if any(len(listed) != 12 for listed in net.all_listed()):
                        worst = step
                self.assertLess(worst, 30 if n_dead == 2 else 1)

    def test_a_dead_relay_node_restarts_and_relays_again(self):
        net = relayed_net()
        net.advance(1.0)
        relay_node = own_group(net, "gw-0")[0]
        net.kill(relay_node)
        net.advance(3.0)
        net.start(relay_node)
        net.advance(3.0)
        self.assertTrue(all(len(listed) == 6 for listed in net.all_listed()))

    def test_a_paused_relay_node_resumes_with_old_messages(self):
        """A relay node is paused for 10 s while an upstream leaves and another falls
        silent. It resumes with old messages to read, and must not relay any of them as
        new.
        """
        net = relayed_net(4)
        net.advance(1.0)
        relay_node = own_group(net, "gw-0")[0]
        net.suspend(relay_node)
        other = next(name for name in net.nodes_by_id if name != relay_node)
        net.advance(0.2)
        net.leave("e0", at=other)
        net.crash("e1")
        net.advance(10.0)
        net.resume(relay_node)
        net.advance(2.0)
        for listed in net.all_listed():
            self.assertEqual({"e2", "e3"}, listed)

    def test_a_zone_is_cut_off_and_reconnected(self):
        for holds in (False, True):
            with self.subTest(holds_on_cut=holds):
                net = relayed_net(4)
                net.advance(1.0)
                net.holds_on_cut = holds
                zone = set(own_group(net, "gw-0"))
                net.balancer = net.nodes_by_id.keys() - zone
                net.cut_off(*zone)
                net.advance(0.5)
                net.crash("e1")
                net.advance(8.0)
                for name in zone:
                    self.assertEqual(set(), net.listed(name))
                net.heal()
                net.balancer = None
                net.advance(3.0)
                for listed in net.all_listed():
                    self.assertEqual({"e0", "e2", "e3"}, listed)
