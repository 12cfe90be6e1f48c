"""In-process engines and fakes of the parts that the roll-out task uses."""

import json
import socket

import eventlet
import eventlet.wsgi
import result

from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.state import machine
from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders

WAIT_SECONDS = 30.0


def wait_for(condition):
    with eventlet.Timeout(WAIT_SECONDS):
        while not condition():
            eventlet.sleep(0.01)


class FakeEngine:
    """An engine that executes orders over HTTP and reports its state."""

    def __init__(self, engine_id, checks_fencing=True, version=0):
        self.engine_id = engine_id
        self.checks_fencing = checks_fencing
        self.version = version
        self.loaded = {version}
        self.adapters = set()
        self.highest_number = 0
        # Bodies of the orders as they arrived.
        self.received = []
        # HTTP statuses with which the next orders of a kind fail, by kind.
        self.faults_by_kind = {}
        # Number of next answers that are lost after the order was executed.
        self.n_lost_answers = 0
        # Called when an order arrives, before it is executed.
        self.on_order = lambda: None
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._task = eventlet.spawn(
            eventlet.wsgi.server, self._listener, self._serve, log_output=False
        )

    def stop(self):
        self._task.kill()
        self._listener.close()

    def upstream(self):
        served = upstream_model.ServedModel(
            self.version, tuple(sorted(self.loaded)), tuple(self.adapters)
        )
        return upstream_model.Upstream(
            self.engine_id,
            upstream_model.KIND_ENGINE,
            self.address,
            models={"planner": served},
            checks_fencing=self.checks_fencing,
        )

    def _serve(self, environ, start_response):
        order = json.loads(environ["wsgi.input"].read())
        self.received.append(order)
        self.on_order()
        status, body = self._answer(order)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
            return []
        start_response(f"{status} Status", [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]

    def _answer(self, order):
        if self.checks_fencing and order["fencing_number"] < self.highest_number:
            return 409, {"reason": "stale-fencing"}
        self.highest_number = max(self.highest_number, order["fencing_number"])
        faults = self.faults_by_kind.get(order["kind"])
        if faults:
            return faults.pop(0), {}
        if order["kind"] == orders.LOAD:
            self.loaded.add(order["weight_version"])
        elif order["kind"] == orders.SWAP:
            self.version = order["weight_version"]
        elif order["kind"] == orders.UNLOAD:
            self.loaded.discard(order["weight_version"])
        elif order["kind"] == orders.LOAD_ADAPTER:
            self.adapters.add(order["adapter"])
        return 200, {"state": "done"}


class FakeController:
    def __init__(self, number=1, may_order_unfenced=True):
        self.number = number
        self.unfenced = may_order_unfenced

    def fencing_number(self):
        return self.number

    def may_order_unfenced(self):
        return self.unfenced


class FakeState:
    """A state group of one replica in this process."""

    def __init__(self):
        self.state = machine.State()
        # Error that all commands and queries return, if it is set.
        self.error = None

    def submit(self, command, timeout=5.0):
        if self.error:
            return result.Err(self.error)
        context = machine.Context(index=1, time=0.0)
        return result.Ok(machine.apply(command, self.state, context))

    def query(self, query, timeout=5.0):
        if self.error:
            return result.Err(self.error)
        return result.Ok(machine.answer(query, self.state, 0.0))


class FakeBundles:
    def __init__(self, **fields):
        rule = bundle_model.ModelRule("http://127.0.0.1:1", **fields)
        trainer = bundle_model.TrainerRule("planner", "scorer")
        trainers = {"outage": trainer, "exits": trainer}
        models = {"planner": rule}
        bundle = bundle_model.Bundle(1, 0, models=models, trainers=trainers)
        self.answer = result.Ok(bundle)

    def current(self):
        return self.answer


class FakeRegistry:
    def __init__(self, engines):
        self.engines = engines

    def upstreams_by_id(self):
        return {engine.engine_id: engine.upstream() for engine in self.engines}
