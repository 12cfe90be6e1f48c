"""The load that a simulation is given; times in seconds."""

import attrs

from bilberrydrum.batches import scoring


@attrs.frozen
class Trainer:
    """One trainer's steps."""

    n_groups: int
    group_size: int
    # Mean number of events of an item, and the spread of its logarithm.
    n_events: float = 20.0
    spread: float = 0.84
    # Some items are so many times as long as the others, up to a multiple of the mean.
    long_share: float = 0.08
    long_factor: float = 5.0
    most_events: float = 7.2


@attrs.frozen
class Load:
    """Everything that asks, and everything that answers."""

    trainers: tuple[Trainer, ...]
    step_seconds: float = 4.0
    due_seconds: float = 7.5
    # Share of a step's groups that its trainer waits for.
    wanted_share: float = 0.9
    # A trainer asks for a step once the last but one is over and it has trained on it
    # for so long; None: steps come at their times, whatever has become of the others.
    training_seconds: float | None = None
    # A step is over after this long at the latest.
    give_up_seconds: float = 12.0
    # Nothing is generated for so long from a moment on: the processes are down.
    outage_at: float = 0.0
    outage_seconds: float = 0.0
    n_engines: int = 6
    n_places: int = 12
    # Time of one event at an engine that runs one item, and what each further adds.
    event_seconds: float = 0.035
    crowding_seconds: float = 0.00075
    # The scoring service, which also serves look-ups.
    n_upstreams: int = 3
    n_slots: int = 6
    scoring_seconds: float = 0.096
    service_spread: float = 0.5
    n_gateways: int = 9
    look_ups_per_second: float = 3.0
    look_up_seconds: float = 0.03
    # Estimates of an item's events are off by this spread of their logarithm.
    estimate_spread: float = 0.5


@attrs.frozen
class Policy:
    """What is compared: a mechanism that is off is not told what it needs."""

    # Places of each upstream that scoring requests leave free.
    n_reserved_slots: int = scoring.RESERVED_SLOTS
    # Groups that the trainer does not wait for go last.
    has_spare_groups: bool = True
    # Groups that cannot be in time go behind those that can.
    has_tiers: bool = True
    # Late groups of a step go before the trainer's next step.
    has_old_steps_first: bool = True
    # Long items start first; else in the order in which their batches came.
    has_start_by: bool = True
    # The group that lacks the fewest scores goes first; else the oldest text.
    has_scoring_order: bool = True
    # Each model has engines of its own.
    has_shares: bool = True


@attrs.define
class Figures:
    """What a simulation has shown; times in seconds."""

    # From a look-up's arrival to its answer.
    look_up_seconds: list[float] = attrs.field(factory=list)
    # From a text's last event to its score.
    scoring_seconds: list[float] = attrs.field(factory=list)
    # From a step's arrival to when enough of its groups were whole.
    step_seconds: list[float] = attrs.field(factory=list)
    n_late_groups: int = 0
    # What trainers got of the groups that they wait for, each of which counts 1 in time
    # and less when it is late.
    earned: float = 0.0
    n_steps_begun: int = 0
