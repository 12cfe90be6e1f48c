"""The process's metrics, in prometheus_client's default registry."""

from typing import Final

import prometheus_client

from bilberrydrum import reasons

REFUSALS: Final = prometheus_client.Counter(
    "bilberrydrum_refusals_total", "Refused requests, by reason.", ["reason"]
)
RETRIES: Final = prometheus_client.Counter(
    "bilberrydrum_retries_total", "Retries of attempts, by reason.", ["reason"]
)
DROPS: Final = prometheus_client.Counter(
    "bilberrydrum_drops_total", "Dropped messages and results, by reason.", ["reason"]
)
REQUESTS: Final = prometheus_client.Counter(
    "bilberrydrum_requests_total",
    "Answers to callers, by HTTP status.",
    ["kind", "status"],
)
TRAINER_IDLE_SECONDS: Final = prometheus_client.Counter(
    "bilberrydrum_trainer_idle_seconds_total",
    "Time in seconds that trainers have waited for a batch.",
    ["trainer"],
)
SAMPLE_STALENESS: Final = prometheus_client.Histogram(
    "bilberrydrum_sample_staleness_versions",
    "Weight versions between the newest published and the oldest one in a sample.",
    ["trainer"],
    buckets=(0, 1, 2, 3, 4, 6, 8, 12, 16),
)
BUNDLE_VERSION: Final = prometheus_client.Gauge(
    "bilberrydrum_bundle_version", "The bundle version in force at this gateway."
)


BROKEN_RUNS: Final = prometheus_client.Counter(
    "bilberrydrum_broken_runs_total",
    "Runs cut off at an upstream that had crashed (ended) or still runs (stands).",
    ["upstream"],
)
USAGE_LOST: Final = prometheus_client.Counter(
    "bilberrydrum_usage_lost_requests_total",
    "Started requests that are missing from all usage reports, by cause.",
    ["why"],
)
USAGE_REPORTS: Final = prometheus_client.Counter(
    "bilberrydrum_usage_reports_total",
    "Usage reports that were sent, by the answer's status.",
    ["status"],
)
USAGE_PENDING: Final = prometheus_client.Gauge(
    "bilberrydrum_usage_pending_windows",
    "Closed windows whose usage report is not confirmed, at the control leader.",
)
UPSTREAM_OBSERVATIONS: Final = prometheus_client.Counter(
    "bilberrydrum_upstream_observations_total",
    "Failures and answers of upstreams exchanged with other gateways.",
    ["outcome"],
)
RELAY_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_relay_seconds",
    "Time from a request's arrival to its answer.",
    ["outcome"],
    buckets=(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2),
)
ITEM_ATTEMPT_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_item_attempt_seconds",
    "Time of one attempt to run an item of a batch.",
    ["outcome"],
    buckets=(0.1, 0.25, 0.5, 1, 2, 4, 8, 16),
)
ITEM_MOVES: Final = prometheus_client.Counter(
    "bilberrydrum_item_moves_total",
    "Running items of batches that were moved to a faster engine.",
)
SCORING_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_scoring_seconds",
    "Time of one scoring request, including all its attempts.",
    ["outcome"],
    buckets=(0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2),
)
COMMIT_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_commit_seconds",
    "Time from a command's proposal at the leader to its application.",
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2),
)
LEADER_CALL_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_leader_call_seconds",
    "Time of a call to the leader of a group, including all attempts.",
    ["message", "outcome"],
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2),
)
WEIGHT_LOADS: Final = prometheus_client.Counter(
    "bilberrydrum_weight_loads_total",
    "Loads of weights that were ordered, by why the engine was chosen.",
    ["reason"],
)
STEP_INTERVAL_SECONDS: Final = prometheus_client.Gauge(
    "bilberrydrum_step_interval_seconds",
    "Interval at which a model's trainer submits steps when it is not behind.",
    ["model"],
)
TRAINER_LAG_SECONDS: Final = prometheus_client.Gauge(
    "bilberrydrum_trainer_lag_seconds",
    "How far a model's trainer is behind its step interval.",
    ["model"],
)
MODEL_ENGINES: Final = prometheus_client.Gauge(
    "bilberrydrum_model_engines", "Engines that are assigned to a model.", ["model"]
)
TASK_ERRORS: Final = prometheus_client.Counter(
    "bilberrydrum_task_errors_total",
    "Unexpected errors that a task has survived, by the task's name.",
    ["task"],
)
MALFORMED_MESSAGES: Final = prometheus_client.Counter(
    "bilberrydrum_malformed_messages_total",
    "HTTP messages that were not whole or not well formed, by sender, part and fault.",
    ["sender", "part", "fault"],
)
LOG_LINES_DROPPED: Final = prometheus_client.Counter(
    "bilberrydrum_log_lines_dropped_total", "Log lines dropped as the queue was full."
)


def refused(reason: reasons.Reason) -> None:
    """Count one refusal."""
    REFUSALS.labels(reason.value).inc()


def retried(reason: reasons.Reason) -> None:
    """Count one retry of an attempt."""
    RETRIES.labels(reason.value).inc()


def dropped(reason: reasons.Reason) -> None:
    """Count one dropped message or result."""
    DROPS.labels(reason.value).inc()


def malformed(sender: str, part: str, fault: str) -> None:
    """Count one message of a client or an upstream that was not accepted."""
    MALFORMED_MESSAGES.labels(sender, part, fault).inc()
