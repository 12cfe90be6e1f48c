"""A process's connections to the two groups."""

from bilberrydrum import transport
from bilberrydrum.nodes import options
from bilberrydrum.state import leader_calls


class ControlLink:
    """The transport to the control group and calls to its leader."""

    def __init__(self, node: options.NodeOptions) -> None:
        address = node.control_address
        self.carrier = _carrier(node, address, options.CONTROL_GROUP)
        others = [each for each in node.seed_addresses if each != address]
        self.calls = leader_calls.LeaderCalls(self.carrier, others or [address])


class StoreLink:
    """The transport to the stores' group and calls to its leader.

    The stores' addresses come with the registry.
    """

    def __init__(self, node: options.NodeOptions) -> None:
        address = node.store_address
        self.carrier = _carrier(node, address, options.STORE_GROUP)
        self.calls = leader_calls.LeaderCalls(self.carrier)


def _carrier(
    node: options.NodeOptions, address: str, group: str
) -> transport.Transport:
    return transport.Transport(address, group, address, bind_host=node.bind_host)
