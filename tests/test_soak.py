"""A short run of the soak. What it draws and finds has modules of its own."""

from tests import soak_support


class Run(soak_support.RunCase):
    """Short runs of the real processes."""

    def test_one_seed(self):
        self.run_seed(3, 6.0)
