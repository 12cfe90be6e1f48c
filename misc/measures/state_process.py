"""Run one replica, whose state has a counter for each key of `Add` commands.

Run as ``python -m misc.measures.state_process --process-id p0 --folder FOLDER --member
p0=IP:port ...``; it exits on SIGTERM.
"""

import argparse
import pathlib
import signal
import sys

from bilberrydrum import runtime

runtime.prepare()

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, codec, options, transport
from bilberrydrum.state import machine, replica


@codec.register("fake.add")
@attrs.frozen
class Add:
    """Add to a counter; `text` makes the record larger."""

    key: str
    amount: int = 1
    text: str = ""


@codec.register("fake.read")
@attrs.frozen
class Read:
    """Ask for a counter."""

    key: str


@codec.register("fake.sum")
@attrs.frozen
class Sum:
    total: int


@codec.register("fake.counters")
@attrs.define
class Counters:
    totals_by_key: dict[str, int] = attrs.field(factory=dict)


@machine.apply.register
def _add(command: Add, state: machine.State, context: machine.Context) -> Sum:
    totals = state.section("fake.counters", Counters).totals_by_key
    totals[command.key] = totals.get(command.key, 0) + command.amount
    return Sum(totals[command.key])


@machine.answer.register
def _read(query: Read, state: machine.State, now: float) -> Sum:
    section = state.sections.get("fake.counters", Counters())
    return Sum(section.totals_by_key.get(query.key, 0))


class CountingTransport(transport.Transport):
    """A transport that writes its number of received bytes to a file once a second."""

    n_bytes = 0

    def _receive_frame(self, data: bytes) -> None:
        self.n_bytes += len(data)
        super()._receive_frame(data)

    def report(self, path: pathlib.Path) -> None:
        written = path.with_suffix(".new")
        while True:
            written.write_text(f"{self.n_bytes}")
            # If the file were written in place, a reader could find it empty.
            written.replace(path)
            clock.sleep(1.0)


def member(text: str) -> options.Member:
    process_id, _, address = text.partition("=")
    return options.Member(process_id, address)


def options_for(
    process_id: str,
    members: list[options.Member],
    folder: str,
    snapshot_entries: int = 20_000,
    address: str = "",
) -> options.Options:
    addresses = {each.process_id: each.peer_address for each in members}
    return options.Options(
        process_id=process_id,
        peer_address=address or addresses[process_id],
        state=options.StateOptions(
            members=tuple(members),
            data_folder=folder,
            snapshot_entries=snapshot_entries,
        ),
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--process-id", required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--address", default="")
    parser.add_argument("--member", type=member, action="append", required=True)
    parser.add_argument("--snapshot-entries", type=int, default=20_000)
    parsed = parser.parse_args()
    eliot.to_file(sys.stdout)
    settings = options_for(
        parsed.process_id,
        parsed.member,
        parsed.folder,
        parsed.snapshot_entries,
        parsed.address,
    )
    peer_transport = CountingTransport(
        settings.process_id, settings.group, settings.peer_address
    )
    peer_transport.start()
    own_replica = replica.Replica(settings, peer_transport)
    own_replica.start()
    eventlet.spawn(peer_transport.report, pathlib.Path(f"{parsed.folder}.bytes"))
    stopped = eventlet.event.Event()
    hub = eventlet.hubs.get_hub()
    signal.signal(
        signal.SIGTERM, lambda *_: hub.schedule_call_global(0, stopped.send, None)
    )
    stopped.wait()
    own_replica.stop()
    peer_transport.stop()


if __name__ == "__main__":
    main()
