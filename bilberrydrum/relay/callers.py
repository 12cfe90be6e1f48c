"""Who sends a request, and whether it may still be sent on.

A key is judged by a policy that the control leader has confirmed lately (see
`fleet.policy_lease`), and once more right before each sending: a request may wait in
between, and its key may be taken away meanwhile. A key that the policy here lacks may
be new, so it is called unknown only once the leader has said, after the request came,
that there is no newer policy; else its holder would be turned away for good by a
gateway that lags by a moment.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, reasons
from bilberrydrum.fleet import accounts, policy, subscriber
from bilberrydrum.relay import model

# Longest wait for the leader's word on a key that is not known here, in seconds: a few
# round trips between zones, and one pause between two renewals.
CONFIRM_SECONDS: Final = 0.3
# When a caller whose key cannot be judged may come back, in seconds: most likely to
# another gateway, which can; spread, as all that this one turns away come at once.
UNCONFIRMED_RETRY_RANGE: Final = (0.05, 0.3)


@attrs.frozen
class Caller:
    """Who has sent a request."""

    # None: the policy has no accounts; empty: the request needs none.
    account: str | None = None
    # Asked right before each sending: why the request must not go out, if so.
    find_refusal: Callable[[], reasons.Reason | None] = model.never_refused


ANYBODY: Final = Caller(account="")


class Callers:
    """Finds out who sends the requests of one gateway."""

    def __init__(self, view: subscriber.Subscriber, rng: random.Random) -> None:
        self._view = view
        self._rng = rng

    def of_request(
        self, request_id: str, route: policy.Route, key: str
    ) -> Caller | model.Refused:
        """Return who sends a request of `route`."""
        if self._view.routes.accounts is not None and route.is_public:
            return ANYBODY
        return self._identify(request_id, key)

    def of_batch_call(
        self, request_id: str, host: str, key: str
    ) -> Caller | model.Refused:
        """Return who asks for a batch, which no route names."""
        routes = self._view.routes
        if routes.accounts is not None and not key and routes.has_public_batches(host):
            return ANYBODY
        return self._identify(request_id, key)

    def _identify(self, request_id: str, key: str) -> Caller | model.Refused:
        digest = accounts.digest_of(key)
        refusal = self._find_refusal(digest, None)
        if refusal is reasons.Reason.UNAUTHORIZED and key:
            is_confirmed = self._view.confirm(CONFIRM_SECONDS)
            refusal = self._find_refusal(digest, None)
            if refusal is reasons.Reason.UNAUTHORIZED and not is_confirmed:
                refusal = reasons.Reason.BUNDLE_LEASE_EXPIRED
        if refusal is not None:
            return self._refused(request_id, refusal)
        table = self._view.routes.accounts
        account = table.find(digest) if table is not None else None
        if account is None:
            return Caller()
        name = account.name
        return Caller(name, lambda: self._find_refusal(digest, name))

    def _find_refusal(self, digest: bytes, name: str | None) -> reasons.Reason | None:
        """Return why a key is not served now; `name`: the account that it stood for."""
        table = self._view.routes.accounts
        if table is None:
            return None
        if not self._view.is_policy_confirmed():
            return reasons.Reason.BUNDLE_LEASE_EXPIRED
        account = table.find(digest)
        if account is None or name not in (None, account.name):
            return reasons.Reason.UNAUTHORIZED
        return None

    def _refused(self, request_id: str, reason: reasons.Reason) -> model.Refused:
        counters.refused(reason)
        eliot.log_message(
            message_type="relay:refused",
            request_id=request_id,
            reason=reason.value,
            policy_version=self._view.routes.policy.version,
            policy_age=round(clock.now() - self._view.policy_lease.confirmed_at, 3),
        )
        may_come_back = reason is not reasons.Reason.UNAUTHORIZED
        retry_after = self._rng.uniform(*UNCONFIRMED_RETRY_RANGE)
        return model.Refused(reason, False, retry_after if may_come_back else 0.0)
