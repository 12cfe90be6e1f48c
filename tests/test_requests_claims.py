"""Claims in the replicated state, and idempotency keys."""

import random
import unittest

import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.requests import claims_state, keys
from bilberrydrum.state import machine

LIFETIME = 1000.0
NOW = 1_764_692_000.0
RESULT = claims_state.Result(201, (("X-A", "b"),), b"booked")


class Log:
    """Applies commands to a state, at times chosen by the test."""

    def __init__(self):
        self.state = machine.State()
        self.index = 0
        self.now = NOW

    def apply(self, command):
        self.index += 1
        context = machine.Context(self.index, self.now)
        return machine.apply(command, self.state, context)

    def claim(self, key="k", digest="d", claim_id="1", lifetime=LIFETIME, caller="c"):
        command = claims_state.ClaimKey(
            caller, key, digest, claim_id, "g1", 10.0, lifetime
        )
        return self.apply(command).outcome

    def finish(self, key="k", claim_id="1", result=RESULT):
        command = claims_state.FinishClaim("c", key, claim_id, result)
        return self.apply(command)

    def release(self, key="k", claim_id="1"):
        command = claims_state.ReleaseClaim("c", key, claim_id)
        return self.apply(command).outcome

    def find(self, key="k", lifetime=LIFETIME):
        query = claims_state.FindClaim("c", key, lifetime)
        return machine.answer(query, self.state, self.now)

    @property
    def section(self):
        return claims_state.section(self.state)


def uuid_7(seconds):
    millis = f"{int(seconds * 1000):012x}"
    return f"{millis[:8]}-{millis[8:]}-7abc-8def-0123456789ab"


class Keys(unittest.TestCase):
    @tools.params(
        (uuid_7(1_764_692_651.5), 1_764_692_651.5),
        (uuid_7(1_764_692_651.5).upper(), 1_764_692_651.5),
        ("1764692651-permit-17", 1_764_692_651.0),
        ("1764692651", None),
        ("176469265-permit", None),
        ("permit-1764692651-x", None),
        # A version 4 UUID contains no time.
        ("019ae0a0-1f3c-4abc-8def-0123456789ab", None),
        ("k", None),
    )
    def test_time_of_a_key(self, key, expected):
        self.assertEqual(keys.time_of(key), expected)

    @tools.params(
        ('"k"', "k"),
        (" k ", "k"),
        ('"', '"'),
        ("k", "k"),
    )
    def test_quotes_are_not_part_of_a_key(self, text, expected):
        self.assertEqual(keys.normalise(text), expected)

    @tools.params(("", False), ("k", True), ("k" * 256, False), ("a\nb", False))
    def test_valid_keys(self, key, expected):
        self.assertEqual(keys.is_valid(key), expected)


class OneClaim(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def test_first_claim_wins_and_may_be_repeated(self):
        self.assertEqual(self.log.claim(claim_id="1"), claims_state.CLAIM_GRANTED)
        self.assertEqual(self.log.claim(claim_id="1"), claims_state.CLAIM_GRANTED)
        self.assertEqual(self.log.claim(claim_id="2"), claims_state.CLAIM_EXISTS)
        self.assertEqual(
            self.log.claim(digest="other", claim_id="3"),
            claims_state.CLAIM_OTHER_REQUEST,
        )

    def test_repeated_claim_after_its_end_is_not_granted(self):
        """A delayed claim command must not be granted after the claim was finished.

        The command is delivered again after the outcome was recorded as unknown. If it
        were granted, the holder would send a request whose outcome callers already
        received as unknown.
        """
        self.log.claim()
        self.log.finish(result=None)
        self.assertEqual(self.log.claim(), claims_state.CLAIM_EXISTS)

    def test_only_the_holder_releases_or_finishes_its_claim(self):
        self.log.claim(claim_id="1")
        self.log.release(claim_id="2")
        self.log.finish(claim_id="2")
        self.assertEqual(self.log.find().claim.state, claims_state.STATE_HELD)

    def test_release_frees_the_key_and_may_be_repeated(self):
        self.log.claim(claim_id="1")
        for _ in range(2):
            self.assertEqual(self.log.release(), claims_state.CLAIM_GRANTED)
        self.assertEqual(self.log.claim(claim_id="2"), claims_state.CLAIM_GRANTED)
        # The first holder's release command is delivered once more, with a delay.
        self.log.release(claim_id="1")
        self.assertEqual(self.log.find().claim.claim_id, "2")

    def test_unknown_stays_when_the_holder_releases_its_claim(self):
        """A key must not be released after a caller received "unknown" for it.

        The holder then finds that it never sent the request and releases its claim. If
        the key became free, a retry could run the request after all.
        """
        self.log.claim()
        self.log.finish(result=None)
        self.assertEqual(self.log.release(), claims_state.CLAIM_EXISTS)
        self.assertEqual(self.log.claim(claim_id="2"), claims_state.CLAIM_EXISTS)

    def test_result_replaces_unknown_and_never_the_other_way(self):
        self.log.claim()
        self.log.finish(result=None)
        self.log.finish(result=RESULT)
        self.log.finish(result=None)
        self.assertEqual(self.log.find().claim.result, RESULT)

    def test_section_passes_through_the_codec(self):
        self.log.claim()
        self.log.finish()
        self.log.section.forgotten.add(b"\x00" * 16)
        section = codec.decode(codec.encode(self.log.section))
        self.assertEqual(section, self.log.section)


class OldKeys(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def forget_all(self):
        self.log.now += 10 * LIFETIME
        self.log.claim(key="other", claim_id="x")

    @tools.params(
        ("without a time", "permit-17"),
        ("with seconds", f"{int(NOW)}-permit-17"),
        ("UUID of version 7", uuid_7(NOW)),
        ("ahead of the state's time", f"{int(NOW) + 3000}-permit-17"),
    )
    def test_key_older_than_the_claim_lifetime_never_runs_again(self, name, key):
        """A booking must not run twice if its caller retries after the claim expired.

        The claim is removed after its lifetime, and then the caller retries. The key is
        refused, whatever claim lifetime is configured at the gateway that receives it.
        """
        self.assertEqual(self.log.claim(key=key), claims_state.CLAIM_GRANTED, name)
        self.log.finish(key=key)
        self.forget_all()
        self.assertEqual(list(self.log.section.claims_by_name), ["1:c:other"])
        for lifetime in (LIFETIME, 1e9):
            outcome = self.log.claim(key=key, claim_id="2", lifetime=lifetime)
            self.assertEqual(outcome, claims_state.CLAIM_EXPIRED, name)
            found = self.log.find(key=key, lifetime=lifetime)
            self.assertEqual(found.outcome, claims_state.CLAIM_EXPIRED)

    @tools.params(("into the running group", True), ("after the group was lost", False))
    def test_key_claimed_after_the_backup_does_not_run_again(self, name, has_current):
        """A restored backup must not let requests run that it does not know.

        A key was claimed after the backup was made, so the backup does not contain it.
        The claim is taken from the running group. If the group was lost, the key is
        refused because it was created before the restore.
        """
        key = f"{int(NOW)}-a"
        self.log.claim(key="before")
        back_up = codec.decode(codec.encode(self.log.section))
        self.log.claim(key=key)
        machine.keep_rising(back_up, self.log.section if has_current else None)
        self.log.state.sections[claims_state.SECTION] = back_up
        self.log.now += 10.0
        expected = claims_state.CLAIM_EXPIRED
        if has_current:
            expected = claims_state.CLAIM_EXISTS
        self.assertEqual(self.log.claim(key=key, claim_id="2"), expected, name)
        self.log.now += 10.0
        key = f"{int(self.log.now)}-new"
        self.assertEqual(self.log.claim(key=key), claims_state.CLAIM_GRANTED)

    def test_new_key_runs_after_others_were_forgotten(self):
        self.log.claim(key=f"{int(NOW)}-a")
        self.forget_all()
        key = f"{int(self.log.now)}-b"
        self.assertEqual(self.log.claim(key=key), claims_state.CLAIM_GRANTED)

    def test_key_far_ahead_of_the_states_time_is_refused(self):
        key = f"{int(NOW) + 100_000}-a"
        self.assertEqual(self.log.claim(key=key), claims_state.CLAIM_TOO_NEW)

    def test_claims_within_their_lifetime_are_kept(self):
        self.log.claim(key="a")
        self.log.now += LIFETIME - 1
        self.log.claim(key="b", claim_id="2")
        self.assertEqual(len(self.log.section.claims_by_name), 2)

    def test_digests_are_bounded_and_then_keys_without_a_time_are_refused(self):
        """The memory for keys without a time is bounded, and no key may run twice.

        Removing a digest would let its key run again. So once the bound is reached, new
        keys without a time are refused; keys that contain a time are still accepted.
        """
        section = self.log.section
        section.forgotten.update(
            i.to_bytes(16, "big") for i in range(claims_state.MAX_FORGOTTEN)
        )
        self.assertEqual(self.log.claim(key="a"), claims_state.CLAIM_NO_ROOM)
        key = f"{int(NOW)}-a"
        self.assertEqual(self.log.claim(key=key), claims_state.CLAIM_GRANTED)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_any_order_of_commands_grants_a_key_once(self, seed):
        """A key must not be granted twice, in whatever order commands are applied.

        Claims are made, finished, released and expire in random order, and commands
        are repeated and delayed. Each grant is a right to send the request. A key is
        granted to another holder only after the first one released it.
        """
        rng = random.Random(seed)
        log = Log()
        names = ["a", f"{int(NOW)}-b", uuid_7(NOW + 5)]
        sent: dict[str, str] = {}
        for number in range(60):
            key = rng.choice(names)
            claim_id = str(rng.randrange(max(1, number)))
            step = rng.randrange(5)
            if step == 0:
                log.now += rng.choice([1.0, 100.0, 5 * LIFETIME])
            elif step == 1:
                log.finish(key, claim_id, rng.choice([RESULT, None]))
            elif step == 2 and sent.get(key) == claim_id:
                # Only a holder that has not sent the request releases its claim.
                if log.release(key, claim_id) == claims_state.CLAIM_GRANTED:
                    del sent[key]
            else:
                lifetime = rng.choice([10.0, LIFETIME])
                outcome = log.claim(key, claim_id=claim_id, lifetime=lifetime)
                if outcome == claims_state.CLAIM_GRANTED:
                    self.assertEqual(sent.get(key, claim_id), claim_id)
                    sent[key] = claim_id
