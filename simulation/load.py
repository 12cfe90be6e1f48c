"""The parameters and results of a simulation; all times are in seconds."""

import collections

import attrs

from bilberrydrum.batches import scoring


@attrs.frozen
class Trainer:
    """The size of one trainer's steps."""

    n_groups: int
    group_size: int
    # Mean number of events of an item, and the standard deviation of its logarithm.
    n_events: float = 20.0
    spread: float = 0.84
    # Share of items that are longer than the others, and the factor by which they are.
    # No item has more than `max_events_factor` times the mean number of events.
    long_share: float = 0.08
    long_factor: float = 5.0
    max_events_factor: float = 7.2


@attrs.frozen
class Load:
    """The trainers, engines, scoring service and gateways of a simulation."""

    trainers: tuple[Trainer, ...]
    # Time from one step of a trainer to its next.
    step_seconds: float = 4.0
    # Time after which a group of a step counts as late.
    due_seconds: float = 7.5
    # Share of a step's groups that its trainer waits for.
    wanted_share: float = 0.9
    # Time for which a trainer trains on a step. It requests a step when it has trained
    # on the last but one. If None, steps are requested at fixed times, whether the
    # earlier ones have finished or not.
    training_seconds: float | None = None
    # Time after which a trainer ends an incomplete step.
    step_timeout_seconds: float = 12.0
    # Start and length of an outage, in which the engines of one of the zones do not
    # generate.
    outage_at: float = 0.0
    outage_seconds: float = 0.0
    n_zones: int = 1
    n_engines: int = 6
    # Whether engines serve only the models that they are assigned to, as each step
    # requires a newer version. Otherwise they also serve others.
    needs_new_weights: bool = False
    # Number of items that an engine runs at a time.
    engine_capacity: int = 12
    # Time of one event at an engine that runs one item, and the time that each further
    # item adds.
    event_seconds: float = 0.035
    extra_item_seconds: float = 0.00075
    # Number of engines that are slower than the others, and by which factor.
    n_slow_engines: int = 0
    slow_factor: float = 1.0
    # Time for which an engine that was moved to another model starts no items of it.
    load_seconds: float = 0.9
    # Upstreams and slots of the scoring service, which also serves look-ups.
    n_upstreams: int = 3
    n_slots: int = 6
    scoring_seconds: float = 0.096
    # Standard deviation of the logarithm of a request's duration.
    service_spread: float = 0.5
    # Gateways that send look-ups, each without knowledge of the others' load.
    n_gateways: int = 9
    look_ups_per_second: float = 3.0
    look_up_seconds: float = 0.03
    # Standard deviation of the logarithm of an estimate's error; estimates are of an
    # item's number of events.
    estimate_spread: float = 0.5


@attrs.frozen
class Policy:
    """The mechanisms to compare.

    A mechanism is switched off by withholding its input.
    """

    # Slots of each upstream that scoring requests leave free.
    n_reserved_slots: int = scoring.RESERVED_SLOTS
    # Surplus groups, which the trainer does not wait for, go last.
    has_spare_groups: bool = True
    # Groups that can no longer be complete in time go after those that can.
    has_tiers: bool = True
    # Late groups of a step go before those of the trainer's next step.
    has_old_steps_first: bool = True
    # Long items start first; otherwise items start in the order in which their batches
    # were submitted.
    has_start_by: bool = True
    # The group that lacks the fewest scores is scored first; otherwise the oldest text.
    has_scoring_order: bool = True
    # Each engine is assigned to one model, and serves others only if no other engine
    # can; otherwise all engines are assigned to all models.
    has_shares: bool = True
    # Engines move between models by the work and lag of their trainers; otherwise each
    # model always has the same engines.
    has_division: bool = True


@attrs.define
class Figures:
    """The results of a simulation."""

    # Times from a look-up's arrival to its answer.
    look_up_seconds: list[float] = attrs.field(factory=list)
    # Times from a text's last event to its score.
    scoring_seconds: list[float] = attrs.field(factory=list)
    # Times from a step's arrival until enough of its groups were complete.
    step_seconds: list[float] = attrs.field(factory=list)
    n_late_groups: int = 0
    # Total value of the groups that trainers waited for and received: 1 for each group
    # in time, and `rollouts.LATE_SHARE` for each late one.
    earned: float = 0.0
    n_steps_begun: int = 0
    # By trainer: how much later than its time each step was submitted, and the number
    # of steps of which enough groups were complete.
    lateness_seconds: dict[int, list[float]] = attrs.field(factory=dict)
    n_steps_done: collections.Counter[int] = attrs.field(factory=collections.Counter)
    # Number of times that an engine was moved to another model.
    n_moved_engines: int = 0
