"""A simulated group whose leaders run items and keep their unfinished texts.

Each host that may answer as the leader has the product's open batches and texts. Events
are made by the test: each one notes the event that it was made after, so that whether
events are of one text is read off them alone. Leaders look late at their loss of the
leadership; saves are refused, not known to have ended, doubled, or come late by any
host. Whatever is kept, taken up or listed must be the beginning of one text, with
exactly the weight versions of its events.
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
class Made:
    """One event as it was made."""

    number: int
    version: int
    # Data of the event that it was made after; None: it is a text's first.
    after: bytes | None


@attrs.define
class Runner:
    """What runs at a host, begun as the leader of a term."""

    term: int
    items: work.Work = attrs.field(factory=work.Work)


@attrs.define
class UnderWay:
    """Saves that were proposed and wait for the end of their entry."""

    term: int
    saves: list[texts.Save]


class TextGroup(promise_group.PromiseGroup):
    """Draws what leaders do, and checks all texts."""

    def __init__(self, n_hosts: int, seed: int, n_voters: int = 0) -> None:
        self.made_by_data: dict[bytes, Made] = {}
        self.runners_by_host: dict[str, Runner] = {}
        # Nothing but saves is drawn.
        self.is_quiet = False
        self.n_saved = 0
        self.n_taken_up = 0
        self.n_caught_up = 0
        self._n_batches = 0
        self._late: list[commands.SaveProgress] = []
        self._saves_by_ticket: dict[int, list[texts.Save]] = {}
        self._under_way: dict[tuple[str, int], UnderWay] = {}
        self._answers_by_host: dict[str, object] = {}
        super().__init__(n_hosts, seed, n_voters)

    # Hosts

    def start(self, host: group_hosts.Host) -> None:
        super().start(host)
        self.runners_by_host.pop(host.name, None)
        for key in [each for each in self._under_way if each[0] == host.name]:
            del self._under_way[key]
        host.applied.watch(lambda *applied: self._on_applied(host, *applied))

    def _look(self, host: group_hosts.Host) -> None:
        """Begin to run items, or stop."""
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
            self.n_taken_up += bool(run.text.parts)
            self._check_text(run.text.parts, run.text.versions)

    # What leaders do

    def submit(self, client: object, host: group_hosts.Host, number: int = 0) -> None:
        for each in self.hosts_by_name.values():
            if each.runs() and self.random.random() < 0.3:
                self._look(each)
        for name in list(self.runners_by_host):
            each = self.hosts_by_name[name]
            if each.runs() and name in self.runners_by_host:
                self._act(each, self.runners_by_host[name])
        if self._late and not self.is_quiet and self.random.random() < 0.1:
            late = self._late.pop(self.random.randrange(len(self._late)))
            self._propose(host, late, [])

    def _act(self, host: group_hosts.Host, runner: Runner) -> None:
        opened = runner.items.open_batches()
        if not self.is_quiet:
            if len(opened) < MAX_OPEN and self.random.random() < 0.3:
                self._n_batches += 1
                self._propose(host, _accept(f"b{self._n_batches}"), [])
            for each in opened:
                self._change(host, each)
        for each in opened:
            if self.is_quiet or self.random.random() < 0.4:
                self._save(host, each)

    def _change(self, host: group_hosts.Host, opened: work.OpenBatch) -> None:
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
        version = self.made_by_data[after].version if after else 1
        if self.random.random() < 0.2:
            version = self.random.randrange(1, 4)
        for _ in range(self.random.randrange(1, 4)):
            number = (text.last_number or 0) + 1
            data = b"%d" % len(self.made_by_data)
            self.made_by_data[data] = Made(number, version, after)
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
        saves = opened.take_progress(1)
        if not saves:
            return
        progress = tuple(each.progress for each in saves)
        command = commands.SaveProgress(opened.batch.batch_id, progress)
        chance = 1.0 if self.is_quiet else self.random.random()
        if chance < 0.15:
            # The queue is full.
            _end(saves)
        elif chance < 0.3:
            self._late.append(command)
            _end(saves)
        elif chance < 0.4:
            # Not known in time, and committed perhaps.
            self._propose(host, command, [])
            _end(saves)
        else:
            self._propose(host, command, saves)
            if chance < 0.5:
                self._propose(host, command, [])

    # What becomes of it

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
            replaced = self._under_way.pop(placed, None)
            if replaced is not None:
                _end(replaced.saves)
            self._under_way[placed] = UnderWay(effect.term, saves)
        elif isinstance(effect, events.NotLeader):
            _end(self._saves_by_ticket.pop(effect.ticket, []))
        super()._carry_out(host, effect)
        if isinstance(effect, events.Restore):
            self._skip(host)

    def _skip(self, host: group_hosts.Host) -> None:
        """A snapshot has skipped entries that saves wait for."""
        for key, each in list(self._under_way.items()):
            if key[0] == host.name and key[1] <= host.applied.index:
                del self._under_way[key]
                _end(each.saves)

    def _commit(self, host: group_hosts.Host, entry: log.Entry) -> None:
        self._answers_by_host.pop(host.name, None)
        super()._commit(host, entry)
        under_way = self._under_way.pop((host.name, entry.index), None)
        if under_way is None:
            return
        answer = self._answers_by_host.get(host.name)
        is_own = under_way.term == entry.term
        if is_own and isinstance(answer, commands.ProgressSaved):
            for each in under_way.saves:
                each.end(answer.kept_by(each.progress.item_id))
        else:
            _end(under_way.saves)

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
            runner.items.finished(batch_id, command.finished_ids())
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
            last = self.made_by_data[each.parts[-1]]
            assert each.last_number == last.number, "the last number is another's"
        for result in kept.results:
            self._check_text(result.text.split(b"\n"), result.versions)

    def _check_text(self, parts: Iterable[bytes], versions: Iterable[int]) -> None:
        made = []
        before = None
        for data in parts:
            made.append(self.made_by_data[data])
            assert made[-1].after == before, f"{data!r} after {before!r}"
            before = data
        assert set(versions) == {each.version for each in made}, "other versions"

    def settle(self) -> None:
        """Let the trouble end: all texts go on once more, and are kept as they are.

        A late save may have replaced what was kept; the next save of the text finds
        out, and the one after it mends it.
        """
        self.is_quiet = True
        self.run(5.0)
        for _, opened in self._led():
            for run in opened.waiting_runs():
                self._generate(run.text)
        self.run(2.0)
        for host, opened in self._led():
            kept = _section(host).batches_by_id[opened.batch.batch_id]
            for run in opened.waiting_runs():
                progress = kept.progress_by_item_id.get(run.item.item_id)
                parts = list(progress.parts) if progress else []
                assert parts == run.text.parts, (
                    f"{len(parts)} of {len(run.text.parts)} events"
                )
                self.n_caught_up += 1

    def _led(self) -> list[tuple[group_hosts.Host, work.OpenBatch]]:
        """Return the open batches of the host that leads and knows it."""
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


def _end(saves: list[texts.Save]) -> None:
    for each in saves:
        each.end(0)


def _accept(batch_id: str) -> commands.AcceptBatch:
    items = tuple(model.Item(f"i{n}", "/p/x", {}, b"", 1) for n in range(N_ITEMS))
    data = model.pack_batch(model.Batch(batch_id, "h", items))
    return commands.AcceptBatch(
        batch_id, N_ITEMS, data, promise_group.RETENTION_SECONDS
    )
