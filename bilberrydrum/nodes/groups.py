"""Options of the two replicated groups, made from a node's options."""

from collections.abc import Sequence
from typing import Final

import eliot

from bilberrydrum import options
from bilberrydrum.nodes import options as node_options
from bilberrydrum.state import replica, storage

# The control group keeps at most this many votes; more would only make commits wait
# for more disks.
MAX_CONTROL_VOTERS: Final = 5
# Heartbeats and elections: a lost leader is replaced within some 1.3 s, at 7 heartbeats
# a second for each replica. A replica that starts leaves an earlier leader alone for
# one election timeout, so this is also what a restart of all replicas waits for.
HEARTBEAT_SECONDS: Final = 0.15
ELECTION_TIMEOUT_SECONDS: Final = 0.6
# Batches make the log grow by some 150 KB a second; memory for it is bounded here.
_STORE_LOG_BYTES: Final = 8 * 1024 * 1024
# The stores' leader never hands over for a snapshot: all items that run would be broken
# off, which costs seconds, and the state is nearly all bytes that are only copied.
_STORE_HANDOVER_BYTES: Final = 1024 * 1024 * 1024
_SNAPSHOT_ENTRIES: Final = 4_000


def control_options(node: node_options.NodeOptions) -> options.Options:
    """Return the options of a control process's replica."""
    founders = node.seed_addresses
    may_found = node.is_first_start and node.control_address in founders
    return _options(
        node.control_address,
        node_options.CONTROL_GROUP,
        options.StateOptions(
            members=_members(founders),
            data_folder=node.data_folder,
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
            snapshot_entries=_SNAPSHOT_ENTRIES,
            may_found=may_found,
            is_open=True,
            n_voters=max(MAX_CONTROL_VOTERS, node.n_voters()),
        ),
    )


def store_options(
    node: node_options.NodeOptions, founders: Sequence[str]
) -> options.Options:
    """Return the options of a store's replica; `founders` start the group."""
    may_found = node.is_first_start and node.store_address in founders
    return _options(
        node.store_address,
        node_options.STORE_GROUP,
        options.StateOptions(
            members=_members(founders),
            data_folder=node.data_folder,
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
            snapshot_entries=_SNAPSHOT_ENTRIES,
            max_log_bytes=_STORE_LOG_BYTES,
            handover_bytes=_STORE_HANDOVER_BYTES,
            may_found=may_found,
            is_open=True,
            n_voters=node.n_voters(),
        ),
    )


def start_replica(replica_: replica.Replica) -> None:
    """Start a replica; one whose folder is damaged is left stopped.

    The process then ends and joins again as a new replica: the group has its data.
    """
    try:
        replica_.start()
    except storage.DamageError as error:
        eliot.log_message(message_type="state:damaged", detail=str(error))
        replica_.fail(error)
        replica_.discard()
    except OSError as error:
        eliot.log_message(message_type="state:disk-failed", detail=str(error))
        replica_.fail(error)


def failure_of(replica_: replica.Replica) -> str:
    """Return why the process of `replica_` is to end; empty: it is not.

    A replica whose disk refuses writes waits for the disk first: started again before
    that, its process would end again and again.
    """
    failure = replica_.failure
    if failure and replica_.is_waiting_for_disk():
        return ""
    if failure == replica.REMOVED:
        replica_.discard()
    return failure


def _members(addresses: Sequence[str]) -> tuple[options.Member, ...]:
    # A process is known by its address: nobody names the hosts in advance.
    return tuple(options.Member(each, each) for each in addresses)


def _options(address: str, group: str, state: options.StateOptions) -> options.Options:
    return options.Options(
        process_id=address,
        group=group,
        roles=(options.ROLE_STATE,),
        peer_address=address,
        state=state,
    )
