"""A discrete-event simulation of trainers, engines, a scoring service and look-ups.

It runs the decision modules of `batches` and `relay` in virtual time, so that design
choices can be compared on hundreds of seeds within seconds. It has no network and no
disks, and its only fault is an outage of some or all engines.
"""
