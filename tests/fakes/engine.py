"""A fake model engine.

It announces itself, streams tokens whose ids encode the weight version that generated
them, loads weights from the weight store and swaps them while streams run. Faults are
switched on at ``POST /control``: see `faults.EngineFaults`.
"""

import argparse
import collections
import json
import os
from collections.abc import Iterator
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import attrs
import eventlet
from eventlet import queue

from tests.fakes import (
    announcer,
    batching,
    faults,
    gateways,
    journal,
    orders,
    server,
    tokens,
)

# Exit code of a requested crash.
CRASH_CODE: Final = 17
# Time without a token after which a stream is stopped.
STREAM_TIMEOUT_SECONDS: Final = 300.0
# Number of load values kept, so that the load can be reported late.
N_LOADS: Final = 8


class ConnectionDropError(Exception):
    """Raised to end a stream without its last chunk."""


class Engine:
    """One engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.faults = faults.EngineFaults()
        self.journal = journal.Journal(options.journal)
        client = gateways.GatewayClient(
            options.gateway, options.token_file, options.seed
        )
        self.announcer = announcer.Announcer(
            options.id, client, self.announcement, self.renewal
        )
        self.orders = orders.Orders(
            options.models,
            options.weight_version,
            options.checks_fencing,
            options.swap_seconds,
            self.faults,
            self.journal,
            self.announcer.renew_now,
        )
        self.settings = batching.Settings(
            step_seconds=options.step_seconds,
            max_concurrency=options.max_concurrency,
            max_waiting=options.max_waiting,
            tokens_per_event=options.tokens_per_event,
            median_length=options.median_length,
            prefill_steps=options.prefill_steps,
            cache_size=options.cache_size,
        )
        self.batcher = batching.Batcher(
            self.settings, self.orders.versions_by_model, options.seed
        )
        self._loads: collections.deque[dict[str, Any]] = collections.deque(
            [self._load_now()], N_LOADS
        )

    # Announcements and reports.

    def announcement(self) -> dict[str, Any]:
        """Return the current announcement."""
        return {
            "kind": "engine",
            "address": f"127.0.0.1:{self.options.port}",
            "availability_zone": self.options.zone,
            "max_concurrency": self.settings.max_concurrency,
            "checks_fencing": self.options.checks_fencing,
            "can_resume": not self.options.cannot_resume,
            **self.renewal(),
        }

    def renewal(self) -> dict[str, Any]:
        """Return a renewal; its load is as old as the configured lag."""
        return {
            "load": self._loads[0],
            "models": self.orders.models(),
            "role": self.orders.role,
        }

    def _load_now(self) -> dict[str, Any]:
        return {
            "n_running": len(self.batcher.running),
            "n_waiting": self.batcher.n_waiting,
            "kv_cache_used": self.batcher.kv_cache_used,
            "tokens_per_second": self.batcher.tokens_per_second,
        }

    def record_load(self) -> None:
        """Record the load at intervals, so that reports can be late."""
        while True:
            eventlet.sleep(self.options.load_lag_seconds / N_LOADS)
            self._loads.append(self._load_now())

    def publish_cache_events(self) -> None:
        """Send cache events late and with gaps."""
        sequence = 0
        while True:
            eventlet.sleep(self.options.cache_event_seconds)
            events = self.batcher.cache.take_changes()
            if not events:
                continue
            sequence += 1
            every = self.options.cache_event_gap
            if not every or sequence % every:
                self.announcer.send_cache_events(sequence, events)

    # Generation.

    def complete(self, request: server.Request) -> server.Answer:
        """Serve ``POST /v1/completions``."""
        body = request.json()
        model = body["model"]
        adapter = body.get("adapter", "")
        if model not in self.orders.versions_by_model:
            return server.Answer(404, {"error": f"no model {model}"})
        if adapter and adapter not in self.orders.adapters_by_model[model]:
            return server.Answer(404, {"error": f"no adapter {adapter}"})
        if self.orders.role != "generate" or self.batcher.is_full():
            busy = (("Retry-After", "1"),)
            return server.Answer(503, {"error": "busy"}, headers=busy)
        stream = self.batcher.submit(
            request.headers.get("x-request-id", ""),
            model,
            body["prompt"],
            int(body.get("max_tokens", 64)),
            int(body.get("priority", 0)),
            len(body.get("resume_token_ids") or []),
        )
        if body.get("stream"):
            return server.Answer(events=self._events(stream))
        return self._complete_answer(stream)

    def _generated_events(
        self, stream: batching.Stream
    ) -> Iterator[batching.TokenEvent]:
        """Yield the generated events of a stream; closing the generator cancels it."""
        first = stream.n_generated
        segments: list[list[int]] = []
        finish = "cancelled"
        try:
            while True:
                generated = stream.events.get(timeout=STREAM_TIMEOUT_SECONDS)
                segments.append(
                    [generated.weight_version, first, len(generated.token_ids)]
                )
                first += len(generated.token_ids)
                yield generated
                if generated.finish_reason is not None:
                    finish = generated.finish_reason
                    return
        except queue.Empty:
            finish = "stalled"
        finally:
            stream.is_cancelled = True
            self.journal.write(
                "stream", id=stream.request_id, finish=finish, segments=segments
            )

    def _event(
        self, stream: batching.Stream, request_id: str, generated: batching.TokenEvent
    ) -> dict[str, Any]:
        return {
            "id": request_id,
            "model": stream.model,
            "choices": [
                {
                    "index": 0,
                    "text": tokens.text_of(generated.token_ids),
                    "token_ids": list(generated.token_ids),
                    "finish_reason": generated.finish_reason,
                }
            ],
            "weight_version": generated.weight_version,
        }

    def _events(self, stream: batching.Stream) -> Iterator[bytes]:
        is_reset = self.faults.take("reset_streams")
        is_cut = self.faults.take("cut_streams")
        is_versionless = self.faults.take("hide_versions")
        request_id = stream.request_id
        if is_versionless:
            stream.n_versions_ahead = 1
        if self.faults.take("wrong_ids"):
            request_id = f"{request_id}-of-another"
            stream.prompt = f"{stream.prompt} of another"
        for generated in self._generated_events(stream):
            event = self._event(stream, request_id, generated)
            if is_versionless:
                del event["weight_version"]
            yield f"data: {json.dumps(event)}\n\n".encode()
            if is_cut:
                return
            if is_reset:
                raise ConnectionDropError
        if self.faults.take("crash_at_ends"):
            self.journal.write("crash", running=[stream.request_id])
            os._exit(CRASH_CODE)
        if self.faults.take("lose_ends"):
            raise ConnectionDropError
        yield b"data: [DONE]\n\n"

    def _complete_answer(self, stream: batching.Stream) -> server.Answer:
        """Answer without a stream; the version is that of the oldest token."""
        generated = list(self._generated_events(stream))
        token_ids = tuple(i for part in generated for i in part.token_ids)
        version = min(part.weight_version for part in generated)
        event = batching.TokenEvent(token_ids, version, generated[-1].finish_reason)
        return server.Answer(value=self._event(stream, stream.request_id, event))

    # Control by the test or the demo.

    def watch_crash(self) -> None:
        """Crash in the middle of the running streams once the limit is reached."""
        while True:
            eventlet.sleep(0.005)
            limit = self.faults.crash_after_tokens
            if 0 <= limit <= self.batcher.n_tokens and self.batcher.running:
                ids = [stream.request_id for stream in self.batcher.running]
                self.journal.write("crash", running=ids)
                os._exit(CRASH_CODE)

    def control(self, request: server.Request) -> server.Answer:
        """Switch faults on or off; an empty object only reports."""
        for name, value in request.json().items():
            if not hasattr(self.faults, name):
                return server.Answer(400, {"error": f"no fault {name}"})
            if name == "crash_after_tokens" and value >= 0:
                value += self.batcher.n_tokens
            setattr(self.faults, name, value)
        self.settings.step_seconds = self.options.step_seconds * self.faults.slowness
        return server.Answer(
            value={
                "faults": attrs.asdict(self.faults),
                "n_running": len(self.batcher.running),
                "n_waiting": self.batcher.n_waiting,
                "n_tokens": self.batcher.n_tokens,
                "models": self.orders.models(),
                "role": self.orders.role,
                "fencing_number": self.orders.fencing_number,
            }
        )

    def stop(self) -> None:
        """Leave, wait a limited time for streams to end, and exit."""
        self.announcer.leave()
        with eventlet.Timeout(self.options.leave_seconds, False):
            while self.batcher.running or self.batcher.n_waiting:
                eventlet.sleep(0.05)
        os._exit(0)

    def run(self) -> None:
        """Serve until terminated."""
        server.on_terminate(self.stop)
        for task in (
            self.batcher.run,
            self.announcer.run,
            self.record_load,
            self.publish_cache_events,
            self.watch_crash,
        ):
            eventlet.spawn(task)
        serving = server.Server()
        serving.add("POST", "/v1/completions", self.complete)
        serving.add("POST", "/orders", self.orders.serve)
        serving.add("POST", "/control", self.control)
        serving.serve(self.options.port)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    announcer.add_options(parser)
    parser.add_argument("--models", nargs="+", default=["planner"])
    parser.add_argument("--weight-version", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--step-seconds", type=float, default=0.02)
    parser.add_argument("--max-concurrency", type=int, default=16)
    parser.add_argument("--max-waiting", type=int, default=64)
    parser.add_argument("--tokens-per-event", type=int, default=4)
    parser.add_argument("--median-length", type=int, default=24)
    parser.add_argument("--prefill-steps", type=int, default=4)
    parser.add_argument("--cache-size", type=int, default=32)
    parser.add_argument("--cache-event-seconds", type=float, default=1.0)
    parser.add_argument(
        "--cache-event-gap",
        type=int,
        default=5,
        help="each such number of cache reports is lost; 0: none",
    )
    parser.add_argument("--load-lag-seconds", type=float, default=1.0)
    parser.add_argument("--swap-seconds", type=float, default=0.05)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--cannot-resume", action="store_true")
    return parser


if __name__ == "__main__":
    Engine(_parser().parse_args()).run()
