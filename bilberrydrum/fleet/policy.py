"""The traffic policy: which requests go where, and within which limits.

A policy is one document with a version. The highest committed version is in force; it
is always replaced completely. Routes are chosen by host and by the longest path prefix;
a route distributes its requests over services by weight.
"""

import enum
import functools
import random
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import accounts as client_accounts


class RouteKind(enum.StrEnum):
    """How the requests of a route may be run."""

    # May run more than once.
    IDEMPOTENT = "idempotent"
    # Runs at most once.
    NON_IDEMPOTENT = "non-idempotent"
    # Answered by a stream of events, each forwarded as it arrives.
    STREAMING = "streaming"
    # Batches of items that run later.
    BATCH = "batch"


@attrs.frozen
class Share:
    """A service's share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route; times are in seconds."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    # Longest time that a caller waits for its answer; 0 if unbounded (batches).
    timeout_seconds: float = 0.0
    # Latency up to which an answer is of full value to its caller.
    target_latency_seconds: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    # Highest number of upstreams that one request may be sent to.
    max_attempts: int = 1
    # A stream may continue at another upstream after the last complete event.
    is_resumable: bool = False
    # How long after its batch was submitted an item may be abandoned.
    max_queue_seconds: float = 0.0
    # How long after its submission all results of a batch are due.
    result_deadline_seconds: float = 0.0
    # All events of a result must come from one weight version.
    is_single_version: bool = False
    # Its requests need no API key and belong to no account.
    is_public: bool = False

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, drawn by weight."""
        total = sum(each.weight for each in self.shares)
        point = rng.random() * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service

    def services(self) -> Iterator[str]:
        """Yield the services that the route may use."""
        for share in self.shares:
            if share.weight > 0:
                yield share.service


@attrs.frozen
class Service:
    """One kind of upstream."""

    name: str
    # Highest number of connections that one upstream accepts from all processes
    # together.
    max_connections: int = 0
    # Models that the upstreams generate with; empty for a plain service.
    models: tuple[str, ...] = ()
    # Number of tokens that an engine's cache holds; 0 if not given.
    n_cache_tokens: int = 0


@attrs.frozen
class ClientLimits:
    """Limits on what clients may send to gateways; 0 for the process's own limit."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_seconds: float = 0.0
    idle_timeout_seconds: float = 0.0


@codec.register("fleet.policy")
@attrs.frozen
class Policy:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    # Accounts that may send requests; None if requests need no key.
    accounts: tuple[client_accounts.Account, ...] | None = None


# Number of ranks that an engine distinguishes, and number of route priorities that are
# distinguished within one account priority.
_N_RANKS: Final = 10
_N_ROUTE_RANKS: Final = 3


@attrs.frozen(order=True)
class Precedence:
    """Order of requests where capacity is short; the lowest goes first.

    The account's priority is compared before the route's, so that the urgent routes of
    one account do not delay a more urgent account.
    """

    account_priority: int = 0
    route_priority: int = 0

    def engine_rank(self) -> int:
        """Return the rank at an engine; 0 is served first."""
        route_rank = min(self.route_priority, _N_ROUTE_RANKS - 1)
        rank = self.account_priority * _N_ROUTE_RANKS + route_rank
        return max(0, min(rank, _N_RANKS - 1))


@functools.lru_cache(maxsize=256)
def _precedence(account_priority: int, route_priority: int) -> Precedence:
    # Equal ones are the same object: each scheduling pass sorts hundreds of items by
    # their precedence, and comparing an object with itself is cheap.
    return Precedence(account_priority, route_priority)


class RouteTable:
    """Looks up the routes and accounts of a policy."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        # None if requests need no key.
        self.accounts: client_accounts.AccountTable | None = None
        if policy.accounts is not None:
            self.accounts = client_accounts.AccountTable(policy.accounts)
        self.services_by_name = {each.name: each for each in policy.services}
        self._routes_by_host: dict[str, list[Route]] = {}
        longest_first = sorted(policy.routes, key=lambda each: -len(each.path_prefix))
        for route in longest_first:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def precedence_of(self, route: Route, account: str | None) -> Precedence:
        """Return the precedence of an account's requests of `route`."""
        known = None
        if self.accounts is not None and account:
            known = self.accounts.accounts_by_name.get(account)
        priority = known.priority if known is not None else 0
        return _precedence(priority, route.priority)

    def has_public_batches(self, host: str) -> bool:
        """Return whether batches are accepted without a key under `host`."""
        return any(
            each.is_public and each.kind is RouteKind.BATCH
            for each in self._routes_by_host.get(host.lower(), ())
        )
