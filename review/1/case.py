"""Items are terminated though no engine failed them (rule MIXED)."""

import pathlib
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

N_ITEMS = 24
N_EVENTS = 10
MAX_QUEUE_SECONDS = 40.0
# How long after its end a server's address serves another service. The pages allow it
# after `reuse_after_s`, 2 s.
REUSE_SECONDS = 2.2
# By how much the first check-in of the server at that address arrives late.
LATE_SECONDS = 3.5


def _run_step(
    deployment: harness.Deployment, step: int, seconds: float
) -> list[dict[str, Any]]:
    """Submit one step, and return its results."""
    batch_id = f"lot-{step}"
    items = [
        harness.item(f"it-{step}-{n}", f"/lot/{N_EVENTS}", f"g-{step}-{n // 4}")
        for n in range(N_ITEMS)
    ]
    body = harness.batch_submission(step, items, N_ITEMS // 4)
    if not harness.submit(deployment, batch_id, "/lot/new", body, 10):
        raise harness.UnusableError(f"{batch_id} was not accepted")
    results: list[dict[str, Any]] = []
    until = time.monotonic() + seconds
    while len(results) < N_ITEMS and time.monotonic() < until:
        page = harness.read_results(deployment, batch_id, len(results))
        for each in page["results"] if page is not None else ():
            results.append(each)
            deployment.record.add(f"trainer reads {each['id']} {each['state']}")
        time.sleep(0.2)
    return results


def _reuse_address(
    deployment: harness.Deployment, engine: harness.ModelServer
) -> harness.Server:
    """End an idle engine for good; a server of another service gets its address."""
    engine.stop()
    time.sleep(REUSE_SECONDS)
    other = harness.Server(
        deployment,
        "w-0",
        "desk-app",
        0,
        address=engine.address,
        check_in_after=LATE_SECONDS,
    )
    other.start()
    deployment.record.add(f"server w-0 of desk-app serves at {other.address}")
    return other


def _submitted_policy() -> dict[str, Any]:
    routes = [
        harness.route(
            "/lot/",
            "lm",
            "generation",
            10_000,
            slo_ms=500,
            result_deadline_ms=7500,
            max_queue_s=MAX_QUEUE_SECONDS,
            single_version=False,
            sticky=True,
            resumable=True,
        ),
        harness.route("/desk/", "desk-app", "idempotent", 2000),
    ]
    services = [harness.model_service("lm"), harness.plain_service("desk-app")]
    return harness.configuration(1, routes, services)


def main(record: harness.Record) -> bool:
    """Return whether the rule held."""
    deployment = harness.Deployment(record)
    engines = [
        harness.ModelServer(deployment, f"e-{n}", "lm", n + 1, slots=4)
        for n in range(2)
    ]
    try:
        deployment.start_all()
        for engine in engines:
            engine.start()
        target = "/api/config/replace"
        document = _submitted_policy()
        if harness.order(deployment, "POST", target, document, 20).status != 200:
            raise harness.UnusableError("no configuration was accepted")
        first = _run_step(deployment, 0, 20)
        if [e["state"] for e in first] != ["completed"] * N_ITEMS:
            raise harness.UnusableError("the first step was not completed")
        if harness.has_trouble():
            _reuse_address(deployment, engines[1])
        else:
            time.sleep(REUSE_SECONDS)
        results = _run_step(deployment, 1, 25)
        terminated = [e["id"] for e in results if e["state"] == "terminated"]
        record.add(
            f"{len(terminated)} of {N_ITEMS} items are listed as terminated; no engine "
            f"answered 422 or 500, and max_queue_s is {MAX_QUEUE_SECONDS:g}"
        )
        return not terminated
    finally:
        deployment.stop_all()


if __name__ == "__main__":
    harness.run_case(__file__, main)
