"""This release must read the data that the last release wrote.

If a field of a stored class or a value of an enum is renamed, the default is read in
place of the stored value, without an error: state is lost, and replicas of two releases
differ. tests/stored/README.md describes how the files were made.
"""

import json
import pathlib
import shutil
import tempfile
import unittest

from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.state import applier, files, snapshot, storage
from tests import stored_values

STORED = pathlib.Path(__file__).resolve().parent / "stored"
VALUES = json.loads((STORED / "values.json").read_text())
STATES = json.loads((STORED / "states.json").read_text())


class TestValues(unittest.TestCase):
    """One or more values of each class that the codec writes."""

    @classmethod
    def setUpClass(cls):
        stored_values.import_all()

    @tools.params(*VALUES)
    def test_is_read_and_written_alike(self, name):
        for encoded in VALUES[name]:
            data = bytes.fromhex(encoded)
            self.assertEqual(codec.encode(codec.decode(data)), data)

    def test_no_class_of_this_release_is_left_out(self):
        self.assertEqual(sorted(VALUES), sorted(stored_values.classes_by_name()))


class TestFolders(unittest.TestCase):
    """Logs of a control process, a store and a daemon, applied from the first entry."""

    @tools.params(*STATES)
    def test_log_gives_the_same_state(self, name):
        stored_values.import_all()
        with tempfile.TemporaryDirectory() as parent:
            folder = pathlib.Path(parent) / name
            shutil.copytree(STORED / name, folder)
            recovered, _ = storage.Storage(files.DiskFiles(), str(folder)).open()
        applied = applier.Applier()
        for entry in recovered.entries:
            applied.apply(entry)
        data = snapshot.encode(applied.header(), applied.state)
        expected = STATES[name]
        self.assertEqual(applied.index, expected["index"])
        self.assertEqual(snapshot.section_names(data), expected["sections"])
        self.assertEqual(snapshot.digest(data), expected["digest"])

    @tools.params(*STATES)
    def test_snapshot_is_read_and_written_alike(self, name):
        stored_values.import_all()
        data = (STORED / f"{name}.snapshot").read_bytes()
        written = snapshot.encode(snapshot.read(data), snapshot.decode(data))
        self.assertEqual(written, data)
