"""The task that holds, or waits for, the right to order upstreams about."""

import random
import secrets
from typing import Any, Final

import eliot
import eventlet

from bilberrydrum import clock, options
from bilberrydrum.state import client, controller_commands, controller_lease

# Commands of a process that is going down are not waited for longer than this.
_RELEASE_TIMEOUT_SECONDS: Final = 1.0


class Controller:
    """Keeps `interfaces.ControllerLease` for this process."""

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
        """Start to stand for the right."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Give the right back if it is held."""
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
        """Return the number for an order sent now; None: no order may be sent.

        The lease is checked at each call: a process that was stopped for a while
        wakes up with an order in hand.
        """
        return self._decision.fencing_number(clock.now())

    def may_order_unfenced(self) -> bool:
        """Tell whether upstreams that ignore the number may be given orders."""
        return self._decision.may_order_unfenced(clock.now())

    def _run(self) -> None:
        while True:
            try:
                self._take_turn()
            except Exception:
                # Were this task to end, this process could hold the right no more.
                eliot.write_traceback()
                self._decision.step(clock.now(), controller_lease.Unanswered())
            # Candidates that look at the same moment would all take over at once.
            clock.sleep(self._decision.delay * random.uniform(1.0, 1.1))

    def _take_turn(self) -> None:
        effects = self._decision.step(clock.now(), controller_lease.Due())
        while effects:
            effects = self._ask(effects[0].message)

    def _ask(self, message: object) -> list[Any]:
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
