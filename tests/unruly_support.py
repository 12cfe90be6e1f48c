"""Real processes under clients that do not behave, and what is judged of them."""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import socket
import sys
import tempfile
import unittest

import attrs
import eventlet

from bilberrydrum.batches import model as batch_model
from bilberrydrum.nodes import options
from misc import processes
from tests.fakes import scripted

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import standins  # noqa: E402

from misc.soaks import soak_run  # noqa: E402

MIB = 1024 * 1024
HOST = "unruly.example"
# The largest body that the policy allows, as on the platform's pages.
MAX_BODY_BYTES = 32 * MIB
# Only a failing test waits this long.
DEADLINE_SECONDS = 30.0
METRICS_PORT = 9464
N_CLIENTS = 24

ROUTES = (
    standins.PlainRoute("once", "/once/", "apps", is_idempotent=False),
    standins.PlainRoute("safe", "/safe/", "apps", is_idempotent=True),
)
# Targets with this end have the large answer.
LARGE_ANSWER = "/large"
BATCH_ROUTE = standins.BatchRoute("batches", "/batches/", "engines")


@attrs.frozen
class Sizes:
    """Memory of each process in megabytes, and the number of stores."""

    gateway_mb: int = 150
    control_mb: int = 296
    store_mb: int = 180
    n_stores: int = 1
    max_descriptors: int = 1024


@attrs.define
class Peak:
    """The largest values that were seen of one process."""

    resident: int = 0
    unread: int = 0
    n_descriptors: int = 0


def resident_peak(pid):
    return _status_bytes(pid, "VmHWM:")


def resident_now(pid):
    return _status_bytes(pid, "VmRSS:")


def _status_bytes(pid, name):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * 1024
    return 0


def _hex_address(ip):
    return socket.inet_aton(ip)[::-1].hex().upper()


def unread_bytes(ip):
    """Return the bytes that the kernel holds unread for all sockets at `ip`."""
    wanted = _hex_address(ip) + ":"
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # Of a listening socket, the field counts connections.
        if fields[1].startswith(wanted) and fields[3] != "0A":
            total += int(fields[4].split(":")[1], 16)
    return total


class Site:
    """One control process, stores and a gateway, and the upstreams of two services."""

    def __init__(self, sizes, answer_bytes=2):
        self.sizes = sizes
        self._answer_bytes = answer_bytes
        self._stack = contextlib.ExitStack()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        number = self._stack.enter_context(soak_run.network())
        self._net = f"127.{number}.2"
        self.processes = processes.Processes(self.folder)
        self._stack.callback(self.processes.stop_all)
        self.peaks_by_name = {}
        self.ips_by_name = {}
        self._mb_by_name = {}
        self._n_ids = 0
        # An address announced by two upstreams would be that of the later one only.
        self.app = scripted.Scripted(self._serve)
        self.engine = scripted.Scripted(self._refuse)
        self._stack.callback(self.app.stop)
        self._stack.callback(self.engine.stop)
        self._tasks = []

    def start(self):
        try:
            self._start()
        except BaseException:
            print(self.processes.describe(20), file=sys.stderr)
            self.stop()
            raise

    def _start(self):
        role, sizes = options.Role, self.sizes
        self._start_process("control", role.CONTROL, 1, sizes.control_mb)
        for n in range(sizes.n_stores):
            self._start_process(f"store-{n}", role.STORE, 10 + n, sizes.store_mb)
        self._start_process("gateway", role.GATEWAY, 20, sizes.gateway_mb)
        self._tasks.append(eventlet.spawn(self._watch))
        self._wait(self._submit_policy, "a policy")
        self._tasks.append(eventlet.spawn(self._announce))
        self._wait(lambda: self.ask("/once/") == 200, "an answer")
        self._wait(lambda: self.submit(1, 10) == 202, "a batch")

    def _start_process(self, name, role, number, memory_mb):
        ip = f"{self._net}.{number}"
        has_disk = role is not options.Role.GATEWAY
        host = standins.ProcessSettings(
            name,
            role,
            ip,
            ip,
            "zone",
            str(self.folder / f"{name}-data") if has_disk else "",
            (f"{self._net}.1",),
            is_first_start=True,
            n_losses=1 if self.sizes.n_stores > 1 else 0,
            memory_mb=memory_mb,
            max_descriptors=self.sizes.max_descriptors,
        )
        path = self.folder / f"{name}.toml"
        path.write_text(standins.settings_text(host))
        script = str(ROOT / "misc" / "soaks" / "soak_node.py")
        clock_path = str(self.folder / f"{name}.clock")
        command = [sys.executable, script, str(path), ip, clock_path]
        self.processes.start(name, command)
        self.ips_by_name[name] = ip
        self._mb_by_name[name] = memory_mb
        self.peaks_by_name[name] = Peak()

    def stop(self):
        for task in self._tasks:
            task.kill()
        self._stack.close()

    def _wait(self, condition, what):
        end = eventlet.hubs.get_hub().clock() + DEADLINE_SECONDS
        while not condition():
            if eventlet.hubs.get_hub().clock() > end:
                raise AssertionError(f"timed out: {what}")
            eventlet.sleep(0.1)

    def address(self, name, port):
        return self.ips_by_name[name], port

    # Upstreams

    def _refuse(self, connection, received):
        if received.target == standins.REPORT_TARGET:
            body = standins.report({"m": 1}, False, 0, 0)
            status = "200 OK"
        else:
            body, status = b"", "503 Full\r\nX-Not-Executed: 1"
        connection.sendall(scripted.answer(received, body, status))

    def _serve(self, connection, received):
        request_id = received.headers.get("x-attempt-id", "")
        if received.target.startswith("/stream/"):
            return self._stream(connection, received)
        is_large = received.target.endswith(LARGE_ANSWER)
        body = b"o" * (self._answer_bytes if is_large else 2)
        fields = standins.answer_headers(request_id)
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        connection.sendall((head + "".join(lines) + "\r\n").encode() + body)

    def _stream(self, connection, received):
        """Send events for ever if the target asks for a large answer, else one."""
        fields = standins.answer_headers(received.headers.get("x-attempt-id", ""))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        connection.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\n{head}\r\n"
            ).encode()
        )
        number = 1
        connection.sendall(scripted.chunk(standins.event(1, "x")))
        while received.target.endswith(LARGE_ANSWER):
            number += 1
            event = standins.event(number, "x" * 200_000)
            connection.sendall(scripted.chunk(event))
        connection.sendall(scripted.LAST_CHUNK)
        return None

    def _announce(self):
        sequence = 0
        while True:
            sequence += 1
            for service, server, versions in (
                ("apps", self.app, {}),
                ("engines", self.engine, {"m": 1}),
            ):
                given = standins.Announcement(
                    service,
                    service,
                    server.address,
                    "zone",
                    64,
                    sequence,
                    False,
                    versions,
                )
                self.call("control", standins.CONTROL_PORT, standins.announce(given))
            eventlet.sleep(0.5)

    def _submit_policy(self):
        policy = standins.Policy(
            3, HOST, ROUTES, (BATCH_ROUTE,), {"apps": (), "engines": ("m",)}
        )
        call = standins.submit_policy(policy)
        document = json.loads(call.body)
        stream = next(e for e in document["routes"] if e["name"] == "once")
        document["routes"].append(
            {**stream, "name": "stream", "path_prefix": "/stream/", "type": "streaming"}
        )
        document["limits"] = {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
        }
        call = attrs.evolve(call, body=json.dumps(document).encode())
        return self.call("control", standins.CONTROL_PORT, call)[0] == 200

    # Clients that behave

    def call(self, name, port, call, seconds=DEADLINE_SECONDS):
        """Send a call; return the status, 0 if there is no answer, and the body."""
        ip, port = self.address(name, port)
        connection = http.client.HTTPConnection(ip, port, timeout=seconds)
        try:
            connection.request(call.method, call.target, call.body, call.headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def new_id(self):
        self._n_ids += 1
        return f"r{self._n_ids}"

    def ask(self, path, n_bytes=100, seconds=30.0, chunk_bytes=0):
        """Send one request through the gateway; return the status of its answer."""
        headers = standins.request_headers(HOST, self.new_id(), seconds)
        body = b"b" * n_bytes
        if chunk_bytes:
            body = itertools.repeat(b"b" * chunk_bytes, n_bytes // chunk_bytes)
        call = standins.Call("POST", f"{path}x", headers, body)
        return self.call("gateway", standins.CLIENT_PORT, call)[0]

    def submit(self, n_items, item_bytes, fill=os.urandom, suffix=""):
        """Submit a batch of items with bodies of `fill`; return the status."""
        call = batch_call(self.new_id(), n_items, item_bytes, fill, suffix)
        return self.call("gateway", standins.CLIENT_PORT, call)[0]

    def ask_until_served(self, path, n_bytes=100, n_times=4, pause=1.0):
        """Ask again after each refusal, as clients do; return the last status."""
        for n in range(n_times):
            eventlet.sleep(pause if n else 0.0)
            status = self.ask(path, n_bytes)
            if status not in (429, 503):
                break
        return status

    # What is judged

    def resident(self, name):
        """Return the resident memory of a process in bytes."""
        return resident_now(self.processes[name].pid)

    def _watch(self):
        while True:
            for name, peak in self.peaks_by_name.items():
                self._sample(name, peak)
            eventlet.sleep(0.05)

    def _sample(self, name, peak):
        pid = self.processes[name].pid
        try:
            peak.resident = max(peak.resident, resident_peak(pid))
            n_descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        except OSError:
            return
        peak.n_descriptors = max(peak.n_descriptors, n_descriptors)
        peak.unread = max(peak.unread, unread_bytes(self.ips_by_name[name]))

    def findings(self):
        """Return what is wrong with the processes: life, memory, descriptors."""
        found = []
        for name, peak in self.peaks_by_name.items():
            process = self.processes[name]
            self._sample(name, peak)
            if not process.is_running():
                found.append(f"{name} exited: {process.log_tail(3)}")
            n_bytes, most = peak.resident + peak.unread, self._mb_by_name[name] * MIB
            if n_bytes > most:
                found.append(
                    f"{name}: expected at most {most // MIB} MiB, got "
                    f"{peak.resident // MIB} resident + {peak.unread // MIB} unread"
                )
            if peak.n_descriptors > self.sizes.max_descriptors:
                found.append(f"{name}: {peak.n_descriptors} descriptors")
        return found


def batch_call(batch_id, n_items, item_bytes, fill=os.urandom, suffix=""):
    """Return the submission of a batch; each item has a body of `item_bytes`."""
    items = tuple(
        batch_model.Item(
            f"{batch_id}-{n}", "/batches/1", {"X-Model": "m"}, fill(item_bytes), 100
        )
        for n in range(n_items)
    )
    batch = batch_model.Batch(batch_id, HOST, items, step=0, model="m" + suffix)
    return standins.submit_batch(batch, "/batches/x", 30.0)


def raw(call):
    """Return the bytes of a call."""
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    lines += [f"Content-Length: {len(call.body)}", "", ""]
    return "\r\n".join(lines).encode() + call.body


class Crowd:
    """Clients that send bytes and stay open."""

    def __init__(self, address):
        self._address = address
        self._connections = []
        self._tasks = []

    def send(self, parts, n_clients=N_CLIENTS):
        """Start clients that each send the parts that `parts()` yields."""
        for _ in range(n_clients):
            self._tasks.append(eventlet.spawn(self._send, parts))

    def _send(self, parts):
        with contextlib.suppress(OSError):
            connection = socket.create_connection(self._address, DEADLINE_SECONDS)
            self._connections.append(connection)
            for part in parts():
                connection.sendall(part)

    def wait(self, seconds=4.0):
        """Wait until all have sent what the process takes, and at most `seconds`."""
        with eventlet.Timeout(seconds, False):
            for task in self._tasks:
                task.wait()

    def close(self):
        for task in self._tasks:
            task.kill()
        for connection in self._connections:
            connection.close()


def head(target, *fields, method="POST"):
    """Return the head of a request with the given field lines."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "X-Attempt-Id: unruly"]
    return "\r\n".join([*lines, "X-Deadline-Ms: 30000", *fields, "", ""]).encode()


def announced(target, n_bytes, n_sent, part_bytes=64 * 1024, fill=b"x"):
    """Yield a request that announces `n_bytes` and stops after `n_sent`."""
    yield head(target, f"Content-Length: {n_bytes}")
    part = fill * part_bytes
    for _ in range(n_sent // part_bytes):
        yield part
    yield part[: n_sent % part_bytes]


def chunked(target, chunk_bytes, n_sent, is_ended=False):
    """Yield a chunked request that stops after `n_sent` bytes, before its end."""
    yield head(target, "Transfer-Encoding: chunked")
    chunk = scripted.chunk(b"x" * chunk_bytes)
    n_per_part = max(1, 64 * 1024 // len(chunk))
    part = chunk * n_per_part
    for _ in range(n_sent // (chunk_bytes * n_per_part)):
        yield part
    if is_ended:
        yield scripted.LAST_CHUNK


class UnrulyCase(unittest.TestCase):
    """A test of one crowd against a new site."""

    def start_site(self, sizes, **fields):
        site = Site(sizes, **fields)
        site.start()
        self.addCleanup(site.stop)
        return site

    def crowd(self, site, name, port):
        crowd = Crowd(site.address(name, port))
        self.addCleanup(crowd.close)
        return crowd

    def check(self, site, crowd, name):
        """Judge the processes and an ordinary request, beside the crowd and after."""
        crowd.wait()
        status = site.ask_until_served("/once/")
        self.assertEqual(status, 200, f"{name}: beside the crowd")
        crowd.close()
        status = site.ask_until_served("/once/")
        self.assertEqual(status, 200, f"{name}: after the crowd")
        self.assertEqual(site.findings(), [], name)
