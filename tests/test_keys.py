"""Tests of key files, peers files and token files."""

import os
import pathlib
import tempfile
import unittest

from nose2 import tools

from bilberrydrum import curve, keys, options, tokens

OWN_ADDRESS = "10.0.0.1:9080"
GOOD = keys.KeyPair("a" * 40, "b" * 40)


class TestKeys(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key_file = self.folder / "keys.yaml"
        self.peers_file = self.folder / "peers.yaml"

    def load(self):
        curve_options = options.CurveOptions(str(self.key_file), str(self.peers_file))
        return curve.load(
            options.Options("a", peer_address=OWN_ADDRESS, curve=curve_options)
        )

    def test_written_keys_are_read_back_and_only_their_owner_may_read_them(self):
        for _ in range(50):
            # Z85 text may contain most punctuation characters, which a wrong quoting in
            # the file would change.
            pair = keys.generate()
            self.assertTrue(keys.write(str(self.key_file), pair).is_ok())
            self.assertEqual(keys.read_pair(str(self.key_file)).ok_value, pair)
            self.assertEqual(self.key_file.stat().st_mode & 0o777, 0o600)
            self.key_file.unlink()

    def test_an_existing_file_is_not_replaced(self):
        self.key_file.write_text("precious")
        finding = keys.write(str(self.key_file), GOOD).err_value
        self.assertIn("File exists", finding.message)
        self.assertEqual(self.key_file.read_text(), "precious")

    def test_the_secret_is_not_printed(self):
        self.assertNotIn(GOOD.secret, repr(GOOD))

    @tools.params(
        ("short", f"public: abc\nsecret: {'b' * 40}\n", "1:9", "public must be 40"),
        ("not Z85", f"public: {'a' * 40}\nsecret: {'~' * 40}\n", "2:9", "of Z85"),
        ("too large", f"public: {'a' * 40}\nsecret: '{'#' * 40}'\n", "2:9", "of Z85"),
        ("no secret", f"public: {'a' * 40}\n", "1:1", "'secret' is missing"),
    )
    def test_faulty_key_file(self, name, text, place, message):
        self.key_file.write_text(text)
        self.key_file.chmod(0o600)
        (finding,) = keys.read_pair(str(self.key_file)).err_value
        self.assertEqual(f"{finding.line}:{finding.column}", place)
        self.assertIn(message, finding.message)

    @tools.params(0o640, 0o604, 0o666)
    def test_key_file_that_others_may_read(self, mode):
        keys.write(str(self.key_file), GOOD)
        os.chmod(self.key_file, mode)
        (finding,) = keys.read_pair(str(self.key_file)).err_value
        self.assertIn("chmod 600", finding.message)

    def test_peers_and_the_process_itself_are_loaded(self):
        keys.write(str(self.key_file), GOOD)
        self.peers_file.write_text(f"peers:\n  '10.0.0.2:9080': {'c' * 40}\n")
        loaded = self.load().ok_value
        self.assertEqual(loaded.secret, GOOD.secret.encode())
        self.assertEqual(
            loaded.peers_by_address,
            {OWN_ADDRESS: b"a" * 40, "10.0.0.2:9080": b"c" * 40},
        )

    def test_faults_of_both_files_are_reported_together(self):
        self.key_file.write_text("public: x\nsecret: y\n")
        self.peers_file.write_text(
            f"peers:\n  '10.0.0.2:9080': x\n  '10.0.0.3:9080': {'c' * 40}\n"
            f"  '10.0.0.4:9080': {'c' * 40}\n  h:1: {'d' * 40}\n"
        )
        found = [f"{f.file[-10:]}:{f.line}" for f in self.load().err_value]
        self.assertEqual(
            found,
            [
                "/keys.yaml:1",
                "/keys.yaml:1",
                "/keys.yaml:2",
                "peers.yaml:2",
                "peers.yaml:4",
                "peers.yaml:5",
            ],
        )

    def test_peers_file_with_another_key_for_this_process(self):
        keys.write(str(self.key_file), GOOD)
        self.peers_file.write_text(f"peers:\n  {OWN_ADDRESS}: {'c' * 40}\n")
        (finding,) = self.load().err_value
        self.assertIn("is not the public key", finding.message)

    def test_without_files_there_are_no_keys(self):
        self.assertIsNone(curve.load(options.Options("a")).ok_value)


class TestTokens(unittest.TestCase):
    @tools.params(
        ("empty", b" \n", "the token is empty"),
        ("two lines", b"a\nb\n", "one line"),
        ("not ASCII", "schlüssel\n".encode(), "one line"),
        ("not UTF-8", b"\xff", "is not UTF-8"),
    )
    def test_faulty_token(self, name, data, message):
        with tempfile.NamedTemporaryFile() as file:
            file.write(data)
            file.flush()
            (finding,) = tokens.read(file.name).err_value
        self.assertIn(message, finding.message)

    def test_surrounding_white_space_is_not_part_of_the_token(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"s3cret\n")
            file.flush()
            self.assertEqual(tokens.read(file.name).ok_value, "s3cret")
