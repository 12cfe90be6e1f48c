"""The reasons for refused requests, retried attempts and dropped messages.

The code, the metrics and the documentation share them: each value is a label value of
`bilberrydrum_refusals_total`, `bilberrydrum_retries_total` or
`bilberrydrum_drops_total`, and has an entry in docs/OPERATIONS.md.
"""

import enum


class Reason(enum.StrEnum):
    """One reason; its value is used in metrics and problem documents."""

    # Refusals of the HTTP edge, for what it finds in the request itself.
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    HEAD_TRUNCATED = "head-truncated"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    MEMORY_FULL = "memory-full"
    READ_TIMEOUT = "read-timeout"
    BODY_TRUNCATED = "body-truncated"
    INVALID_JSON = "invalid-json"
    INVALID_REQUEST = "invalid-request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    INTERNAL_ERROR = "internal-error"

    # Refusals by admission, routing and idempotency keys.
    SHUTTING_DOWN = "shutting-down"
    BUNDLE_LEASE_EXPIRED = "bundle-lease-expired"
    NO_BUNDLE = "no-bundle"
    STATE_UNAVAILABLE = "state-unavailable"
    CALLER_NOT_ALLOWED = "caller-not-allowed"
    MODEL_UNKNOWN = "model-unknown"
    APPLICATION_UNKNOWN = "application-unknown"
    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    BATCH_QUEUE_FULL = "batch-queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    KEY_IN_PROGRESS = "key-in-progress"
    CLAIM_LAPSED = "claim-lapsed"
    KEYS_FULL = "keys-full"
    RESULT_NOT_KEPT = "result-not-kept"
    OUTCOME_UNKNOWN = "outcome-unknown"
    CALLER_GONE = "caller-gone"
    REQUEST_DOUBTFUL = "request-doubtful"
    REQUEST_QUARANTINED = "request-quarantined"

    # Failures of one attempt at an upstream, which may be retried.
    CONNECT_FAILED = "connect-failed"
    CONNECTION_RESET = "connection-reset"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_ERROR = "upstream-error"
    UPSTREAM_BUSY = "upstream-busy"
    UPSTREAM_SLOW = "upstream-slow"
    ADDRESS_REUSED = "address-reused"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MISMATCHED = "answer-mismatched"

    # Refused changes of bundles and of the state group.
    BUNDLE_INVALID = "bundle-invalid"
    BUNDLE_CONFLICT = "bundle-conflict"
    BUNDLE_NOT_SIGNED_OFF = "bundle-not-signed-off"
    BUNDLE_STALE = "bundle-stale"
    BUNDLE_TOO_MANY_DRAFTS = "bundle-too-many-drafts"
    MEMBERSHIP_REFUSED = "membership-refused"
    SNAPSHOT_INVALID = "snapshot-invalid"

    # Dropped messages between processes.
    MESSAGE_UNKNOWN_TYPE = "message-unknown-type"
    MESSAGE_NEWER_VERSION = "message-newer-version"
    MESSAGE_DAMAGED = "message-damaged"
    MESSAGE_WRONG_GROUP = "message-wrong-group"
    MESSAGE_STALE_SENDER = "message-stale-sender"
    PEER_UNREACHABLE = "peer-unreachable"

    # Refused announcements and renewals of upstreams.
    ANNOUNCEMENT_STALE = "announcement-stale"
    UPSTREAM_LEFT = "upstream-left"

    # Refusals and failures of samples and weight orders.
    TRAINER_UNKNOWN = "trainer-unknown"
    READER_SUPERSEDED = "reader-superseded"
    BATCH_NOT_READY = "batch-not-ready"
    CURSOR_INVALID = "cursor-invalid"
    GROUP_CONFLICT = "group-conflict"
    EPOCH_STALE = "epoch-stale"
    SAMPLE_STALE = "sample-stale"
    SAMPLE_UNTRACEABLE = "sample-untraceable"
    PAYLOAD_LOST = "payload-lost"
    ATTEMPT_SUPERSEDED = "attempt-superseded"
    SCORER_FAILED = "scorer-failed"
    ORDER_FAILED = "order-failed"
    ORDER_FENCED = "order-fenced"
