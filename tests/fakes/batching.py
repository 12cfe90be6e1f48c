"""Continuous batching, as a model engine does it: one token per stream and step.

Each step generates one token for every running stream, with the weight version in use
at that step. A stream that ends or is cancelled frees its run slot for the waiting
stream with the lowest priority value. A stream whose prompt's prefix is not cached
first takes extra steps.
"""

import collections
import heapq
import itertools
import random
from typing import Final

from bilberrydrum import runtime

runtime.prepare()

import attrs
import eventlet
from eventlet import queue

from tests.fakes import tokens

# Shape of the Pareto distribution of lengths; a smaller value gives a heavier tail.
LENGTH_SHAPE: Final = 1.4
# Share of the KV cache that one running stream uses.
MEMORY_PER_STREAM: Final = 0.04


@attrs.frozen
class TokenEvent:
    """The tokens that one event of a stream contains."""

    token_ids: tuple[int, ...]
    weight_version: int
    finish_reason: str | None


@attrs.define(eq=False)
class Stream:
    """One generation."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    n_generated: int
    # Total number of tokens it would have. If it is more than `max_tokens`, the stream
    # ends there with the finish reason "length".
    length: int
    prefill_steps: int = 0
    is_cancelled: bool = False
    # Simulated fault: number of versions by which it is ahead of the one in use.
    n_versions_ahead: int = 0
    events: queue.LightQueue = attrs.field(factory=queue.LightQueue)
    # Tokens generated and not yet sent, all of one version.
    pending: list[int] = attrs.field(factory=list)
    pending_version: int = -1


@attrs.define
class Settings:
    """Parameters of an engine; all of them may be changed while it runs."""

    step_seconds: float
    max_concurrency: int
    max_waiting: int
    tokens_per_event: int
    median_length: int
    prefill_steps: int
    cache_size: int


class PrefixCache:
    """The prompt prefixes in memory, with least-recently-used eviction."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._used: collections.OrderedDict[str, None] = collections.OrderedDict()
        # Changes since the last call of `take_changes`.
        self.changes: list[dict[str, str]] = []

    def use(self, prefix: str) -> bool:
        """Store a prefix or mark it as used; return whether it was in memory."""
        if prefix in self._used:
            self._used.move_to_end(prefix)
            return True
        self._used[prefix] = None
        self.changes.append({"kind": "stored", "prefix": prefix})
        if len(self._used) > self._size:
            removed, _ = self._used.popitem(last=False)
            self.changes.append({"kind": "removed", "prefix": removed})
        return False

    def take_changes(self) -> list[dict[str, str]]:
        """Return and clear the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes


class Batcher:
    """Runs the steps of one engine.

    Parameters
    ----------
    settings : Settings
        Parameters of the engine.
    versions_by_model : dict
        The weight version in use, by model; read again at each step.
    seed : int
        Seed of the random lengths.
    """

    def __init__(
        self, settings: Settings, versions_by_model: dict[str, int], seed: int
    ) -> None:
        self.settings = settings
        self.n_tokens = 0
        self.tokens_per_second = 0.0
        self.running: list[Stream] = []
        self.cache = PrefixCache(settings.cache_size)
        self._versions = versions_by_model
        self._waiting: list[tuple[int, int, Stream]] = []
        self._order = itertools.count()
        self._random = random.Random(seed)
        self._wake = eventlet.Event()

    @property
    def n_waiting(self) -> int:
        """Return the number of streams that wait for a run slot."""
        return len(self._waiting)

    @property
    def kv_cache_used(self) -> float:
        """Return the share of the KV cache in use."""
        return min(1.0, MEMORY_PER_STREAM * len(self.running))

    def is_full(self) -> bool:
        """Return whether a new stream would be refused."""
        n_streams = len(self.running) + len(self._waiting)
        settings = self.settings
        return n_streams >= settings.max_concurrency + settings.max_waiting

    def submit(
        self,
        request_id: str,
        model: str,
        prompt: str,
        max_tokens: int,
        priority: int,
        n_generated: int,
    ) -> Stream:
        """Queue a generation that continues after `n_generated` tokens."""
        stream = Stream(
            request_id,
            model,
            prompt,
            max_tokens,
            priority,
            n_generated,
            n_generated + self._draw_length(),
        )
        entry = (priority, next(self._order), stream)
        heapq.heappush(self._waiting, entry)
        if not self._wake.ready():
            self._wake.send()
        return stream

    def run(self) -> None:
        """Run steps forever."""
        while True:
            self._admit()
            if not self.running:
                self.tokens_per_second = 0.0
                self._wake.wait()
                self._wake = eventlet.Event()
                continue
            eventlet.sleep(self.settings.step_seconds)
            self._step()

    def _admit(self) -> None:
        """Assign free run slots to waiting streams."""
        while self._waiting and len(self.running) < self.settings.max_concurrency:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.is_cancelled:
                continue
            is_cached = self.cache.use(tokens.prefix_digest(stream.prompt))
            stream.prefill_steps = 0 if is_cached else self.settings.prefill_steps
            self.running.append(stream)

    def _step(self) -> None:
        self.running = [s for s in self.running if not s.is_cancelled]
        n_before = self.n_tokens
        for stream in self.running:
            self._advance(stream)
        rate = (self.n_tokens - n_before) / max(self.settings.step_seconds, 1e-6)
        self.tokens_per_second = 0.8 * self.tokens_per_second + 0.2 * rate
        self.running = [s for s in self.running if not s.is_cancelled]

    def _advance(self, stream: Stream) -> None:
        """Generate one token, or process one step of the prompt."""
        if stream.prefill_steps > 0:
            stream.prefill_steps -= 1
            return
        version = self._versions[stream.model] + stream.n_versions_ahead
        if stream.pending and stream.pending_version != version:
            self._send(stream, None)
        stream.pending_version = version
        stream.n_generated += 1
        self.n_tokens += 1
        is_last = stream.n_generated >= stream.length
        stream.pending.append(
            tokens.END_TOKEN_ID
            if is_last
            else tokens.token_id(stream.prompt, version, stream.n_generated - 1)
        )
        if is_last:
            self._send(stream, "stop")
        elif stream.n_generated >= stream.max_tokens:
            self._send(stream, "length")
        elif len(stream.pending) >= self.settings.tokens_per_event:
            self._send(stream, None)

    def _send(self, stream: Stream, finish_reason: str | None) -> None:
        event = TokenEvent(tuple(stream.pending), stream.pending_version, finish_reason)
        stream.pending.clear()
        stream.events.put(event)
        if finish_reason is not None:
            # The answer is complete, so the run slot is freed.
            stream.is_cancelled = True

    def _draw_length(self) -> int:
        """Draw a length from a heavy-tailed distribution."""
        scale = self._random.paretovariate(LENGTH_SHAPE) / 2 ** (1 / LENGTH_SHAPE)
        return max(1, round(self.settings.median_length * scale))
