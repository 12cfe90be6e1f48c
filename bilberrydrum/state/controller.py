"""Acquire and renew the controller lease, the right to send orders to upstreams."""

import random
import secrets
from typing import Any, Final

import eliot
import eventlet

from bilberrydrum import clock, options, tasks
from bilberrydrum.state import client, controller_commands, controller_lease

# Seconds that a stopping process waits until its release of the lease is answered.
_RELEASE_TIMEOUT_SECONDS: Final = 1.0


class Controller:
    """Implements `interfaces.ControllerLease` for this process."""

    def __init__(self, options_: options.Options, state: client.StateClient) -> None:
        upstreams = options_.upstreams
        self._state = state
        self._decision = controller_lease.ControllerDecision(
            options_.process_id,
            secrets.token_hex(8),
            controller_lease.Timing(
                upstreams.controller_lease_seconds,
                options_.state.drift_margin,
                upstreams.order_flight_seconds,
            ),
        )
        self._task: Any = None

    def start(self) -> None:
        """Start trying to acquire the lease."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop, and release the lease if this process holds it."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        number = self._decision.number
        if number:
            self._decision.number = 0
            self._state.submit(
                controller_commands.ReleaseController(
                    self._decision.process_id, number
                ),
                timeout=_RELEASE_TIMEOUT_SECONDS,
            )

    def fencing_number(self) -> int | None:
        """Return the fencing number for an order sent now; None: none may be sent.

        The lease is checked at each call, because it may have expired while the
        process was suspended just before it sent an order.
        """
        return self._decision.fencing_number(clock.now())

    def may_order_unfenced(self) -> bool:
        """Return whether upstreams that ignore the number may be sent orders."""
        return self._decision.may_order_unfenced(clock.now())

    def _run(self) -> None:
        while True:
            try:
                self._run_once()
            except tasks.UNEXPECTED_ERRORS:
                # If this task ended, this process could not acquire or renew the lease
                # until it is restarted.
                tasks.record_error("controller-lease")
                self._decision.step(clock.now(), controller_lease.Unanswered())
            # Without the jitter, candidates that were started together would poll at
            # the same moments and all try to take over at once.
            clock.sleep(self._decision.delay * random.uniform(1.0, 1.1))

    def _run_once(self) -> None:
        effects = self._decision.step(clock.now(), controller_lease.Due())
        while effects:
            effects = self._send(effects[0].message)

    def _send(self, message: object) -> list[Any]:
        held = self._decision.number
        sent_at = clock.now()
        timeout = self._decision.timing.lease_seconds
        if isinstance(message, controller_commands.AskController):
            answer = self._state.query(message, timeout=timeout)
        else:
            answer = self._state.submit(message, timeout=timeout)
        event: object = controller_lease.Unanswered()
        if answer.is_ok():
            event = controller_lease.Answered(message, sent_at, answer.unwrap())
        effects = self._decision.step(clock.now(), event)
        if self._decision.number != held:
            eliot.log_message(
                message_type="controller:changed", number=self._decision.number
            )
        return effects
