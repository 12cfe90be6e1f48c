"""Compute the figures of a run from the journals and reports of the fakes."""

import collections
import json
import pathlib
from typing import Any, Final

import attrs

from misc.demos import andes
from tests.fakes import journal

MIN_STEPS: Final = 20
MIN_VERSIONS: Final = 3


@attrs.frozen
class Bookings:
    """Outcomes of the bookings, according to the journals of the fakes."""

    n_confirmed: int
    n_double: int
    # Confirmed to the planner, but not run by an application.
    n_confirmed_not_run: int
    # Given up by the planner after a refusal that said it was not run, but run by an
    # application.
    n_refused_but_run: int
    n_unknown: int
    n_given_up: int


def count_bookings(folder: pathlib.Path) -> Bookings:
    """Compare the outcomes that planners received with what applications ran."""
    runs = collections.Counter(
        event["booking_id"]
        for path in sorted(folder.glob("schedule-*.journal"))
        for event in journal.read(path, "booking")
    )
    outcomes = {
        event["booking_id"]: event["outcome"]
        for event in journal.read(folder / "planner.journal", "outcome")
    }
    n_by_outcome = collections.Counter(outcomes.values())
    return Bookings(
        n_confirmed=n_by_outcome["booked"],
        n_double=sum(1 for n_runs in runs.values() if n_runs > 1),
        n_confirmed_not_run=sum(
            1
            for booking_id, outcome in outcomes.items()
            if outcome == "booked" and runs[booking_id] == 0
        ),
        n_refused_but_run=sum(
            1
            for booking_id, outcome in outcomes.items()
            if outcome == "given-up" and runs[booking_id] > 0
        ),
        n_unknown=n_by_outcome["unknown"],
        n_given_up=n_by_outcome["given-up"],
    )


def read_report(folder: pathlib.Path, name: str) -> dict[str, Any]:
    """Return the report that a fake wrote before it exited."""
    value: dict[str, Any] = json.loads((folder / f"{name}.report").read_text())
    return value


def summary(
    trainer: dict[str, Any], bookings: Bookings, bundle_in_force_seconds: float
) -> dict[str, Any]:
    """Return the figures that are printed at the end of a run."""
    return {
        "n_samples_delivered": trainer["n_samples_delivered"],
        "n_duplicates": trainer["n_duplicates"],
        "n_lost": trainer["n_lost"],
        "n_untraceable": trainer["n_untraceable"],
        "max_staleness": trainer["max_staleness"],
        "staleness_bound": andes.STALENESS_BOUND,
        "trainer_idle_fraction": trainer["trainer_idle_fraction"],
        "bundle_in_force_seconds": round(bundle_in_force_seconds, 3),
        "n_bookings": bookings.n_confirmed,
        "n_double_bookings": bookings.n_double,
    }


def find_breaches(
    trainer: dict[str, Any],
    planner: dict[str, Any],
    bookings: Bookings,
    reverts: list[str],
) -> list[str]:
    """Return the conditions that a run violated; empty if there are none."""
    zeros = {
        "n_duplicates": trainer["n_duplicates"],
        "n_lost": trainer["n_lost"],
        "n_untraceable": trainer["n_untraceable"],
        "n_double_bookings": bookings.n_double,
        "n_confirmed_not_run": bookings.n_confirmed_not_run,
        "n_refused_but_run": bookings.n_refused_but_run,
        "n_mismatched": planner["n_mismatched"],
        "n_reverts": len(reverts),
    }
    breaches = [f"{name} is {value}" for name, value in zeros.items() if value != 0]
    if trainer["max_staleness"] > andes.STALENESS_BOUND:
        breaches.append(f"max_staleness is {trainer['max_staleness']}")
    if trainer["n_steps"] < MIN_STEPS:
        breaches.append(f"only {trainer['n_steps']} steps")
    if trainer["weight_version"] < MIN_VERSIONS:
        breaches.append(f"only {trainer['weight_version']} versions published")
    if bookings.n_confirmed == 0:
        breaches.append("no booking was confirmed")
    return breaches
