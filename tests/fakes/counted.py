"""Collections that count how often they are iterated over."""


class CountedTuple(tuple):
    """A tuple that counts the iterations over all instances."""

    n_passes = 0

    def __iter__(self):
        CountedTuple.n_passes += 1
        return super().__iter__()
