"""HTTP interface for published weights."""

from typing import Any, Final

from bilberrydrum import interfaces, options, problems, reasons
from bilberrydrum.http import edge
from bilberrydrum.state import client
from bilberrydrum.weights import commands

# Versions are integers that every JSON reader represents exactly.
MAX_WEIGHT_VERSION: Final = 2**53 - 1
_RETRY_AFTER_SECONDS: Final = 1.0


def add_routes(
    edge_app: edge.Edge,
    options: options.Options,
    state: client.StateClient,
    bundles: interfaces.BundleView,
) -> None:
    """Serve the publication of weight versions."""
    routes = _Routes(state, bundles)
    edge_app.add("POST", "/v1/trainers/{trainer}/weights", routes.publish)


class _Routes:
    def __init__(
        self, state: client.StateClient, bundles: interfaces.BundleView
    ) -> None:
        self._state = state
        self._bundles = bundles

    def publish(self, request: edge.Request) -> edge.Response:
        """Take a trainer's new version; sent again, the answer is the newest."""
        trainer = request.variables["trainer"]
        weight_version = _weight_version(request)
        command = commands.PublishWeights(
            trainer, self._model_of(trainer), weight_version
        )
        answer = self._state.submit(command)
        if answer.is_err():
            raise _refuse_unavailable(answer.unwrap_err())
        return edge.Response.of_json({"weight_version": answer.unwrap().weight_version})

    def _model_of(self, trainer: str) -> str:
        bundle = self._bundles.current()
        if bundle.is_err():
            raise edge.refuse(
                503, bundle.unwrap_err(), retry_after_seconds=_RETRY_AFTER_SECONDS
            )
        rule = bundle.unwrap().trainers.get(trainer)
        if rule is None:
            raise edge.refuse(404, reasons.Reason.TRAINER_UNKNOWN, trainer)
        return rule.model


def _weight_version(request: edge.Request) -> int:
    value: Any = request.json().get("weight_version")
    # JSON's true is a Python int.
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if is_number and 1 <= value <= MAX_WEIGHT_VERSION:
        return int(value)
    raise edge.refuse(
        400,
        reasons.Reason.INVALID_REQUEST,
        f"weight_version: a whole number from 1 to {MAX_WEIGHT_VERSION}",
    )


def _refuse_unavailable(error: client.StateError) -> problems.ProblemError:
    outcome = problems.OUTCOME_NOT_RUN
    if error.may_have_applied:
        outcome = problems.OUTCOME_UNKNOWN
    return edge.refuse(
        503,
        error.reason,
        error.detail,
        outcome=outcome,
        retry_after_seconds=_RETRY_AFTER_SECONDS,
    )
