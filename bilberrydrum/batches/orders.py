"""Have one engine load one version, and know when it has.

An order whose answer is lost may be carried out seconds later, after newer ones. So the
engine's own account is asked before each sending, and each order names the number of
orders that the engine must have taken by then: of two sendings of the same order at
most one is carried out, and one that comes late finds another number and is refused.
"""

from collections.abc import Callable
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import weight_plan
from bilberrydrum.fleet import model
from bilberrydrum.requests import attempts, single_calls

# A load takes about a second, and longer while others load; an engine that needs more
# than ten times that is given back, to be planned anew.
LIMIT_SECONDS: Final = 10.0
# Time for the answer to an order or a report.
_ANSWER_SECONDS: Final = 1.0
# A report is some hundred milliseconds old: what was sent just before doesn't show.
_REPORT_LAG_SECONDS: Final = 0.3
# First look after an order was taken, and the pause between later ones.
_FIRST_LOOK_SECONDS: Final = 0.9
_LOOK_SECONDS: Final = 0.25
_OK: Final = 200
_FENCED: Final = 412
_MISDIRECTED: Final = 421


@attrs.frozen
class Order:
    """What an engine is to be told."""

    load: weight_plan.Load
    keeps_running: bool
    holder: str
    # Whether the engine is still there to be told, as far as is known.
    is_wanted: Callable[[], bool] = lambda: True


class OrderSender:
    """Gives orders, one at a time to each engine."""

    def __init__(
        self,
        means: attempts.Means,
        protocol: upstream_protocol.UpstreamProtocol,
        fencing_number: Callable[[], int | None],
    ) -> None:
        self._means = means
        self._protocol = protocol
        self._fencing_number = fencing_number

    def carry_out(
        self, engine: model.FleetUpstream, order: Order
    ) -> upstream_protocol.EngineReport | None:
        """Return the engine's report once it serves the version; None: it doesn't."""
        deadline = clock.now() + LIMIT_SECONDS
        load = order.load
        while clock.now() < deadline:
            report = self._ask_report(engine)
            if report is None:
                clock.sleep(_LOOK_SECONDS)
                continue
            if not _is_from(engine, report):
                return None
            if report.versions_by_model.get(load.model, -1) >= load.version:
                return report
            if report.is_busy:
                clock.sleep(_LOOK_SECONDS)
                continue
            if not self._send(engine, order, report.sequence):
                return None
        return None

    def _send(self, engine: model.FleetUpstream, order: Order, sequence: int) -> bool:
        """Send the order once; False: there is no use in trying again."""
        numbers: list[int] = []

        def prepare() -> upstream_protocol.OrderMessage | None:
            # A process that was stopped since the report may not hold the right to give
            # orders any more.
            number = self._fencing_number()
            if number is None or not order.is_wanted():
                return None
            numbers.append(number)
            return self._message(engine, order, number, sequence)

        reply = self._call(engine, prepare, "order")
        eliot.log_message(
            message_type="weights:ordered",
            upstream_id=engine.upstream_id,
            model=order.load.model,
            version=order.load.version,
            fencing_number=numbers[0] if numbers else None,
            expected_sequence=sequence,
            status=reply.status,
            is_withheld=reply.is_withheld,
        )
        if reply.is_withheld or reply.status in (_FENCED, _MISDIRECTED):
            return False
        is_taken = reply.status in (200, 202)
        clock.sleep(_FIRST_LOOK_SECONDS if is_taken else _REPORT_LAG_SECONDS)
        return True

    def _message(
        self, engine: model.FleetUpstream, order: Order, number: int, sequence: int
    ) -> upstream_protocol.OrderMessage:
        return self._protocol.order(
            upstream_protocol.WeightOrder(
                order.load.model,
                order.load.version,
                order.keeps_running,
                order.holder,
                number,
                sequence,
                engine.announced_id,
            )
        )

    def _ask_report(
        self, engine: model.FleetUpstream
    ) -> upstream_protocol.EngineReport | None:
        message = self._protocol.ask_report(engine.announced_id)
        reply = self._call(engine, lambda: message, "report")
        if reply.status != _OK:
            return None
        return self._protocol.read_report(reply.body)

    def _call(
        self,
        engine: model.FleetUpstream,
        prepare: Callable[[], upstream_protocol.OrderMessage | None],
        purpose: str,
    ) -> single_calls.Reply:
        return single_calls.call(
            self._means.pool, engine.address, prepare, _ANSWER_SECONDS, purpose
        )


def _is_from(
    engine: model.FleetUpstream, report: upstream_protocol.EngineReport
) -> bool:
    """Tell whether a report is from this incarnation of the engine.

    One that has crashed and started again under its name counts its orders anew: it
    would carry out an order that was made for the one before.
    """
    if None in (engine.started_at_ms, report.started_at_ms):
        return True
    return engine.started_at_ms == report.started_at_ms
