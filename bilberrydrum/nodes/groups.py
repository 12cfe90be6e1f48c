"""Options of the two replicated groups, made from a node's options."""

from collections.abc import Sequence
from typing import Final

import eliot

from bilberrydrum import options
from bilberrydrum.nodes import options as node_options
from bilberrydrum.state import replica, storage

# Maximum number of voters in the control group, unless tolerating the configured losses
# takes more. Further voters would only make commits wait for more disks.
MAX_CONTROL_VOTERS: Final = 5
# With these values a lost leader is replaced within about 1.3 s, at a cost of 7
# heartbeats a second for each replica. A replica that starts joins no election for one
# election timeout, as an earlier leader may still be running. So a restart of all
# replicas waits for it too.
HEARTBEAT_SECONDS: Final = 0.15
ELECTION_TIMEOUT_SECONDS: Final = 0.6
# Bound on the memory for the stores' log, which grows by about 150 KB a second while
# batches run.
_STORE_LOG_BYTES: Final = 8 * 1024 * 1024
# State size, in bytes, above which a leader transfers the leadership before it makes a
# snapshot. With this value the stores' leader never does. A transfer would cancel all
# running items, which costs seconds, while the snapshot is fast, as nearly all of the
# state is byte strings that are only copied.
_STORE_HANDOVER_BYTES: Final = 1024 * 1024 * 1024
_SNAPSHOT_ENTRIES: Final = 4_000


def control_options(node: node_options.NodeOptions) -> options.Options:
    """Return the options of a control process's replica."""
    initial_members = node.seed_addresses
    may_found = node.is_first_start and node.control_address in initial_members
    return _options(
        node.control_address,
        node_options.CONTROL_GROUP,
        options.StateOptions(
            members=_members(initial_members),
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
    node: node_options.NodeOptions, initial_members: Sequence[str]
) -> options.Options:
    """Return the options of a store's replica; `initial_members` start the group."""
    may_found = node.is_first_start and node.store_address in initial_members
    return _options(
        node.store_address,
        node_options.STORE_GROUP,
        options.StateOptions(
            members=_members(initial_members),
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
    """Start a replica; it stays stopped if its data folder is damaged.

    The process then exits, restarts and joins as a new replica, which gets its data
    from the group.
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
    """Return why the process of `replica_` must exit, or an empty string.

    While the disk of a failed replica refuses writes, the process keeps running, as it
    would otherwise restart and exit repeatedly.
    """
    failure = replica_.failure
    if failure and replica_.is_waiting_for_disk():
        return ""
    if failure == replica.REMOVED:
        replica_.discard()
    return failure


def _members(addresses: Sequence[str]) -> tuple[options.Member, ...]:
    # The address is also the id of the process, as the hosts are not listed in advance.
    return tuple(options.Member(each, each) for each in addresses)


def _options(address: str, group: str, state: options.StateOptions) -> options.Options:
    return options.Options(
        process_id=address,
        group=group,
        roles=(options.ROLE_STATE,),
        peer_address=address,
        state=state,
    )
