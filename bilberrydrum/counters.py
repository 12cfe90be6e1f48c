"""The process's metrics, in prometheus_client's default registry."""

from typing import Final

import prometheus_client

from bilberrydrum import reasons

REFUSALS: Final = prometheus_client.Counter(
    "bilberrydrum_refusals_total", "Requests refused, by reason.", ["reason"]
)
RETRIES: Final = prometheus_client.Counter(
    "bilberrydrum_retries_total", "Attempts made again, by reason.", ["reason"]
)
DROPS: Final = prometheus_client.Counter(
    "bilberrydrum_drops_total", "Messages and results dropped, by reason.", ["reason"]
)
REQUESTS: Final = prometheus_client.Counter(
    "bilberrydrum_requests_total", "Answers to callers.", ["kind", "status"]
)
TRAINER_IDLE_SECONDS: Final = prometheus_client.Counter(
    "bilberrydrum_trainer_idle_seconds_total",
    "Time trainers spent waiting for a batch.",
    ["trainer"],
)
SAMPLE_STALENESS: Final = prometheus_client.Histogram(
    "bilberrydrum_sample_staleness_versions",
    "Versions between the newest published and the oldest in a delivered sample.",
    ["trainer"],
    buckets=(0, 1, 2, 3, 4, 6, 8, 12, 16),
)
BUNDLE_VERSION: Final = prometheus_client.Gauge(
    "bilberrydrum_bundle_version", "The bundle version in force at this gateway."
)


BROKEN_RUNS: Final = prometheus_client.Counter(
    "bilberrydrum_broken_runs_total",
    "Runs that broke off at an upstream, by whether it had ended.",
    ["upstream"],
)
USAGE_LOST: Final = prometheus_client.Counter(
    "bilberrydrum_usage_lost_requests_total",
    "Begun requests that are in no report, by why.",
    ["why"],
)
USAGE_REPORTS: Final = prometheus_client.Counter(
    "bilberrydrum_usage_reports_total",
    "Reports of use that were sent, by the answer's status.",
    ["status"],
)
USAGE_PENDING: Final = prometheus_client.Gauge(
    "bilberrydrum_usage_pending_windows",
    "Closed windows whose report is not confirmed, at the control leader.",
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
SCORING_SECONDS: Final = prometheus_client.Histogram(
    "bilberrydrum_scoring_seconds",
    "Time of one scoring request, its attempts at several upstreams together.",
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
    "Time of a call to the leader of a group, all tries together.",
    ["message", "outcome"],
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2),
)
LOG_LINES_DROPPED: Final = prometheus_client.Counter(
    "bilberrydrum_log_lines_dropped_total", "Log lines that did not fit in the queue."
)


def refused(reason: reasons.Reason) -> None:
    """Count one refusal."""
    REFUSALS.labels(reason.value).inc()


def retried(reason: reasons.Reason) -> None:
    """Count one attempt that is made again."""
    RETRIES.labels(reason.value).inc()


def dropped(reason: reasons.Reason) -> None:
    """Count one dropped message or result."""
    DROPS.labels(reason.value).inc()
