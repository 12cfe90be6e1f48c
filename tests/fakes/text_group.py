"""A simulated group whose leaders run items and save their unfinished texts.

Each host that may answer as the leader has the product's open batches and texts. The
test generates the events. Each event records the event after which it was generated,
so that the events alone show whether they belong to one text. The simulated faults are:
leaders detect their loss of leadership late; saves are refused, committed without the
leader's knowledge, duplicated, or proposed late by any host. Everything that is stored,
resumed or listed must be the beginning of one text, with exactly the weight versions of
its events.
"""

from collections.abc import Iterable

import attrs

from bilberrydrum import codec, event_stream
from bilberrydrum.batches import commands, lifecycle, model, texts, work
from bilberrydrum.state import events, log
from tests.fakes import group_hosts, promise_group, trace

N_ITEMS = 3
MAX_OPEN = 2
MAX_EVENTS = 40


@attrs.frozen
class EventOrigin:
    """How one event was generated."""

    number: int
    version: int
    # Data of the event after which it was generated; None: it is a text's first event.
    after: bytes | None


@attrs.define
class Runner:
    """The batches that a host runs as the leader of a term."""

    term: int
    items: work.OpenBatches = attrs.field(factory=work.OpenBatches)


@attrs.define
class PendingSaves:
    """Saves that were proposed and wait for the outcome of their log entry."""

    term: int
    saves: list[texts.Save]


class TextGroup(promise_group.PromiseGroup):
    """Chooses the leaders' actions at random, and checks all texts."""

    def __init__(self, n_hosts: int, seed: int, n_voters: int = 0) -> None:
        self.origins_by_data: dict[bytes, EventOrigin] = {}
        self.runners_by_host: dict[str, Runner] = {}
        # While set, leaders only save; no faults and no other actions.
        self.is_quiet = False
        self.n_saved = 0
        self.n_resumed = 0
        self.n_caught_up = 0
        self._n_batches = 0
        self._late_saves: list[commands.SaveProgress] = []
        self._saves_by_ticket: dict[int, list[texts.Save]] = {}
        self._pending: dict[tuple[str, int], PendingSaves] = {}
        self._answers_by_host: dict[str, object] = {}
        super().__init__(n_hosts, seed, n_voters)

    # Hosts

    def start(self, host: group_hosts.Host) -> None:
        super().start(host)
        self.runners_by_host.pop(host.name, None)
        for key in [each for each in self._pending if each[0] == host.name]:
            del self._pending[key]
        host.applied.watch(lambda *applied: self._on_applied(host, *applied))

    def _check_leadership(self, host: group_hosts.Host) -> None:
        """Start or stop to run items, depending on the host's leadership."""
        runner = self.runners_by_host.get(host.name)
        if not self._may_answer(host):
            self.runners_by_host.pop(host.name, None)
            return
        term = host.replica_core.node.term
        if runner is not None and runner.term == term:
            return
        runner = self.runners_by_host[host.name] = Runner(term)
        for kept in _section(host).batches_by_id.values():
            self._accept(runner, kept)

    def _accept(self, runner: Runner, kept: model.KeptBatch) -> None:
        if kept.is_ended:
            runner.items.remember(kept.decode(), kept)
            return
        for run in runner.items.open(kept, 0.0).runs_by_item_id.values():
            self.n_resumed += bool(run.text.parts)
            self._check_text(run.text.parts, run.text.versions)

    # Actions of leaders

    def submit(self, client: object, host: group_hosts.Host, number: int = 0) -> None:
        for each in self.hosts_by_name.values():
            if each.runs() and self.random.random() < 0.3:
                self._check_leadership(each)
        for name in list(self.runners_by_host):
            each = self.hosts_by_name[name]
            if each.runs() and name in self.runners_by_host:
                self._step_runner(each, self.runners_by_host[name])
        if self._late_saves and not self.is_quiet and self.random.random() < 0.1:
            late = self._late_saves.pop(self.random.randrange(len(self._late_saves)))
            self._propose(host, late, [])

    def _step_runner(self, host: group_hosts.Host, runner: Runner) -> None:
        opened = runner.items.open_batches()
        if not self.is_quiet:
            if len(opened) < MAX_OPEN and self.random.random() < 0.3:
                self._n_batches += 1
                self._propose(host, _accept(f"b{self._n_batches}"), [])
            for each in opened:
                self._change_items(host, each)
        for each in opened:
            if self.is_quiet or self.random.random() < 0.4:
                self._save(host, each)

    def _change_items(self, host: group_hosts.Host, opened: work.OpenBatch) -> None:
        for run in opened.waiting_runs():
            chance = self.random.random()
            if chance < 0.6 and len(run.text.parts) < MAX_EVENTS:
                self._generate(run.text)
            elif chance < 0.68:
                run.text.clear()
            elif chance < 0.7 and run.text.parts:
                self._finish(host, opened, run)
        if self.random.random() < 0.02:
            self._propose(host, commands.EndBatch(opened.batch.batch_id), [])

    def _generate(self, text: texts.Text) -> None:
        after = text.parts[-1] if text.parts else None
        version = self.origins_by_data[after].version if after else 1
        if self.random.random() < 0.2:
            version = self.random.randrange(1, 4)
        for _ in range(self.random.randrange(1, 4)):
            number = (text.last_number or 0) + 1
            data = b"%d" % len(self.origins_by_data)
            self.origins_by_data[data] = EventOrigin(number, version, after)
            text.add(event_stream.Event(number, data), version)
            after = data

    def _finish(
        self, host: group_hosts.Host, opened: work.OpenBatch, run: lifecycle.ItemRun
    ) -> None:
        result = run.text.result(run.item.item_id)
        run.finish()
        finish = commands.FinishItems(opened.batch.batch_id, (result,))
        self._propose(host, finish, [])

    def _save(self, host: group_hosts.Host, opened: work.OpenBatch) -> None:
        saves = opened.begin_saves(1)
        if not saves:
            return
        progress = tuple(each.progress for each in saves)
        command = commands.SaveProgress(opened.batch.batch_id, progress)
        chance = 1.0 if self.is_quiet else self.random.random()
        if chance < 0.15:
            # The queue is full.
            _mark_lost(saves)
        elif chance < 0.3:
            self._late_saves.append(command)
            _mark_lost(saves)
        elif chance < 0.4:
            # The leader does not learn the outcome in time; it may be committed.
            self._propose(host, command, [])
            _mark_lost(saves)
        else:
            self._propose(host, command, saves)
            if chance < 0.5:
                self._propose(host, command, [])

    # Commit and application of proposals

    def _propose(
        self, host: group_hosts.Host, command: object, saves: list[texts.Save]
    ) -> None:
        self._last_proposal += 1
        self._proposals[self._last_proposal] = command
        self._saves_by_ticket[self._last_proposal] = saves
        item = (log.KIND_LOCAL, codec.encode(command))
        self.step(host, events.Propose((item,), self.now, self._last_proposal))

    def _carry_out(self, host: group_hosts.Host, effect: object) -> None:
        if isinstance(effect, events.Accepted):
            saves = self._saves_by_ticket.pop(effect.ticket, [])
            placed = (host.name, effect.first_index)
            replaced = self._pending.pop(placed, None)
            if replaced is not None:
                _mark_lost(replaced.saves)
            self._pending[placed] = PendingSaves(effect.term, saves)
        elif isinstance(effect, events.NotLeader):
            _mark_lost(self._saves_by_ticket.pop(effect.ticket, []))
        super()._carry_out(host, effect)
        if isinstance(effect, events.Restore):
            self._end_skipped(host)

    def _end_skipped(self, host: group_hosts.Host) -> None:
        """End the saves whose log entries were skipped by a snapshot."""
        for key, each in list(self._pending.items()):
            if key[0] == host.name and key[1] <= host.applied.index:
                del self._pending[key]
                _mark_lost(each.saves)

    def _commit(self, host: group_hosts.Host, entry: log.Entry) -> None:
        self._answers_by_host.pop(host.name, None)
        super()._commit(host, entry)
        pending = self._pending.pop((host.name, entry.index), None)
        if pending is None:
            return
        answer = self._answers_by_host.get(host.name)
        is_own = pending.term == entry.term
        if is_own and isinstance(answer, commands.ProgressSaved):
            for each in pending.saves:
                each.end(answer.saved_index(each.progress.item_id))
        else:
            _mark_lost(pending.saves)

    def _on_applied(
        self, host: group_hosts.Host, command: object, answer: object
    ) -> None:
        self._answers_by_host[host.name] = answer
        batch_id = getattr(command, "batch_id", "")
        kept = _section(host).batches_by_id.get(batch_id)
        if kept is None:
            return
        self._check_kept(kept)
        runner = self.runners_by_host.get(host.name)
        if runner is None:
            return
        if isinstance(command, commands.AcceptBatch):
            if batch_id not in [
                each.batch.batch_id for each in runner.items.open_batches()
            ]:
                self._accept(runner, kept)
        elif isinstance(command, commands.FinishItems):
            runner.items.mark_finished(batch_id, command.finished_ids())
        elif isinstance(command, commands.EndBatch):
            closed = runner.items.close(batch_id)
            if closed is not None:
                runner.items.remember_closed(closed)
        else:
            self.n_saved += 1
            trace.note(host.name, command, answer)

    # Checks

    def _check_kept(self, kept: model.KeptBatch) -> None:
        for each in kept.progress_by_item_id.values():
            self._check_text(each.parts, each.versions)
            last = self.origins_by_data[each.parts[-1]]
            assert each.last_number == last.number, (
                "expected the number of the last event"
            )
        for result in kept.results:
            self._check_text(result.text.split(b"\n"), result.versions)

    def _check_text(self, parts: Iterable[bytes], versions: Iterable[int]) -> None:
        origins = []
        before = None
        for data in parts:
            origins.append(self.origins_by_data[data])
            assert origins[-1].after == before, f"got {data!r} after {before!r}"
            before = data
        assert set(versions) == {each.version for each in origins}, (
            "expected the versions of the events"
        )

    def settle(self) -> None:
        """Stop the faults, extend all texts once more, and check that all are stored.

        A late save may have replaced a stored text. The next save of that text fails
        for this reason, and the one after it stores the complete text.
        """
        self.is_quiet = True
        self.run(5.0)
        for _, opened in self._led_batches():
            for run in opened.waiting_runs():
                self._generate(run.text)
        self.run(2.0)
        for host, opened in self._led_batches():
            kept = _section(host).batches_by_id[opened.batch.batch_id]
            for run in opened.waiting_runs():
                progress = kept.progress_by_item_id.get(run.item.item_id)
                parts = list(progress.parts) if progress else []
                assert parts == run.text.parts, (
                    f"expected {len(run.text.parts)} events, got {len(parts)}"
                )
                self.n_caught_up += 1

    def _led_batches(self) -> list[tuple[group_hosts.Host, work.OpenBatch]]:
        """Return the open batches of each host that leads, with the host."""
        return [
            (host, opened)
            for host in self.hosts_by_name.values()
            for opened in self._open_batches(host)
        ]

    def _open_batches(self, host: group_hosts.Host) -> list[work.OpenBatch]:
        runner = self.runners_by_host.get(host.name)
        if runner is None or not host.runs() or not self._may_answer(host):
            return []
        is_own_term = runner.term == host.replica_core.node.term
        return runner.items.open_batches() if is_own_term else []


def _section(host: group_hosts.Host) -> commands.Section:
    return commands.section_of(host.applied.state)


def _mark_lost(saves: list[texts.Save]) -> None:
    for each in saves:
        each.end(0)


def _accept(batch_id: str) -> commands.AcceptBatch:
    items = tuple(model.Item(f"i{n}", "/p/x", {}, b"", 1) for n in range(N_ITEMS))
    data = model.pack_batch(model.Batch(batch_id, "h", items))
    return commands.AcceptBatch(
        batch_id, N_ITEMS, data, promise_group.RETENTION_SECONDS
    )
