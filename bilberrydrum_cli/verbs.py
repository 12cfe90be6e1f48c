"""The commands of an operator: one class for each noun and verb.

The fields of a class are the arguments on the command line; `arguments` builds the
parser from them. `run` dispatches on the class (`functools.singledispatch`).
"""

import argparse
import functools
import string
from collections.abc import Callable
from typing import Any, Final

import attrs

from bilberrydrum_cli import messages, session

DEFAULT_WAIT_SECONDS: Final = 120.0
_MAX_VERSION_DIGITS: Final = 16
_DIGEST_CHARACTERS: Final = frozenset(string.hexdigits)


@functools.singledispatch
def run(verb: object, current: session.Session) -> int:
    """Run `verb` and return the exit code."""
    raise TypeError(f"no run function for {type(verb).__name__}")


def seconds(text: str) -> float:
    """Parse a time above 0, in seconds."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(messages.BAD_SECONDS.format(text=text))
    return value


def version(text: str) -> int:
    """Parse the version of a bundle."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_VERSION_DIGITS
    if not is_number or int(text) == 0:
        raise argparse.ArgumentTypeError(messages.BAD_VERSION.format(text=text))
    return int(text)


def digest(text: str) -> str:
    """Parse a content digest in hexadecimal digits."""
    if not text or not set(text) <= _DIGEST_CHARACTERS:
        raise argparse.ArgumentTypeError(messages.BAD_DIGEST.format(text=text))
    return text.lower()


def _argument(
    help_text: str,
    *flags: str,
    convert: Callable[[str], Any] = str,
    default: Any = attrs.NOTHING,
) -> Any:
    """Return a field for an argument, or for an option if `flags` are given."""
    metadata = {"help": help_text, "flags": flags, "convert": convert}
    return attrs.field(default=default, metadata=metadata)


def _version(help_text: str = "version of the bundle") -> Any:
    return _argument(help_text, convert=version)


def _digest() -> Any:
    return _argument("digest of the bundle's content", "--digest", convert=digest)


@attrs.frozen
class CheckBundle:
    """Run all checks on a bundle without submitting it."""

    file: str = _argument("bundle in YAML")


@attrs.frozen
class SubmitBundle:
    """Submit a bundle as a draft."""

    file: str = _argument("bundle in YAML")


@attrs.frozen
class SignOffBundle:
    """Sign off a submitted bundle."""

    version: int = _version()
    digest: str = _digest()


@attrs.frozen
class RollBundle:
    """Put a signed-off bundle in force everywhere."""

    version: int = _version()
    digest: str = _digest()
    wait: bool = _argument(
        "wait until it is in force", "--wait", convert=bool, default=False
    )
    wait_seconds: float = _argument(
        f"maximum time to wait in seconds (default: {DEFAULT_WAIT_SECONDS:g})",
        "--wait-seconds",
        convert=seconds,
        default=DEFAULT_WAIT_SECONDS,
    )


@attrs.frozen
class BundleStatus:
    """Show the state of a bundle and how many gateways have confirmed it."""

    version: int = _version()


@attrs.frozen
class DiffBundles:
    """Show the lines in which two bundles differ."""

    old: str = _argument("version or file")
    new: str = _argument("version or file")


@attrs.frozen
class ListBundles:
    """List the bundles."""


@attrs.frozen
class ShowBundle:
    """Show a bundle's content."""

    version: int = _version()


@attrs.frozen
class ListUpstreams:
    """List the upstreams, as the gateway that answers sees them."""


@attrs.frozen
class DrainUpstream:
    """Stop sending new requests to an upstream."""

    upstream_id: str = _argument("id of the upstream")


@attrs.frozen
class UndrainUpstream:
    """Send new requests to a drained upstream again."""

    upstream_id: str = _argument("id of the upstream")


@attrs.frozen
class SetRole:
    """Request that an engine takes on a role."""

    upstream_id: str = _argument("id of the engine")
    role: str = _argument(
        "name of the role, as the engine defines it; empty to withdraw the request"
    )


@attrs.frozen
class WeightStatus:
    """Show which weights the engines have loaded, and the newest versions."""


@attrs.frozen
class ListTrainers:
    """List the trainers."""


@attrs.frozen
class ShowTrainer:
    """Show a trainer's published version, cursor and slots."""

    trainer: str = _argument("name of the trainer")


@attrs.frozen
class TraceSample:
    """Show which weights, engine and attempt generated a sample."""

    sample_id: str = _argument("id of the sample, as in the trainer's batch")


@attrs.frozen
class ListMembers:
    """List the members of the state group."""


@attrs.frozen
class AddMember:
    """Add a process to the state group."""

    process_id: str = _argument("id of the process")
    peer_address: str = _argument("its peer address, IP:port")


@attrs.frozen
class RemoveMember:
    """Remove a replica from the state group."""

    replica_id: str = _argument("id of the replica, as listed by members")


@attrs.frozen
class StateStatus:
    """Show the state group: members, leader, term and indexes."""


@attrs.frozen
class SaveSnapshot:
    """Save the state to a file."""

    file: str = _argument("file to write; it must not exist")


@attrs.frozen
class InspectSnapshot:
    """Check a saved state and show its contents; sends no request."""

    file: str = _argument("file written by save")


@attrs.frozen
class ListQuarantine:
    """List the requests during which upstreams crashed."""


@attrs.frozen
class LiftQuarantine:
    """Release a request that was quarantined as crash-causing."""

    fingerprint: str = _argument("fingerprint of the request", convert=digest)


@attrs.frozen
class RestoreSnapshot:
    """Restore a saved state."""

    file: str = _argument("file written by save")


@attrs.frozen
class CheckSettings:
    """Check the settings file of a daemon; sends no request."""

    file: str = _argument("settings in YAML")


@attrs.frozen
class GenerateKeys:
    """Write new CURVE keys for one process; sends no request."""

    key_file: str = _argument("file to write; it must not exist", "--key-file")


# The class of a verb by its words on the command line.
VERBS_BY_WORDS: Final[dict[tuple[str, ...], type[Any]]] = {
    ("bundle", "check"): CheckBundle,
    ("bundle", "submit"): SubmitBundle,
    ("bundle", "sign-off"): SignOffBundle,
    ("bundle", "roll"): RollBundle,
    ("bundle", "status"): BundleStatus,
    ("bundle", "diff"): DiffBundles,
    ("bundle", "list"): ListBundles,
    ("bundle", "show"): ShowBundle,
    ("upstream", "list"): ListUpstreams,
    ("upstream", "drain"): DrainUpstream,
    ("upstream", "undrain"): UndrainUpstream,
    ("upstream", "role"): SetRole,
    ("quarantine", "list"): ListQuarantine,
    ("quarantine", "lift"): LiftQuarantine,
    ("weights", "status"): WeightStatus,
    ("trainer", "list"): ListTrainers,
    ("trainer", "show"): ShowTrainer,
    ("sample", "trace"): TraceSample,
    ("state", "members"): ListMembers,
    ("state", "add"): AddMember,
    ("state", "remove"): RemoveMember,
    ("state", "status"): StateStatus,
    ("state", "snapshot", "save"): SaveSnapshot,
    ("state", "snapshot", "inspect"): InspectSnapshot,
    ("state", "snapshot", "restore"): RestoreSnapshot,
    ("settings", "check"): CheckSettings,
    ("keys", "generate"): GenerateKeys,
}
# Help for the words that group verbs.
HELP_BY_WORDS: Final[dict[tuple[str, ...], str]] = {
    ("bundle",): "configuration bundles",
    ("upstream",): "engines and applications",
    ("quarantine",): "requests that crash upstreams",
    ("weights",): "weights on the engines",
    ("trainer",): "trainers",
    ("sample",): "samples",
    ("state",): "the state group",
    ("state", "snapshot"): "backup and restore of the state",
    ("settings",): "settings of a daemon",
    ("keys",): "keys between the system's processes",
}
