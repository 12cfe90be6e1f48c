"""Messages to the control group's leader, and its answers.

All of them are idempotent, as `state.leader_calls` requires.
"""

import attrs

from bilberrydrum import codec, quarantine
from bilberrydrum.fleet import model, upstream_health
from bilberrydrum.fleet import policy as fleet_policy
from bilberrydrum.usage import model as usage_model


@codec.register("fleet.announce")
@attrs.frozen
class Announce:
    """An upstream's announcement, as a control process received it."""

    upstream: model.FleetUpstream


@codec.register("fleet.depart")
@attrs.frozen
class Depart:
    """An upstream's notice that it accepts no more work and stops."""

    announced_id: str
    # Start of the incarnation that stops; None if the notice does not state it.
    started_at_ms: int | None = None


@codec.register("fleet.not-taken")
@attrs.frozen
class AnnouncementRejected:
    """An announcement was rejected and changed nothing; a later one may be accepted."""

    # The reason, for the log and for the sender.
    why: str


@codec.register("fleet.submit-policy")
@attrs.frozen
class SubmitPolicy:
    """Put a policy into force; the sender has validated it."""

    policy: fleet_policy.Policy
    document: bytes


@codec.register("fleet.read-policy")
@attrs.frozen
class ReadPolicy:
    """Request the policy in force, as it was submitted."""


@codec.register("fleet.policy-document")
@attrs.frozen
class PolicyDocument:
    """The policy in force; version 0 if there is none yet."""

    version: int
    document: bytes


@codec.register("fleet.publish-version")
@attrs.frozen
class PublishVersion:
    """A trainer announces a version of its model's weights."""

    model: str
    version: int


@codec.register("fleet.begin-retirement")
@attrs.frozen
class BeginRetirement:
    """Start to move a store's replica elsewhere, so that its host can be removed."""

    name: str


@codec.register("fleet.read-retirement")
@attrs.frozen
class ReadRetirement:
    """Request the progress of a store's retirement."""

    name: str


@codec.register("fleet.retirement")
@attrs.frozen
class Retirement:
    """The progress of a store's retirement."""

    is_known: bool = True
    # True if too few stores would be left.
    is_refused: bool = False
    is_done: bool = False


@codec.register("fleet.done")
@attrs.frozen
class Done:
    """The request is committed, or was already in effect."""


@codec.register("fleet.crash-report")
@attrs.frozen
class CrashReport:
    """An upstream crashed while it ran a request."""

    crash: quarantine.Crash
    # Time since the crash, in seconds.
    age_seconds: float


@codec.register("fleet.report-crashes")
@attrs.frozen
class ReportCrashes:
    """Crashes and cleared requests that a process that sends requests has observed."""

    reports: tuple[CrashReport, ...] = ()
    # Fingerprints of requests that were answered, which clears them of earlier crashes.
    cleared: tuple[str, ...] = ()


@codec.register("fleet.crashes-taken")
@attrs.frozen
class CrashesRecorded:
    """The report is committed.

    The record of crashes includes it from this index on.
    """

    crashes_index: int


@codec.register("fleet.ask-trial", added_fields=("upstream_ids",))
@attrs.frozen
class AskTrial:
    """Request permission to send a suspected request to one upstream."""

    fingerprint: str
    # Where it can be sent, the best upstream first; empty: not known.
    upstream_ids: tuple[str, ...] = ()


@codec.register("fleet.trial", added_fields=("upstream_id",))
@attrs.frozen
class Trial:
    """Whether the suspected request may be sent; another trial may be under way."""

    is_granted: bool
    # Where it is to be sent; empty: the sender chooses.
    upstream_id: str = ""


@codec.register("fleet.list-crashes")
@attrs.frozen
class ListCrashes:
    """Request the crashes that are recorded for all requests."""


@codec.register("fleet.lift-quarantine")
@attrs.frozen
class LiftQuarantine:
    """End a request's quarantine by order of an operator."""

    fingerprint: str


@codec.register("fleet.subscribe", added_fields=("observations", "observations_index"))
@attrs.frozen
class Subscribe:
    """A process subscribes to changes, or renews its subscription.

    It has to renew before the subscription expires.
    """

    # Indexes of the states that the process has.
    policy_index: int = 0
    registry_index: int = 0
    # Set by stores: the host's name and the address for the stores' group.
    store_name: str = ""
    store_address: str = ""
    # Whether the store was started with the complete deployment, with an empty disk, so
    # that it may be an initial member of the stores' group.
    may_found: bool = False
    # Set by the leader of the stores' group: its term and the voters' addresses.
    store_term: int = 0
    store_voter_addresses: tuple[str, ...] = ()
    # The store's availability zone.
    store_zone: str = ""
    # Index of the record of crashes that the process has.
    crashes_index: int = 0
    # Unix time of the process's own clock, in seconds; 0 if it is not sent.
    unix_time: float = 0.0
    # Set by gateways where usage is reported.
    usage: usage_model.CountsSnapshot | None = None
    # Set by gateways: what they have observed of upstreams since their last renewal,
    # the newest first.
    observations: tuple[upstream_health.Observation, ...] = ()
    # Index of the last observation of others that the gateway has; 0: none.
    observations_index: int = 0


@codec.register("fleet.feed", added_fields=("observations", "observations_index"))
@attrs.frozen
class Feed:
    """Changes, sent as the answer to `Subscribe` or pushed."""

    policy_index: int
    # Codec bytes of the policy; empty if the receiver has it.
    policy: bytes
    registry_index: int
    # Codec bytes of the complete registry; empty if the receiver has it, or gets
    # `registry_change`.
    registry: bytes
    # Addresses of the control group's members.
    control_addresses: tuple[str, ...] = ()
    # Codec bytes of the difference from the registry that the receiver has; empty if
    # there is none, or if the complete registry is sent.
    registry_change: bytes = b""
    # Index of the record of requests that crash upstreams.
    crashes_index: int = 0
    # Codec bytes of that record; empty if the receiver has it.
    crashes: bytes = b""
    # Only in answers, and only where usage is reported: Unix time of the leader, in
    # seconds, and the oldest window that is not closed.
    unix_time: float = 0.0
    usage_closed_before: int = 0
    # Only in answers to gateways: failures of upstreams that count for all, and answers
    # that end them, the oldest first.
    observations: tuple[upstream_health.Observation, ...] = ()
    # Index of the last one; 0 if there is none.
    observations_index: int = 0
