"""Tests of the daemon as a process: start, failed start, draining and stop."""

import pathlib
import signal
import socket
import sys
import tempfile
import unittest

import urllib3
import yaml

from misc import loopback, processes

# Long enough for a slow machine; only a failing test waits for all of it.
DEADLINE_SECONDS = 60.0


class DaemonCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.processes = processes.Processes(self.folder)
        self.addCleanup(self.processes.stop_all)
        ports = loopback.free_ports(4)
        self.http, self.peer, *absent = [f"127.0.0.1:{port}" for port in ports]
        self.absent = absent
        self.settings = {
            "process_id": "gw-1",
            "peer_address": self.peer,
            "state": {
                "members": [{"process_id": "gw-1", "peer_address": self.peer}],
                "data_folder": str(self.folder / "data"),
            },
            "gateway": {"http_address": self.http},
            "shutdown": {"balancer_seconds": 0.1, "limit_seconds": 600},
        }

    def write_settings(self):
        path = self.folder / "settings.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        return str(path)

    def start(self):
        path = self.write_settings()
        return self.processes.start_module(
            "daemon", "bilberrydrum.main", "--settings", path
        )

    def get(self, path):
        return processes.http_status(self.http, path, DEADLINE_SECONDS)

    def wait_for(self, condition, what):
        processes.wait_for(condition, DEADLINE_SECONDS, what)

    def test_address_in_use_ends_the_process_with_an_error(self):
        """The HTTP address is in use by another program, so the start must fail.

        If the process continued without its HTTP server, its peers would consider it
        healthy, but it could serve no request.
        """
        host, port = self.http.split(":")
        with socket.create_server((host, int(port))):
            process = self.start()
            self.assertEqual(process.popen.wait(DEADLINE_SECONDS), 1)
        self.assertIn("Address already in use", process.log_tail())

    def test_log_file_that_cannot_be_opened_is_a_finding(self):
        self.settings["log_file"] = str(self.folder / "absent" / "log")
        process = self.start()
        self.assertEqual(process.popen.wait(DEADLINE_SECONDS), 2)
        self.assertIn("absent/log: error: cannot be opened", process.log_tail())

    def test_without_quorum_it_is_healthy_but_not_ready_and_can_be_stopped(self):
        """Two of three members are down, so the state group has no quorum.

        Operators must still see the status of the group, and callers must be refused
        with an outcome of not-run.
        """
        self.settings["state"]["members"] += [
            {"process_id": f"gw-{i}", "peer_address": address}
            for i, address in enumerate(self.absent, 2)
        ]
        process = self.start()
        self.wait_for(lambda: self.get("/healthz") == 200, "healthz")
        self.assertEqual(self.get("/readyz"), 503)
        self.assertEqual(self.get("/v1/state"), 200)
        refused = urllib3.request(
            "POST",
            f"http://{self.http}/v1/completions",
            headers={"X-Caller": "planners"},
            json={"model": "planner", "prompt": "a", "max_tokens": 1},
            retries=False,
        )
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.json()["outcome"], "not-run")
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(process.terminate(DEADLINE_SECONDS), 0)

    def test_check_reports_all_findings_and_starts_nothing(self):
        self.settings["peer_adress"] = "127.0.0.1:1"
        self.settings["state"]["heartbeat_seconds"] = -1
        arguments = ["-m", "bilberrydrum.main", "--check", "--settings"]
        code, _, printed = processes.run_tool(
            [sys.executable, *arguments, self.write_settings()], DEADLINE_SECONDS
        )
        self.assertEqual(code, 2)
        self.assertEqual(printed.count("error:"), 2, printed)

    def send_partial_request(self):
        """Send a request without the end of its body; return the connection."""
        host, port = self.http.split(":")
        connection = socket.create_connection((host, int(port)))
        self.addCleanup(connection.close)
        connection.sendall(
            b"POST /v1/bundles/check HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{"
        )
        return connection

    def drain(self, process):
        """Send SIGTERM during a request; wait until the listening socket is closed."""
        self.wait_for(lambda: self.get("/healthz") == 200, "healthz")
        connection = self.send_partial_request()
        # The answer to a later request shows that the earlier connection was accepted.
        self.assertEqual(self.get("/healthz"), 200)
        process.send(signal.SIGTERM)
        self.wait_for(lambda: self.get("/healthz") == 0, "listening socket closed")
        return connection

    def test_request_in_flight_at_shutdown_gets_its_complete_answer(self):
        """SIGTERM arrives during a request, which must still be answered completely.

        New connections must be refused at once: if the kernel accepted them, their
        clients would wait until the last request in flight has ended.
        """
        self.settings["limits"] = {"read_timeout_seconds": 60}
        process = self.start()
        connection = self.drain(process)
        self.assertTrue(process.is_running())
        connection.sendall(b"}")
        answer = b""
        while part := connection.recv(65536):
            answer += part
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertIn(f"Content-Length: {len(body)}".encode(), head)
        self.assertEqual(process.popen.wait(DEADLINE_SECONDS), 0)

    def test_second_signal_stops_waiting_for_requests(self):
        """A request never ends, and the operator sends SIGTERM again.

        Without a reaction to the second signal, the process would wait for its limit.
        """
        self.settings["limits"] = {"read_timeout_seconds": 600}
        process = self.start()
        self.drain(process)
        self.assertTrue(process.is_running())
        process.send(signal.SIGTERM)
        self.assertEqual(process.popen.wait(DEADLINE_SECONDS), 0)
