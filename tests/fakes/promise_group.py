"""A simulated group that stores batches and registrations, and checks its guarantees.

What a leader has acknowledged must be in the state of every later leader that may
answer: an accepted batch, a complete text that waits for its score, a result at the
position where it was read, the end of a batch (after which no result is added), the
departure of an upstream, and the highest policy version.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.batches import commands as batch_commands
from bilberrydrum.batches import model as batch_model
from bilberrydrum.fleet import commands as fleet_commands
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.state import events, log, membership_planner, node
from tests.fakes import group_hosts, replica_group

RETENTION_SECONDS = 1e9
LOST_SECONDS = 3.0
N_ITEMS = 4


@attrs.define
class Promises:
    """What leaders have acknowledged, and what was read from them."""

    batch_ids: set[str] = attrs.field(factory=set)
    # Complete texts that were stored, by batch and item.
    texts_by_key: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    results_by_batch: dict[str, list[batch_model.Result]] = attrs.field(factory=dict)
    # Number of results of a batch when its end was acknowledged.
    ended_lengths_by_batch: dict[str, int] = attrs.field(factory=dict)
    leaving_ids: set[str] = attrs.field(factory=set)
    policy_version: int = 0


class PromiseGroup(replica_group.Group):
    """A group that proposes random commands and checks its leaders' state."""

    def __init__(self, n_hosts: int, seed: int, n_voters: int = 0) -> None:
        self.promises = Promises()
        self.n_voters = n_voters
        self.leaving: set[str] = set()
        self._proposals: dict[int, object] = {}
        self._accepted: dict[tuple[str, int], tuple[int, object]] = {}
        self._last_proposal = 1_000_000
        self._n_made = 0
        super().__init__(n_hosts, seed)

    def submit(self, client: object, host: group_hosts.Host, number: int = 0) -> None:
        command = self._draw()
        self._last_proposal += 1
        self._proposals[self._last_proposal] = command
        item = (log.KIND_LOCAL, codec.encode(command))
        self.step(host, events.Propose((item,), self.now, self._last_proposal))

    def _draw(self) -> object:
        self._n_made += 1
        batch_id = f"b{self.random.randrange(4)}"
        item_id = f"i{self.random.randrange(N_ITEMS)}"
        upstream_id = f"u{self.random.randrange(3)}"
        makers = (
            lambda: _accept(batch_id),
            lambda: batch_commands.FinishItems(
                batch_id, (_result(item_id, self._n_made),)
            ),
            lambda: batch_commands.FinishItems(
                batch_id, (_result(item_id, self._n_made),)
            ),
            lambda: batch_commands.FinishItems(
                batch_id, unscored=(_result(item_id, self._n_made),)
            ),
            lambda: batch_commands.FinishItems(
                batch_id, scores=(batch_commands.Score(item_id, f"s{self._n_made}"),)
            ),
            lambda: batch_commands.EndBatch(batch_id),
            lambda: fleet_commands.PutUpstream(
                _upstream(upstream_id, self._n_made, self.random.random() < 0.2)
            ),
            lambda: fleet_commands.PutPolicy(
                policy.Policy(self.random.randrange(self._n_made + 1)), b""
            ),
        )
        return self.random.choice(makers)()

    def _carry_out(self, host: group_hosts.Host, effect: object) -> None:
        if isinstance(effect, events.Accepted) and effect.ticket in self._proposals:
            command = self._proposals.pop(effect.ticket)
            self._accepted[host.name, effect.first_index] = (effect.term, command)
        super()._carry_out(host, effect)

    def _commit(self, host: group_hosts.Host, entry: log.Entry) -> None:
        super()._commit(host, entry)
        accepted = self._accepted.pop((host.name, entry.index), None)
        if accepted is not None and accepted[0] == entry.term:
            self._acknowledge(host, accepted[1])

    def _acknowledge(self, host: group_hosts.Host, command: object) -> None:
        promises = self.promises
        batches = batch_commands.section_of(host.applied.state).batches_by_id
        if isinstance(command, batch_commands.AcceptBatch):
            promises.batch_ids.add(command.batch_id)
        elif isinstance(command, batch_commands.FinishItems):
            for text in command.unscored:
                if command.batch_id in batches:
                    promises.texts_by_key[command.batch_id, text.item_id] = text.text
        elif isinstance(command, batch_commands.EndBatch):
            kept = batches.get(command.batch_id)
            if kept is not None:
                n_results = len(kept.results)
                promises.ended_lengths_by_batch.setdefault(kept.batch_id, n_results)
        elif isinstance(command, fleet_commands.PutUpstream):
            if command.upstream.is_leaving and self._is_known(host, command):
                promises.leaving_ids.add(command.upstream.upstream_id)
        elif isinstance(command, fleet_commands.PutPolicy):
            version = command.policy.version
            promises.policy_version = max(promises.policy_version, version)

    @staticmethod
    def _is_known(host: group_hosts.Host, command: fleet_commands.PutUpstream) -> bool:
        section = fleet_commands.section_of(host.applied.state)
        known = section.upstreams_by_id.get(command.upstream.upstream_id)
        return known is not None and known.is_leaving

    def kill(self, host: group_hosts.Host) -> None:
        """Kill a host's process, perhaps during a write; the host keeps its power."""
        if host.jobs:
            self.stop_writing(host, self.random.randrange(6))
            host.disk.fails_at = None
        self._accepted = {
            key: accepted
            for key, accepted in self._accepted.items()
            if key[0] != host.name
        }
        self.start(host)

    def check(self) -> None:
        super().check()
        for host in self.hosts_by_name.values():
            if host.is_up and self._may_answer(host):
                self._check_batches(host)
                self._check_fleet(host)

    def _may_answer(self, host: group_hosts.Host) -> bool:
        role = host.replica_core.node.role
        is_leader = isinstance(role, node.Leader) and self._has_lease(host)
        return is_leader and host.applied.index >= role.first_index

    def _check_batches(self, host: group_hosts.Host) -> None:
        promises = self.promises
        kept_by_id = batch_commands.section_of(host.applied.state).batches_by_id
        for batch_id in promises.batch_ids:
            assert batch_id in kept_by_id, f"accepted batch {batch_id} is missing"
        for batch_id, kept in kept_by_id.items():
            read = promises.results_by_batch.setdefault(batch_id, [])
            assert kept.results[: len(read)] == read, f"results of {batch_id} changed"
            read[:] = kept.results
            item_ids = [each.item_id for each in kept.results]
            assert len(set(item_ids)) == len(item_ids), "an item is listed twice"
            self._check_texts(kept)
            n_ended = promises.ended_lengths_by_batch.get(batch_id)
            assert n_ended in (None, len(read)), f"{batch_id} grew after its end"

    def _check_texts(self, kept: batch_model.KeptBatch) -> None:
        """Check that no stored text was lost: its item would be generated again."""
        finished = kept.finished_ids()
        for batch_id, item_id in self.promises.texts_by_key:
            if batch_id != kept.batch_id or kept.is_ended:
                continue
            is_there = item_id in kept.unscored_by_item_id or item_id in finished
            assert is_there, f"the text of {item_id} of {batch_id} is missing"
        scored = [each for each in kept.results if each.score]
        for each in scored:
            assert each.text, f"{each.item_id} of {kept.batch_id} has only a score"

    def _check_fleet(self, host: group_hosts.Host) -> None:
        section = fleet_commands.section_of(host.applied.state)
        for upstream_id in self.promises.leaving_ids:
            known = section.upstreams_by_id.get(upstream_id)
            assert known is None or known.is_leaving, (
                f"{upstream_id} is no longer leaving"
            )
        assert section.policy.version >= self.promises.policy_version, (
            "the policy version decreased"
        )

    def apply_due_change(self) -> None:
        """Make the change that a leader finds due to keep `n_voters` voters."""
        for host in self.leaders():
            due = self.due_change(host, self._policy(host))
            if due is None:
                continue
            replica_id = host.replica_core.node.replica_id
            if due.kind == "remove" and due.replica.replica_id == replica_id:
                self.transfer_leadership(host)
            else:
                self.change(host, due)

    def _policy(self, host: group_hosts.Host) -> membership_planner.Policy:
        role = host.replica_core.node.role
        assert isinstance(role, node.Leader)
        now = self.time_at(host)
        lost = frozenset(
            replica_id
            for replica_id, progress in role.progress_by_id.items()
            if now - max(progress.last_contact_at, role.since) > LOST_SECONDS
        )
        return membership_planner.Policy(self.n_voters, lost, frozenset(self.leaving))


def _accept(batch_id: str) -> batch_commands.AcceptBatch:
    items = tuple(batch_model.Item(f"i{n}", "/p/x", {}, b"", 1) for n in range(N_ITEMS))
    data = batch_model.pack_batch(batch_model.Batch(batch_id, "h", items))
    return batch_commands.AcceptBatch(batch_id, N_ITEMS, data, RETENTION_SECONDS)


def _result(item_id: str, number: int) -> batch_model.Result:
    text = str(number).encode()
    return batch_model.Result.of(item_id, batch_model.ItemState.COMPLETED, text, (1,))


def _upstream(
    upstream_id: str, sequence: int, is_leaving: bool
) -> fleet_model.FleetUpstream:
    return fleet_model.FleetUpstream(
        upstream_id, "s", upstream_id, "z", 1, is_leaving, sequence=sequence
    )
