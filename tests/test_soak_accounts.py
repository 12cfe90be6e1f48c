"""Findings of a soak about account keys and usage reports."""

import pathlib
import sys
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import standin_accounts

from misc.soaks import soak_accounts


class Accounts(unittest.TestCase):
    """Uses of revoked keys, wrong accounts and contradictory reports are found."""

    def setUp(self):
        self.found = []
        self.accounts = soak_accounts.Accounts(self.found.append)
        self.accounts.record_accounts(soak_accounts.accounts_of(3), 0.0)
        self.accounts.record_accounts(soak_accounts.accounts_of(9), 100.0)

    def record_run(self, account="desk", has_key=False):
        claim = standin_accounts.CallerIdentity(account, has_key)
        self.accounts.record_run("r", claim)

    @tools.params(
        ("a valid key", "key-9", 200.0, "desk", False, 0),
        ("a revoked key within the bound", "key-3", 104.9, "desk", False, 0),
        ("a revoked key", "key-3", 105.1, "desk", False, 1),
        ("another account's name", "key-9", 200.0, "trainer", False, 1),
        ("no account name", "key-9", 200.0, "", False, 1),
        ("the key in the headers", "key-9", 200.0, "desk", True, 1),
    )
    def test_requests(self, name, key, sent_at, account, has_key, n_found):
        self.accounts.record_sent("r", key, sent_at)
        self.record_run(account, has_key)
        self.assertEqual(len(self.found), n_found, (name, self.found))

    def test_items_belong_to_the_trainer(self):
        self.record_run("trainer")
        self.assertEqual(self.found, [])
        self.record_run("desk")
        self.assertEqual(len(self.found), 1)

    @tools.params(
        (soak_accounts.DESK_KEY, 401, 1),
        (soak_accounts.DESK_KEY, 503, 0),
        ("key-3", 401, 0),
    )
    def test_refusals(self, key, status, n_found):
        self.accounts.record_sent("r", key, 200.0)
        self.accounts.record_answer("r", status)
        self.assertEqual(len(self.found), n_found)

    @tools.params(
        ("a repeated report from another holder", (7, {"a": 1}, "c2", 5), 0),
        ("different counts", (7, {"a": 2}, "c2", 5), 1),
        ("one number from two holders", (8, {"a": 1}, "c2", 4), 1),
    )
    def test_reports(self, name, second, n_found):
        self.accounts.record_report(standin_accounts.Report(7, {"a": 1}, "c1", 4))
        self.accounts.record_report(standin_accounts.Report(*second))
        self.assertEqual(len(self.found), n_found, (name, self.found))
