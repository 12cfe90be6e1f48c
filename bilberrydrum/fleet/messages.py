"""Messages to the control group's leader, and its answers.

All of them are safe to repeat, as `state.leader_calls` asks.
"""

import attrs

from bilberrydrum import codec, quarantine
from bilberrydrum.fleet import model
from bilberrydrum.fleet import policy as fleet_policy
from bilberrydrum.usage import model as usage_model


@codec.register("fleet.announce")
@attrs.frozen
class Announce:
    """An upstream's announcement, as a control process heard it."""

    upstream: model.FleetUpstream


@codec.register("fleet.depart")
@attrs.frozen
class Depart:
    """An upstream says that it takes no more work and ends."""

    announced_id: str
    # Start of the incarnation that ends; None: not told.
    started_at_ms: int | None = None


@codec.register("fleet.not-taken")
@attrs.frozen
class NotTaken:
    """An announcement was not believed and changed nothing; it may come again."""

    # Why, for the log and for whoever sent it.
    why: str


@codec.register("fleet.submit-policy")
@attrs.frozen
class SubmitPolicy:
    """Put a policy into force; checked before it is sent here."""

    policy: fleet_policy.Policy
    document: bytes


@codec.register("fleet.read-policy")
@attrs.frozen
class ReadPolicy:
    """Ask for the policy in force, as it was submitted."""


@codec.register("fleet.policy-document")
@attrs.frozen
class PolicyDocument:
    """The policy in force; version 0: there is none yet."""

    version: int
    document: bytes


@codec.register("fleet.publish-version")
@attrs.frozen
class PublishVersion:
    """A trainer names a version of its model's weights."""

    model: str
    version: int


@codec.register("fleet.begin-retirement")
@attrs.frozen
class BeginRetirement:
    """Have a store emptied, so that its host can be taken away."""

    name: str


@codec.register("fleet.read-retirement")
@attrs.frozen
class ReadRetirement:
    """Ask how far the emptying of a store is."""

    name: str


@codec.register("fleet.retirement")
@attrs.frozen
class Retirement:
    """How far the emptying of a store is."""

    is_known: bool = True
    # Too few stores would be left.
    is_refused: bool = False
    is_done: bool = False


@codec.register("fleet.done")
@attrs.frozen
class Done:
    """What was asked is committed, or held already."""


@codec.register("fleet.crash-report")
@attrs.frozen
class CrashReport:
    """An upstream has ended while it ran a request."""

    crash: quarantine.Crash
    # How long ago, in seconds.
    age_seconds: float


@codec.register("fleet.report-crashes")
@attrs.frozen
class ReportCrashes:
    """What a sender of requests has seen of those that may end upstreams."""

    reports: tuple[CrashReport, ...] = ()
    # Fingerprints of requests that were answered, whatever is held against them.
    cleared: tuple[str, ...] = ()


@codec.register("fleet.crashes-taken")
@attrs.frozen
class CrashesTaken:
    """The report is committed; processes with this index know of it."""

    crashes_index: int


@codec.register("fleet.ask-trial")
@attrs.frozen
class AskTrial:
    """Ask to send a doubtful request to one upstream."""

    fingerprint: str


@codec.register("fleet.trial")
@attrs.frozen
class Trial:
    """Whether the doubtful request may be sent; another may be under way."""

    is_granted: bool


@codec.register("fleet.list-crashes")
@attrs.frozen
class ListCrashes:
    """Ask for all that is held against requests."""


@codec.register("fleet.lift-quarantine")
@attrs.frozen
class LiftQuarantine:
    """An operator has a request served again."""

    fingerprint: str


@codec.register("fleet.subscribe")
@attrs.frozen
class Subscribe:
    """A process asks to be told of changes, and again before its time is up."""

    # Indexes of what it has.
    policy_index: int = 0
    registry_index: int = 0
    # Set by stores: the host's name and the address for the stores' group.
    store_name: str = ""
    store_address: str = ""
    # The store has an empty disk and was started with the whole deployment.
    may_found: bool = False
    # Set by the stores' leader: its term and the voters' addresses.
    store_term: int = 0
    store_voter_addresses: tuple[str, ...] = ()
    # The store's availability zone.
    store_zone: str = ""
    # Index of what it has of the requests that end upstreams.
    crashes_index: int = 0
    # The process's own time of day, in seconds; 0: not told.
    unix_time: float = 0.0
    # Set by gateways where use is reported.
    usage: usage_model.CountsSnapshot | None = None


@codec.register("fleet.feed")
@attrs.frozen
class Feed:
    """What has changed, as the answer to `Subscribe` or by itself."""

    policy_index: int
    # Codec bytes of the policy; empty: the receiver has it.
    policy: bytes
    registry_index: int
    # Codec bytes of the registry; empty: the receiver has it.
    registry: bytes
    # Addresses of the control group's members.
    control_addresses: tuple[str, ...] = ()
    # Codec bytes of the change from the registry that the receiver has, in place of
    # the whole registry; empty: none.
    registry_change: bytes = b""
    # What is held against requests that end upstreams, and its codec bytes; empty: the
    # receiver has it.
    crashes_index: int = 0
    crashes: bytes = b""
    # Only in answers, where use is reported: the leader's time of day, in seconds, and
    # the oldest window that is not closed.
    unix_time: float = 0.0
    usage_closed_before: int = 0
