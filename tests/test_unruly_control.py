"""Callers of the control API that do not behave."""

import json

from nose2 import tools

from tests import unruly_support as support

MIB = support.MIB
PORT = support.standins.CONTROL_PORT
CONFIGURATION = "/api/config/replace"
ANNOUNCEMENT = "/api/instances/i-1/heartbeat"
DEPARTURE = "/api/instances/i-1/deregister"
VERSION = "/api/version-put"
SIZES = support.Sizes(control_mb=160)


def nearly_whole(target):
    return support.announced(target, 30 * MIB, 30 * MIB - 1)


def chunks(target):
    return support.chunked(target, 64 * 1024, 30 * MIB)


def tiny_chunks(target):
    return support.chunked(target, 1, 150_000)


def over_announced(target):
    return support.announced(target, 1024 * MIB, 40 * MIB)


def dense_lists(target):
    body = b'{"routes": [' + b"[]," * (8 * MIB // 3) + b"[]]}"
    return iter([support.head(target, f"Content-Length: {len(body)}"), body])


def many_routes(target):
    route = {"name": "r", "host": "h", "path_prefix": "/a/", "service": "nobody"}
    routes = [dict(route, name=f"r{n}") for n in range(60_000)]
    body = json.dumps({"version": 99, "routes": routes, "services": []}).encode()
    return iter([support.head(target, f"Content-Length: {len(body)}"), body])


SHAPES = (nearly_whole, chunks, tiny_chunks, over_announced, dense_lists)


class Documents(support.UnrulyCase):
    @tools.params(
        *((shape, CONFIGURATION) for shape in (*SHAPES, many_routes)),
        *((nearly_whole, target) for target in (ANNOUNCEMENT, DEPARTURE, VERSION)),
        *((dense_lists, target) for target in (ANNOUNCEMENT, DEPARTURE, VERSION)),
    )
    def test_crowd_of_documents_stays_within_the_memory(self, shape, target):
        """Guards against documents that take many times their size as objects."""
        name = f"{shape.__name__} {target}"
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "control", PORT)
        crowd.send(lambda: shape(target), n_clients=8)
        crowd.wait()
        read = support.standins.READ_POLICY
        self.assertEqual(site.call("control", PORT, read)[0], 200, name)
        self.check(site, crowd, name)
        self.assertEqual(site.call("control", PORT, read)[0], 200, name)

    def test_configuration_of_many_routes_is_accepted_in_calm(self):
        """Guards against a limit that configurations in use would meet."""
        site = self.start_site(support.Sizes())
        document = json.loads(
            site.call("control", PORT, support.standins.READ_POLICY)[1]
        )
        first = document["routes"][0]
        document["routes"] += [
            dict(first, name=f"r{n}", path_prefix=f"/many/{n}/") for n in range(3000)
        ]
        document["version"] = 9
        call = support.standins.Call.of_json("POST", CONFIGURATION, document)
        self.assertEqual(site.call("control", PORT, call)[0], 200)
        self.assertEqual(site.findings(), [])
