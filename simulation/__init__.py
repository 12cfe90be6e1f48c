"""A discrete-event model of trainers, engines, a scoring service and look-ups.

It drives the decision modules of `batches` and `relay` themselves, in virtual time, so
that a choice can be compared on hundreds of seeds in seconds. It has no network, no
disks and no faults.
"""
