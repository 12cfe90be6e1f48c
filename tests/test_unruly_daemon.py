"""Clients of the daemon that do not behave."""

import pathlib
import tempfile

import yaml
from nose2 import tools

from misc import loopback, processes
from tests import unruly_support as support

MIB = support.MIB
MEMORY_MB = 120
TARGET = "/v1/bundles/check"


def whole():
    return support.announced(TARGET, 8 * MIB, 8 * MIB)


def nearly_whole():
    return support.announced(TARGET, 8 * MIB, 8 * MIB - 1)


def large_chunks():
    return support.chunked(TARGET, MIB, 8 * MIB)


def tiny_chunks():
    return support.chunked(TARGET, 1, 150_000)


def over_sent():
    return support.chunked(TARGET, 64 * 1024, 40 * MIB)


class Daemon(support.UnrulyCase):
    def start_daemon(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        started = processes.Processes(path)
        self.addCleanup(started.stop_all)
        http, peer = (f"127.0.0.1:{port}" for port in loopback.free_ports(2))
        settings = {
            "process_id": "gw-1",
            "peer_address": peer,
            "state": {
                "members": [{"process_id": "gw-1", "peer_address": peer}],
                "data_folder": str(path / "data"),
            },
            "gateway": {"http_address": http},
            "limits": {"memory_mb": MEMORY_MB, "max_body_bytes": 32 * MIB},
        }
        (path / "settings.yaml").write_text(yaml.safe_dump(settings))
        arguments = ("--settings", str(path / "settings.yaml"))
        process = started.start_module("daemon", "bilberrydrum.main", *arguments)
        started.wait_until_ready("daemon", http, "/healthz")
        return process, http

    @tools.params(whole, nearly_whole, large_chunks, tiny_chunks, over_sent)
    def test_crowd_of_bodies_stays_within_the_memory(self, shape):
        """Guards against bodies that together take more memory than the daemon has."""
        process, http = self.start_daemon()
        host, port = http.split(":")
        crowd = support.Crowd((host, int(port)))
        self.addCleanup(crowd.close)
        crowd.send(shape)
        crowd.wait()
        seconds = support.DEADLINE_SECONDS
        statuses = [processes.http_status(http, "/v1/state", seconds)]
        crowd.close()
        statuses.append(processes.http_status(http, "/v1/state", seconds))
        self.assertEqual((statuses, process.is_running()), ([200, 200], True))
        peak = support.resident_peak(process.pid)
        self.assertLessEqual(peak // MIB, MEMORY_MB, shape.__name__)
