"""The orders that a fake engine carries out."""

from collections.abc import Callable
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import eventlet
import urllib3

from tests.fakes import faults, journal, server

N_LOAD_TRIES: Final = 40
LOAD_SECONDS: Final = 30.0


class Orders:
    """Models, weight versions, adapters and role of one engine, changed by orders.

    Parameters
    ----------
    models : list of str
        Names of the models that the engine serves.
    weight_version : int
        Weight version that each model starts with.
    checks_fencing : bool
        Whether to refuse an order with a lower fencing number than an earlier one.
    swap_seconds : float
        Time that a swap of versions takes, in seconds.
    switches : faults.EngineFaults
        Faults that the engine simulates.
    notes : journal.Journal
        Journal to which orders are written.
    on_change : callable
        Called after each order that was carried out.
    """

    def __init__(
        self,
        models: list[str],
        weight_version: int,
        checks_fencing: bool,
        swap_seconds: float,
        switches: faults.EngineFaults,
        notes: journal.Journal,
        on_change: Callable[[], None],
    ) -> None:
        self.role = "generate"
        self.fencing_number = -1
        self.versions_by_model = dict.fromkeys(models, weight_version)
        self.loaded_by_model = {name: {weight_version} for name in models}
        self.adapters_by_model: dict[str, set[str]] = {name: set() for name in models}
        self._checks_fencing = checks_fencing
        self._swap_seconds = swap_seconds
        self._faults = switches
        self._journal = notes
        self._on_change = on_change
        self._answers_by_order: dict[str, server.Answer] = {}
        self._pool = urllib3.PoolManager(retries=False)

    def models(self) -> dict[str, Any]:
        """Return the models as the engine announces them."""
        return {
            name: {
                "weight_version": version,
                "loaded_versions": sorted(self.loaded_by_model[name]),
                "adapters": sorted(self.adapters_by_model[name]),
            }
            for name, version in self.versions_by_model.items()
        }

    def serve(self, request: server.Request) -> server.Answer:
        """Serve ``POST /orders``; a repeated order gets its earlier answer."""
        order = request.json()
        number = int(order["fencing_number"])
        if self._checks_fencing and number < self.fencing_number:
            self._journal.write("fenced", order=order)
            return server.Answer(409, {"reason": "stale-fencing"})
        self.fencing_number = max(self.fencing_number, number)
        earlier = self._answers_by_order.get(order["order_id"])
        if earlier is not None:
            return earlier
        # A load may wait for the weight store while later orders are carried out, so
        # only these entries have the order in which the engine accepted its orders.
        self._journal.write("accepted", order=order)
        answer = self._execute(order)
        self._journal.write("order", order=order, status=answer.status)
        if answer.status == 200:
            self._answers_by_order[order["order_id"]] = answer
            self._on_change()
        return answer

    def _execute(self, order: dict[str, Any]) -> server.Answer:
        kind = order["kind"]
        done = server.Answer(200, {"state": "done"})
        if kind == "set_role":
            self.role = order["role"]
            return done
        model = order["model"]
        if model not in self.versions_by_model:
            return server.Answer(404, {"error": f"no model {model}"})
        if kind == "load_adapter":
            self.adapters_by_model[model].add(order["adapter"])
            return done
        version = int(order["weight_version"])
        if kind == "load":
            return self._load(model, version, order["source"])
        if kind == "swap":
            return self._swap(model, version)
        if kind == "unload":
            if version == self.versions_by_model[model]:
                return server.Answer(409, {"error": "version in use"})
            self.loaded_by_model[model].discard(version)
            return done
        return server.Answer(400, {"error": f"no order {kind}"})

    def _load(self, model: str, version: int, source: str) -> server.Answer:
        url = f"{source.rstrip('/')}/weights/{model}/{version}"
        for _ in range(N_LOAD_TRIES):
            if version in self.loaded_by_model[model]:
                return server.Answer(200, {"state": "done"})
            try:
                answer = self._pool.request("GET", url, timeout=LOAD_SECONDS)
            except urllib3.exceptions.HTTPError as error:
                return server.Answer(500, {"error": repr(error)})
            if answer.status == 200:
                self.loaded_by_model[model].add(version)
            elif answer.status == 429:
                eventlet.sleep(float(answer.headers.get("Retry-After", "1")))
            else:
                return server.Answer(500, {"error": f"store: {answer.status}"})
        return server.Answer(503, {"error": "weight store over its rate"})

    def _swap(self, model: str, version: int) -> server.Answer:
        if self._faults.take("fail_swaps"):
            return server.Answer(500, {"error": "swap failed"})
        if version not in self.loaded_by_model[model]:
            return server.Answer(409, {"error": f"version {version} is not loaded"})
        eventlet.sleep(self._swap_seconds)
        self.versions_by_model[model] = version
        return server.Answer(200, {"state": "done"})
