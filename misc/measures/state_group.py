"""A state group of real processes, and a client of it in this process."""

import pathlib
import shutil
import tempfile
import time
import types
from typing import Any, Self

from bilberrydrum import options, transport
from bilberrydrum.state import queries, remote
from misc import loopback, processes
from misc.measures import state_process


class StateGroup:
    """Processes p0, p1, ..., each with a replica; all are stopped on exit."""

    def __init__(self, n_members: int, snapshot_entries: int = 20_000) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="state-group-"))
        self.processes = processes.Processes(self.folder)
        *ports, client_port, spare_port = loopback.free_ports(n_members + 2)
        # Address of a process that may join later.
        self.spare_address = f"127.0.0.1:{spare_port}"
        self.members = [
            options.Member(f"p{i}", f"127.0.0.1:{port}") for i, port in enumerate(ports)
        ]
        self.snapshot_entries = snapshot_entries
        self.client_options = options.Options(
            process_id="client",
            peer_address=f"127.0.0.1:{client_port}",
            state=options.StateOptions(members=tuple(self.members)),
        )
        self.peer_transport = transport.Transport(
            "client", self.client_options.group, self.client_options.peer_address
        )
        self.client = remote.RemoteStateClient(self.client_options, self.peer_transport)

    def __enter__(self) -> Self:
        for each in self.members:
            self.start(each.process_id)
        self.peer_transport.start()
        self.client.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.client.stop()
        self.peer_transport.stop()
        self.processes.stop_all()
        shutil.rmtree(self.folder)

    def start(self, process_id: str, address: str = "") -> None:
        arguments = ["--process-id", process_id, "--folder", self.data(process_id)]
        arguments += ["--snapshot-entries", str(self.snapshot_entries)]
        arguments += ["--address", address]
        for each in self.members:
            arguments += ["--member", f"{each.process_id}={each.peer_address}"]
        self.processes.start_module(
            process_id, "misc.measures.state_process", *arguments
        )

    def data(self, process_id: str) -> str:
        return str(self.folder / process_id)

    def restore(self) -> None:
        """Resume or restart every process; wait until the leader reaches all."""
        for each in self.members:
            self.processes[each.process_id].thaw()
            if not self.processes[each.process_id].is_running():
                self.start(each.process_id)
        self.wait_for(lambda status: all(m.is_reachable for m in status.members))

    def lose_disk(self, process_id: str) -> None:
        self.processes[process_id].kill()
        shutil.rmtree(self.data(process_id))

    def add(self, key: str, timeout: float = 20.0) -> int:
        answer = self.client.submit(state_process.Add(key), timeout)
        total: int = answer.unwrap().total
        return total

    def read(self, key: str, timeout: float = 20.0) -> int:
        answer = self.client.query(state_process.Read(key), timeout)
        total: int = answer.unwrap().total
        return total

    def status(self, timeout: float = 20.0) -> queries.Status:
        status: queries.Status = self.client.query(
            queries.GetStatus(), timeout
        ).unwrap()
        return status

    def followers(self, status: queries.Status) -> list[queries.ReplicaStatus]:
        leader = status.leader_process_id
        return [each for each in status.members if each.process_id != leader]

    def wait_for(self, condition: Any, timeout: float = 30.0) -> float:
        """Wait until the status fulfils `condition`; return the seconds taken."""
        start = time.monotonic()
        while not condition(self.status()):
            if time.monotonic() - start > timeout:
                raise AssertionError(
                    f"condition not met within {timeout} s; status: {self.status()}"
                )
            time.sleep(0.05)
        return time.monotonic() - start
