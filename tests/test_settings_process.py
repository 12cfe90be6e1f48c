"""With faulty settings, the daemon prints all errors and opens no file or socket."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from nose2 import tools

from bilberrydrum import main

SETTINGS = "process_id: a\nstate: {data_folder: FOLDER/data}\n"


class TestCheck(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_daemon(self, text, *words):
        file = self.folder / "settings.yaml"
        file.write_text(text.replace("FOLDER", str(self.folder)))
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            code = main.main(["--settings", str(file), *words])
        return code, err.getvalue()

    @tools.params(
        ("a fault", SETTINGS + "rolls: []\n", ["settings.yaml:3:1: error: unknown"]),
        (
            "two token files and both key files that do not exist",
            SETTINGS + "gateway: {operator_token_file: FOLDER/o,"
            " upstream_token_file: FOLDER/u}\n"
            "curve: {key_file: FOLDER/k, peers_file: FOLDER/p}\n",
            [f"/{name}: error: cannot be read" for name in "kopu"],
        ),
    )
    def test_faulty_settings_stop_the_daemon_before_it_opens_anything(
        self, name, text, lines
    ):
        for words in ((), ("--check",)):
            code, err = self.run_daemon(text, *words)
            self.assertEqual(code, 2, err)
            found = err.splitlines()
            self.assertEqual(len(found), len(lines), err)
            for line, part in zip(found, lines, strict=True):
                self.assertIn(part, line)
            self.assertFalse((self.folder / "data").exists())

    def test_check_of_good_settings_opens_nothing(self):
        self.assertEqual(self.run_daemon(SETTINGS, "--check"), (0, ""))
        self.assertFalse((self.folder / "data").exists())
