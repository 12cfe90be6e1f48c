"""The interface page must have an example call for each existing route only."""

import pathlib
import re
import tempfile
import unittest

from bilberrydrum import daemon, options

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "INTERFACE.md").read_text()
CURL = re.compile(r'^    curl -X ([A-Z]+) "?\$G(/[^\s?"]*)', re.MULTILINE)


def make_routes():
    """Return the routes of a process with both roles."""
    with tempfile.TemporaryDirectory() as folder:
        state = options.StateOptions(data_folder=folder)
        made = daemon.Daemon(options.Options("a", state=state), daemon.Secrets())
        return made.edge.routes()


class TestInterfacePage(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.routes = make_routes()
        cls.calls = CURL.findall(PAGE)

    def is_served(self, route, call):
        method, path = call
        if route.method not in ("*", method):
            return False
        return route.match(path.strip("/").split("/")) is not None

    def test_every_route_has_a_call(self):
        self.assertGreater(len(self.routes), 30)
        for route in self.routes:
            self.assertTrue(
                any(self.is_served(route, call) for call in self.calls),
                f"no curl for {route.method} /{'/'.join(route.segments)}",
            )

    def test_every_call_has_a_route(self):
        for call in self.calls:
            self.assertTrue(
                any(self.is_served(route, call) for route in self.routes), call
            )

    def test_every_route_is_named_with_its_variables(self):
        for route in self.routes:
            path = "/" + "/".join(route.segments)
            pattern = re.sub(r"\\\{[a-z_.\\]+\\\}", r"\\{[a-z_]+\\}", re.escape(path))
            self.assertRegex(PAGE, rf"{pattern}(?![a-z/])")
