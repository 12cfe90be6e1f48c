"""Random schedules of failures over several directories."""

import unittest

import hypothesis
from hypothesis import strategies as st

from bilberrydrum.upstreams import events
from tests import schedules_support, upstreams_net

N_MESH = 4
# Three groups of three gateways, of which two are relay nodes.
N_RELAYED = 9
N_UPSTREAMS = 3

gateways = st.integers(0, N_RELAYED - 1).map(lambda i: f"gw-{i}")
upstreams = st.integers(0, N_UPSTREAMS - 1).map(lambda i: f"e{i}")
actions = st.one_of(
    st.tuples(st.just("advance"), st.sampled_from((0.05, 0.2, 0.7, 2.5))),
    st.tuples(st.just("leave"), upstreams, gateways),
    st.tuples(st.just("crash"), upstreams),
    st.tuples(st.just("announce"), upstreams, gateways),
    st.tuples(st.just("renew"), upstreams, gateways),
    st.tuples(st.just("drain"), upstreams, gateways, st.booleans()),
    st.tuples(st.just("kill"), gateways),
    st.tuples(st.just("start"), gateways),
    st.tuples(st.just("suspend"), gateways),
    st.tuples(st.just("resume"), gateways),
    st.tuples(st.just("cut"), st.sets(gateways, min_size=1, max_size=2)),
    st.tuples(st.just("cut_link"), gateways, gateways),
    st.tuples(st.just("heal")),
    st.tuples(
        st.just("network"),
        st.sampled_from((0.0, 0.1, 0.4)),
        st.sampled_from((0.0, 0.3)),
        st.sampled_from((0.0, 0.2, 0.8)),
        st.booleans(),
    ),
)


def run(net, action):
    kind, *arguments = (named(net, value) for value in action)
    node = net.nodes_by_id.get(arguments[-1]) if arguments and kind != "cut" else None
    if kind == "advance":
        net.advance(arguments[0])
    elif kind == "leave" and is_up(node):
        net.leave(arguments[0], at=arguments[1])
    elif kind == "crash":
        net.crash(arguments[0])
    elif kind == "announce" and is_up(node):
        net.announce(arguments[0], at=arguments[1])
    elif kind == "renew" and is_up(node) and net.agents_by_id[arguments[0]].is_running:
        net.renew(arguments[0], at=arguments[1])
    elif kind == "drain":
        if is_up(net.nodes_by_id[arguments[1]]):
            event = events.DrainRequested(
                arguments[0], arguments[2], upstreams_net.WALL
            )
            net.ask(arguments[1], event)
    elif kind == "kill" and sum(is_up(n) for n in net.nodes_by_id.values()) > 1:
        net.kill(arguments[0])
    elif kind == "start" and node.core is None:
        net.start(arguments[0])
    elif kind == "suspend" and sum(is_up(n) for n in net.nodes_by_id.values()) > 1:
        net.suspend(arguments[0])
    elif kind == "resume":
        net.resume(arguments[0])
    elif kind == "cut":
        net.cut_off(*arguments[0])
    elif kind == "cut_link":
        net.cut |= {(arguments[0], arguments[1])}
    elif kind == "heal":
        net.heal()
    elif kind == "network":
        net.loss, net.duplication, net.max_delay, net.holds_on_cut = arguments


def named(net, value):
    """Map a gateway's name in a schedule to a gateway of this smaller net."""
    if isinstance(value, str) and value.startswith("gw-"):
        return f"gw-{int(value[3:]) % len(net.nodes_by_id)}"
    if isinstance(value, (set, frozenset)):
        return {named(net, item) for item in value}
    return value


def is_up(node):
    return node is not None and node.core is not None and not node.is_suspended


def end_all_failures(net):
    net.loss = net.duplication = net.max_delay = 0.0
    for node in net.nodes_by_id.values():
        if node.is_suspended and node.core is not None:
            net.resume(node.process_id)
        if node.core is None:
            net.start(node.process_id)
    net.heal()


class Schedules(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(st.lists(actions, max_size=40))
    @schedules_support.played_by(__name__)
    def test_nothing_gone_is_listed_and_all_agree_after_the_heal(self, schedule):
        """Gateways die, pause and are cut off while upstreams start, leave and crash,
        in any order, over a network that loses, repeats and delays messages. At no step
        may a gateway list an upstream more than 3 s after it left or fell silent, and
        once the failures end, all gateways must list exactly the running upstreams.
        """
        self._run(schedule, N_MESH, max_mesh=N_MESH)

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=40, database=None
    )
    @hypothesis.given(st.lists(actions, max_size=40))
    @schedules_support.played_by(__name__)
    def test_the_same_holds_with_relay_nodes(self, schedule):
        """As above, with nine gateways in groups of three with relay nodes."""
        self._run(schedule, N_RELAYED, max_mesh=N_MESH)

    def _run(self, schedule, n_gateways, max_mesh):
        net = upstreams_net.Net(n_gateways, N_UPSTREAMS, max_mesh=max_mesh)
        for action in schedule:
            run(net, action)
            net.check()
        end_all_failures(net)
        net.advance(5.0)
        running = {i for i, agent in net.agents_by_id.items() if agent.is_running}
        for listed in net.all_listed():
            self.assertEqual(running, listed)
        for upstream_id in running:
            records = [net.record(name, upstream_id) for name in net.nodes_by_id]
            self.assertEqual(1, len({(r.home, r.is_drained) for r in records}))
