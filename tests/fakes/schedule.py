"""A fake of the schedule application: crew windows and their booking.

Lookups are idempotent, bookings are not. Each booking is written to the journal before
its answer is sent, so that a booking which ran twice is visible there.
"""

from bilberrydrum import runtime

runtime.prepare()

from tests.fakes import application, server


class Schedule:
    """One process of the schedule application."""

    def __init__(self, service: application.Application) -> None:
        self._service = service
        service.add("GET", "/windows", self.look_up)
        service.add("POST", "/bookings", self.book)

    def look_up(self, request: server.Request) -> server.Answer:
        """Serve ``GET /windows?crew=..&lookup_id=..``."""
        crew = request.query["crew"]
        return server.Answer(
            value={
                "lookup_id": request.query.get("lookup_id", ""),
                "crew": crew,
                "windows": [f"{crew}-w{number}" for number in range(3)],
            }
        )

    def book(self, request: server.Request) -> server.Answer:
        """Serve ``POST /bookings`` with `booking_id`, `crew` and `window`."""
        body = request.json()
        self._service.journal.write(
            "booking",
            booking_id=body["booking_id"],
            crew=body["crew"],
            window=body["window"],
            application=self._service.options.id,
        )
        return server.Answer(
            201, {"booking_id": body["booking_id"], "window": body["window"]}
        )


if __name__ == "__main__":
    service = application.Application(
        "schedule", application.parser(__doc__).parse_args()
    )
    Schedule(service)
    service.run()
