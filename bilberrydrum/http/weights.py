"""The HTTP interface for published weights and their rollout."""

from typing import Any, Final

from bilberrydrum import codec, interfaces, options, problems, reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.http import edge
from bilberrydrum.state import client
from bilberrydrum.weights import commands, queries, rollout, status

# Largest weight version. JSON readers with floating-point numbers represent integers
# exactly only up to it.
MAX_WEIGHT_VERSION: Final = 2**53 - 1
MAX_ROLE_CHARACTERS: Final = 64
_RETRY_AFTER_SECONDS: Final = 1.0


def add_routes(
    edge_app: edge.Edge,
    options: options.Options,
    state: client.StateClient,
    bundles: interfaces.BundleView,
    registry: interfaces.Registry | None = None,
    task: rollout.WeightRollout | None = None,
) -> None:
    """Add the routes to publish weight versions and to show the rollout's status.

    Without a registry there is no route for the status. Only the process whose rollout
    task holds the controller lease knows the orders and their failures.
    """
    routes = _Routes(state, bundles, registry, task)
    prefix = "/v1/trainers/{trainer}/weights"
    edge_app.add("POST", prefix, routes.publish)
    edge_app.add("POST", prefix + "/prepare", routes.prepare)
    if registry is not None:
        edge_app.add("GET", "/v1/weights", routes.show, edge.GUARD_OPERATOR)
    edge_app.add(
        "POST", "/v1/upstreams/{upstream_id}/role", routes.set_role, edge.GUARD_OPERATOR
    )


class _Routes:
    def __init__(
        self,
        state: client.StateClient,
        bundles: interfaces.BundleView,
        registry: interfaces.Registry | None,
        task: rollout.WeightRollout | None,
    ) -> None:
        self._state = state
        self._bundles = bundles
        self._registry = registry
        self._task = task

    def publish(self, request: edge.Request) -> edge.Response:
        """Publish a trainer's new version; a repetition is answered with the newest."""
        return self._submit_version(request, commands.PublishWeights)

    def prepare(self, request: edge.Request) -> edge.Response:
        """Start loading a version that the trainer will publish later."""
        return self._submit_version(request, commands.PrepareWeights)

    def set_role(self, request: edge.Request) -> edge.Response:
        """Set an engine's requested role; an empty role removes the request."""
        role = request.json().get("role")
        if not isinstance(role, str) or len(role) > MAX_ROLE_CHARACTERS:
            raise edge.refuse(
                400,
                reasons.Reason.INVALID_REQUEST,
                f"role: must be a string of at most {MAX_ROLE_CHARACTERS} characters",
            )
        command = commands.SetRole(request.variables["upstream_id"], role)
        answer = self._submit(command)
        return edge.Response.of_json(
            {"upstream_id": answer.upstream_id, "role": answer.role}
        )

    def show(self, request: edge.Request) -> edge.Response:
        """Return the progress of each engine with each model."""
        assert self._registry is not None
        publications = self._state.query(queries.ListPublications())
        if publications.is_err():
            raise problems.ProblemError(publications.unwrap_err().to_problem())
        targets = status.targets_by_model(self._bundle(), publications.unwrap())
        engines = status.engines_of(self._registry.upstreams_by_id())
        task = self._task
        actions = {} if task is None else task.actions_by_engine_id()
        failed = {} if task is None else task.failed_by_engine_id()
        models = [
            status.status_of(name, target, engines, actions, failed)
            for name, target in sorted(targets.items())
        ]
        gives_orders = task is not None and task.gives_orders()
        return edge.Response.of_json(
            {"gives_orders": gives_orders, "models": codec.to_plain(models)}
        )

    def _submit_version(
        self,
        request: edge.Request,
        command_class: type[commands.PublishWeights] | type[commands.PrepareWeights],
    ) -> edge.Response:
        trainer = request.variables["trainer"]
        weight_version = _weight_version(request)
        command = command_class(trainer, self._model_of(trainer), weight_version)
        answer = self._submit(command)
        return edge.Response.of_json({"weight_version": answer.weight_version})

    def _submit(self, command: object) -> Any:
        answer = self._state.submit(command)
        if answer.is_err():
            raise problems.ProblemError(answer.unwrap_err().to_problem())
        return answer.unwrap()

    def _bundle(self) -> bundle_model.Bundle:
        bundle = self._bundles.current()
        if bundle.is_err():
            raise edge.refuse(
                503, bundle.unwrap_err(), retry_after_seconds=_RETRY_AFTER_SECONDS
            )
        return bundle.unwrap()

    def _model_of(self, trainer: str) -> str:
        rule = self._bundle().trainers.get(trainer)
        if rule is None:
            raise edge.refuse(404, reasons.Reason.TRAINER_UNKNOWN, trainer)
        return rule.model


def _weight_version(request: edge.Request) -> int:
    value: Any = request.json().get("weight_version")
    # JSON's true would pass as an integer, as bool is a subclass of int.
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if is_number and 1 <= value <= MAX_WEIGHT_VERSION:
        return int(value)
    raise edge.refuse(
        400,
        reasons.Reason.INVALID_REQUEST,
        f"weight_version: must be an integer from 1 to {MAX_WEIGHT_VERSION}",
    )
