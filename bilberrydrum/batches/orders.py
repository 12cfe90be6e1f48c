"""Order an engine to load a weight version and wait until it serves it.

An order whose answer is lost may be carried out seconds later, after newer ones. So the
engine's report is fetched before each sending, and each order contains the number of
orders that the engine has accepted according to the report. If an order is sent twice,
the engine carries out at most one of them: the one that arrives later finds a different
number and is refused.
"""

from collections.abc import Callable
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import weight_plan
from bilberrydrum.fleet import model
from bilberrydrum.requests import attempts, single_calls

# Time after which a load counts as failed, in seconds, so that the engine is planned
# again. A load takes about a second, and longer while other engines load; this is ten
# times as long.
TIMEOUT_SECONDS: Final = 10.0
# Timeout for the answer to an order or to a report request, in seconds.
_ANSWER_SECONDS: Final = 1.0
# Pause after an order that was not accepted, in seconds. Reports are a few hundred
# milliseconds old, so an earlier one would not include the order.
_REPORT_LAG_SECONDS: Final = 0.3
# Pause before the first report after an order was accepted, and between later reports,
# in seconds.
_FIRST_POLL_SECONDS: Final = 0.9
_POLL_SECONDS: Final = 0.25
_OK: Final = 200
_FENCED: Final = 412
_MISDIRECTED: Final = 421


@attrs.frozen
class Order:
    """An order to load weights, as it is to be sent to an engine."""

    load: weight_plan.Load
    # Running requests continue under the new version.
    keeps_running: bool
    # The process that sends the order.
    holder: str
    # Returns whether the engine is still registered.
    is_wanted: Callable[[], bool] = lambda: True


class OrderSender:
    """Sends orders to engines, one at a time to each engine."""

    def __init__(
        self,
        resources: attempts.Resources,
        protocol: upstream_protocol.UpstreamProtocol,
        fencing_number: Callable[[], int | None],
    ) -> None:
        self._resources = resources
        self._protocol = protocol
        self._fencing_number = fencing_number

    def carry_out(
        self, engine: model.FleetUpstream, order: Order
    ) -> upstream_protocol.EngineReport | None:
        """Return the engine's report once it serves the version; None on failure."""
        deadline = clock.now() + TIMEOUT_SECONDS
        load = order.load
        while clock.now() < deadline:
            reply = self._request_report(engine)
            if reply.status == _MISDIRECTED:
                return None
            report = self._read_report(reply)
            if report is None:
                clock.sleep(_POLL_SECONDS)
                continue
            if not _is_same_incarnation(engine, report):
                return None
            if report.versions_by_model.get(load.model, -1) >= load.version:
                return report
            if report.is_busy:
                clock.sleep(_POLL_SECONDS)
                continue
            if not self._send(engine, order, report.sequence):
                return None
        return None

    def _send(self, engine: model.FleetUpstream, order: Order, sequence: int) -> bool:
        """Send the order once; return whether sending it again may help."""
        numbers: list[int] = []

        def prepare() -> upstream_protocol.OrderMessage | None:
            # The process may have been suspended since the report and may have lost its
            # fencing number in the meantime.
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
            reason=order.load.reason.value,
            fencing_number=numbers[0] if numbers else None,
            expected_sequence=sequence,
            status=reply.status,
            is_withheld=reply.is_withheld,
        )
        if reply.is_withheld or reply.status in (_FENCED, _MISDIRECTED):
            return False
        is_accepted = reply.status in (200, 202)
        clock.sleep(_FIRST_POLL_SECONDS if is_accepted else _REPORT_LAG_SECONDS)
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

    def _request_report(self, engine: model.FleetUpstream) -> single_calls.Reply:
        message = self._protocol.report_request(engine.announced_id)
        return self._call(engine, lambda: message, "report")

    def _read_report(
        self, reply: single_calls.Reply
    ) -> upstream_protocol.EngineReport | None:
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
            self._resources.pool, engine.address, prepare, _ANSWER_SECONDS, purpose
        )


def _is_same_incarnation(
    engine: model.FleetUpstream, report: upstream_protocol.EngineReport
) -> bool:
    """Return whether a report is from this incarnation of the engine.

    An engine that has crashed and restarted under the same name counts its orders from
    0 again, so it could carry out an order that was meant for its previous incarnation.
    """
    if None in (engine.started_at_ms, report.started_at_ms):
        return True
    return engine.started_at_ms == report.started_at_ms
