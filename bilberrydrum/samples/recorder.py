"""Commits finished attempts, several with one command.

Each command carries all records that were submitted while the previous command was
being committed. Commands thus grow with the load, and no record waits for a command to
fill up.
"""

from typing import Final

import attrs
import eventlet
import eventlet.event
from eventlet import queue

from bilberrydrum import clock, interfaces, reasons, tasks
from bilberrydrum.samples import commands, model
from bilberrydrum.state import client

# Maximum number of records in one command.
MAX_RECORDS: Final = 256
_RETRY_SECONDS: Final = 0.1


@attrs.frozen
class Outcome:
    """The result for one record: accepted, or the reason of the refusal."""

    refusal: reasons.Reason | None
    # Log index of the command.
    index: int


class Recorder:
    """The task that commits records."""

    def __init__(
        self, state: client.StateClient, bundles: interfaces.BundleView
    ) -> None:
        self._state = state
        self._bundles = bundles
        self._waiting: queue.LightQueue = queue.LightQueue()
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start committing."""
        self._tasks.append(
            eventlet.spawn(tasks.run_forever, "sample-recorder", self._commit_next)
        )

    def stop(self) -> None:
        """Stop; pending records are lost and their slots get other attempts."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def record(self, record: commands.SlotRecord) -> Outcome:
        """Commit `record` and return the outcome."""
        done = eventlet.event.Event()
        self._waiting.put((record, done))
        outcome: Outcome = done.wait()
        return outcome

    def _commit_next(self) -> None:
        gathered = [self._waiting.get()]
        while len(gathered) < MAX_RECORDS and not self._waiting.empty():
            gathered.append(self._waiting.get())
        try:
            recorded = self._commit(tuple(record for record, _ in gathered))
            pairs = list(zip(gathered, recorded.refusals, strict=True))
        except tasks.UNEXPECTED_ERRORS as error:
            # The attempts that wait would otherwise wait forever, and hold their slots.
            for _, done in gathered:
                done.send_exception(error)
            raise
        for (_, done), refusal in pairs:
            done.send(Outcome(refusal, recorded.index))

    def _commit(self, records: tuple[commands.SlotRecord, ...]) -> commands.Recorded:
        while True:
            rules = rules_by_trainer(self._bundles, {each.trainer for each in records})
            command = commands.RecordSamples(records, rules)
            answer = self._state.submit(command)
            if answer.is_ok():
                recorded: commands.Recorded = answer.unwrap()
                return recorded
            # The command may have been applied. Applying it again does not record
            # anything twice.
            clock.sleep(_RETRY_SECONDS)


def rules_by_trainer(
    bundles: interfaces.BundleView, names: set[str]
) -> dict[str, model.Rule]:
    """Return the trainers' rules in the bundle that is in force at this process."""
    current = bundles.current()
    if current.is_err():
        return {}
    bundle = current.unwrap()
    return {
        name: model.Rule(bundle.version, bundle.trainers[name].staleness_bound)
        for name in names
        if name in bundle.trainers
    }
