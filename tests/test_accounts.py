"""Client accounts: their part of the policy, and the lookup of keys."""

import json
import pathlib
import random
import sys
import time
import unittest

import attrs
from nose2 import tools

from bilberrydrum import codec, options, reasons, upstream_protocol
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.batches import model as batch_model
from bilberrydrum.fleet import accounts, policy, policy_check
from bilberrydrum.http import edge
from bilberrydrum.relay import callers
from bilberrydrum.relay import model as relay_model
from tests import test_fleet, test_platform_clients
from tests import test_platform as shared

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import client_calls, policies, upstreams  # noqa: E402

ACME = {"name": "acme", "api_keys": ["key-a1", "key-a2"], "priority": 1}
BETA = {"name": "beta", "api_keys": ["key-b"]}
PUBLIC = {**shared.ROUTE, "name": "p", "path_prefix": "/p/", "public": True}
DOCUMENT = {
    **shared.CONFIGURATION,
    "routes": [*shared.CONFIGURATION["routes"], PUBLIC],
    "tenants": [ACME, BETA],
}


def account(name, *keys, priority=0):
    digests = tuple(accounts.digest_of(each) for each in keys)
    return accounts.Account(name, digests, priority)


class Decode(unittest.TestCase):
    def test_decoded(self):
        decoded = policies.decode(json.dumps(DOCUMENT).encode())
        acme, beta = decoded.accounts
        self.assertEqual((acme.name, acme.priority), ("acme", 1))
        table = policy.RouteTable(decoded).accounts
        found = {key: table.find(accounts.digest_of(key)) for key in ("key-a2", "x")}
        self.assertEqual(found, {"key-a2": acme, "x": None})
        self.assertEqual([e.is_public for e in decoded.routes], [False, False, True])

    def test_no_accounts(self):
        """Without the field no key is needed; with an empty list no key is valid."""
        plain = policies.decode(json.dumps(shared.CONFIGURATION).encode())
        self.assertIsNone(plain.accounts)
        empty = json.dumps({**DOCUMENT, "tenants": []}).encode()
        self.assertEqual(policies.decode(empty).accounts, ())

    def test_keys_are_not_kept(self):
        """The policy that is committed and sent to processes contains no usable key."""
        decoded = policies.decode(json.dumps(DOCUMENT).encode())
        for shown in (repr(decoded).encode(), codec.encode(decoded)):
            self.assertNotIn(b"key-a1", shown)

    @tools.params(
        ("no list", "acme"),
        ("a number", 3),
        ("no keys", [{"name": "acme"}]),
        ("keys are text", [{**ACME, "api_keys": "key"}]),
        ("a key is a number", [{**ACME, "api_keys": [7]}]),
        ("priority is text", [{**ACME, "priority": "1"}]),
        ("name is true", [{**ACME, "name": True}]),
    )
    def test_unreadable(self, name, given):
        body = json.dumps({**DOCUMENT, "tenants": given}).encode()
        with self.assertRaises(policies.PolicyError, msg=name):
            policies.decode(body)


class Check(unittest.TestCase):
    """All faults are reported together, and none for valid accounts."""

    @tools.params(
        ("sound", [account("a", "k1", "k2"), account("b", "k3")], []),
        ("no keys", [account("a")], []),
        ("the same key twice", [account("a", "k1", "k1")], []),
        ("shared", [account("a", "k1"), account("b", "k1")], ["share a key"]),
        ("names", [account("a", "k1"), account("a", "k2")], ["two accounts"]),
        ("no name", [account("", "k1")], ["no name"]),
        ("line end", [account("a\nb", "k1")], ["printable"]),
        ("empty key", [account("a", "")], ["empty"]),
        (
            "all at once",
            [account("a", "k1", ""), account("b", "k1"), account("a"), account(" ")],
            ["empty", "share", "two accounts", "no name"],
        ),
    )
    def test_findings(self, name, given, expected):
        document = attrs.evolve(test_fleet.document(), accounts=tuple(given))
        found = [each.message for each in policy_check.check(document)]
        self.assertEqual(len(found), len(expected), found)
        for text, part in zip(found, expected, strict=True):
            self.assertIn(part, text, name)

    def test_many(self):
        """Checking 10,000 accounts and looking up a key are fast enough for a call."""
        many = tuple(account(f"a{n}", f"k{n}", f"l{n}") for n in range(10_000))
        document = attrs.evolve(test_fleet.document(), accounts=many)
        began = time.process_time()
        self.assertEqual(policy_check.check(document), [])
        table = policy.RouteTable(document).accounts
        self.assertLess(time.process_time() - began, 1.0)
        began = time.process_time()
        for n in range(10_000):
            table.find(accounts.digest_of(f"k{n}"))
        self.assertLess((time.process_time() - began) / 10_000, 50e-6)


class Identify(unittest.TestCase):
    """Identification of callers by their keys, and refusals."""

    def identify(self, path, key, is_confirmed=True, document=DOCUMENT):
        view = shared.View(document)
        view.is_confirmed = is_confirmed
        route = view.routes.find("h.example", path)
        found = callers.Callers(view, random.Random(1)).of_request("r1", route, key)
        return found

    @tools.params(
        ("a key", "/a/1", "key-a1", "acme"),
        ("another key of it", "/a/1", "key-a2", "acme"),
        ("another account", "/a/1", "key-b", "beta"),
        ("public, no key", "/p/1", "", ""),
        ("public, a wrong key", "/p/1", "nonsense", ""),
    )
    def test_served(self, name, path, key, expected):
        found = self.identify(path, key)
        self.assertEqual(found.account, expected, name)
        self.assertIsNone(found.find_refusal())

    @tools.params(
        ("no key", "/a/1", "", True, reasons.Reason.UNAUTHORIZED),
        ("unknown", "/a/1", "key-c", True, reasons.Reason.UNAUTHORIZED),
        ("two keys", "/a/1", "key-a1, key-b", True, reasons.Reason.UNAUTHORIZED),
        ("not confirmed", "/a/1", "key-a1", False, reasons.Reason.BUNDLE_LEASE_EXPIRED),
        (
            "unknown, not confirmed",
            "/a/1",
            "key-c",
            False,
            reasons.Reason.BUNDLE_LEASE_EXPIRED,
        ),
    )
    def test_refused(self, name, path, key, is_confirmed, reason):
        refused = self.identify(path, key, is_confirmed)
        self.assertIsInstance(refused, relay_model.Refused, name)
        self.assertIs(refused.reason, reason)
        may_retry = refused.retry_after_seconds > 0
        self.assertEqual(may_retry, reason is not reasons.Reason.UNAUTHORIZED)

    def test_public_needs_no_confirmation(self):
        self.assertEqual(self.identify("/p/1", "", is_confirmed=False).account, "")

    def test_no_accounts(self):
        found = self.identify("/a/1", "any", False, shared.CONFIGURATION)
        self.assertIsNone(found.account)

    @tools.params(
        ("key revoked", [BETA]),
        ("given to another account", [{**BETA, "api_keys": ["key-a1"]}]),
        ("no accounts left", []),
    )
    def test_checked_before_each_attempt(self, name, left):
        """A request whose key is revoked while it waits must not be sent."""
        view = shared.View(DOCUMENT)
        route = view.routes.find("h.example", "/a/1")
        caller = callers.Callers(view, random.Random(1)).of_request(
            "r1", route, "key-a1"
        )
        self.assertIsNone(caller.find_refusal())
        document = {**DOCUMENT, "tenants": left}
        view.routes = shared.View(document).routes
        self.assertIs(caller.find_refusal(), reasons.Reason.UNAUTHORIZED, name)
        view.is_confirmed = False
        expected = reasons.Reason.BUNDLE_LEASE_EXPIRED
        self.assertIs(caller.find_refusal(), expected)


class Interface(unittest.TestCase):
    """Statuses and forwarded headers through the adapter."""

    def call(self, node, method, path, body=b"x", **headers):
        node.view = shared.View(DOCUMENT)
        node.callers = callers.Callers(node.view, random.Random(1))
        clients = client_calls.ClientCalls(node)
        app = edge.Edge(options.LimitOptions(), {}, fallback=clients.serve)
        clients.add_routes(app)
        names = {"Host": "h.example:80", "X-Attempt-Id": "b1"}
        names |= {name.replace("_", "-"): value for name, value in headers.items()}
        return shared.call(app, method, path, shared.dumped(body), names)

    @tools.params(
        ("served", "POST", "/a/1", {"Api_Key": "key-a1"}, 200),
        ("no key", "POST", "/a/1", {}, 401),
        ("unknown", "POST", "/a/1", {"Api_Key": "x"}, 401),
        ("public", "POST", "/p/1", {}, 200),
        ("no route", "POST", "/none/1", {}, 404),
        ("read without a key", "GET", "/api/lots/b1", {}, 401),
        ("end with a wrong key", "DELETE", "/api/lots/b1", {"Api_Key": "x"}, 401),
        ("body with a wrong key", "GET", "/api/items/b1?id=i", {"Api_Key": "x"}, 401),
    )
    def test_status(self, name, method, path, headers, status):
        given = self.call(shared.Node(), method, path, **headers)
        self.assertEqual(given.status, status, (name, given.body))

    @tools.params(
        ("forged", "/a/1", {"Api_Key": "key-b", "X_Tenant": "acme"}, "beta"),
        ("public", "/p/1", {"api_key": "key-b", "x_tenant": "acme"}, None),
    )
    def test_claims_are_not_passed_on(self, name, path, headers, expected):
        """The key is not forwarded, and a claimed account name is replaced."""
        node = shared.Node()
        self.call(node, "POST", path, **headers)
        sent = self.sent(node.inbound[0].headers, node.inbound[0].account)
        self.assertEqual(sent.get("x-tenant"), expected, name)
        self.assertNotIn("api-key", sent)

    def sent(self, headers, account_):
        attempt = attempt_of(account_)
        given = upstreams.PlatformProtocol().relay_headers(headers, attempt)
        return {name.lower(): value for name, value in given.items()}

    def test_item_headers_are_replaced(self):
        """An item's headers for account and key are replaced by the batch's owner."""
        headers = {"X-Tenant": "acme", "API-KEY": "key-a1", "X-Model": "m"}
        sent = self.sent(headers, "beta")
        self.assertEqual(sent["x-tenant"], "beta")
        self.assertEqual(sent["x-model"], "m")
        self.assertNotIn("api-key", sent)

    @tools.params(
        ("its owner", "key-a2", "acme/b1"),
        ("another account", "key-b", "beta/b1"),
    )
    def test_batches_belong_to_accounts(self, name, key, expected):
        """All keys of the owner give access to its batch; other accounts have none."""
        node = shared.Node(*[test_platform_clients.KEPT] * 2)
        submitted = self.call(
            node, "POST", "/b/1", test_platform_clients.BATCH, Api_Key="key-a1"
        )
        self.assertEqual(submitted.status, 202)
        kept = batch_model.unpack_batch(node.calls.asked[0].data)
        self.assertEqual((kept.batch_id, kept.account), ("acme/b1", "acme"))
        node.calls.answers = [test_platform_clients.PAGE]
        self.call(node, "GET", "/api/lots/b1", b"", Api_Key=key)
        self.assertEqual(node.calls.asked[1], batch_messages.Read(expected, 0, 0.0))

    def test_an_id_cannot_name_another_account(self):
        """``b/c`` of account ``a`` would otherwise be ``c`` of account ``a/b``."""
        node = shared.Node()
        given = self.call(
            node,
            "POST",
            "/b/1",
            test_platform_clients.BATCH,
            Api_Key="key-a1",
            X_Attempt_Id="b/c",
        )
        self.assertEqual(given.status, 400)
        self.assertEqual(node.calls.asked, [])


class Precedence(unittest.TestCase):
    """The account's priority is compared before that of the route."""

    @tools.params(
        ("the account decides", (0, 9), (1, 0), True),
        ("then the route", (1, 0), (1, 1), True),
        ("the same", (1, 1), (1, 1), False),
    )
    def test_order(self, name, first, second, is_before):
        first, second = policy.Precedence(*first), policy.Precedence(*second)
        self.assertEqual(first < second, is_before, name)
        self.assertEqual(first.engine_rank() < second.engine_rank(), is_before, name)

    @tools.params((0, 0, 0), (0, 7, 2), (2, 1, 7), (9, 9, 9), (-4, 0, 0))
    def test_ranks_of_engines(self, account_priority, route_priority, rank):
        given = policy.Precedence(account_priority, route_priority)
        self.assertEqual(given.engine_rank(), rank)

    def test_of_an_account(self):
        routes = shared.View(DOCUMENT).routes
        route = routes.find("h.example", "/a/1")
        found = [routes.precedence_of(route, each) for each in ("acme", "beta", None)]
        priorities = [each.account_priority for each in found]
        self.assertEqual(priorities, [1, 0, 0])
        self.assertEqual({each.route_priority for each in found}, {2})


def attempt_of(account_):
    return upstream_protocol.Attempt("r1", "i-1", 1.0, account=account_)
