"""A short run of the soak; its parts are tested in the `test_soak_*` modules."""

from tests import soak_support


class Run(soak_support.RunCase):
    """A short run of the real processes has no findings."""

    def test_one_seed(self):
        self.run_seed(3, 6.0)
