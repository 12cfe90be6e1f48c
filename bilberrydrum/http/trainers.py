"""The trainers' interface, and the operators' view of trainers and samples."""

import re
from typing import Any, Final

import result

from bilberrydrum import findings, problems, reasons
from bilberrydrum.http import edge
from bilberrydrum.samples import commands, delivery, model, queries, service

MAX_GROUPS: Final = 4096
MAX_SLOTS: Final = 1024
MAX_TOKENS: Final = 1_000_000
MAX_BATCH: Final = 65_536
_GROUP_ID: Final = re.compile(r"[A-Za-z0-9._:-]{1,128}")


def add_routes(target: edge.Edge, samples: service.SampleService) -> None:
    """Add the trainers' routes, and the operators' routes for trainers, to `target`."""
    routes = _Routes(samples)
    target.add("POST", "/v1/trainers/{trainer}/readers", routes.open_reader)
    target.add("POST", "/v1/trainers/{trainer}/groups", routes.add_groups)
    target.add("GET", "/v1/trainers/{trainer}/batches", routes.read_batch)
    operator = edge.GUARD_OPERATOR
    target.add("GET", "/v1/trainers", routes.list_trainers, operator)
    target.add("GET", "/v1/trainers/{trainer}", routes.show_trainer, operator)
    target.add("GET", "/v1/samples/{sample_id...}", routes.trace, operator)


class _Routes:
    def __init__(self, samples: service.SampleService) -> None:
        self._samples = samples

    def open_reader(self, request: edge.Request) -> edge.Response:
        trainer = self._trainer(request)
        reader: commands.Reader = _unwrap(self._samples.open_reader(trainer))
        answer = {"reader_epoch": reader.reader_epoch, "cursor": reader.cursor}
        return edge.Response.of_json(answer, 201)

    def add_groups(self, request: edge.Request) -> edge.Response:
        trainer = self._trainer(request)
        max_prompt_bytes = self._samples.options.samples.max_prompt_bytes
        groups = parse_groups(request.json(), max_prompt_bytes)
        added: commands.GroupsAdded = _unwrap(self._samples.add_groups(trainer, groups))
        answer = {"n_accepted": added.n_accepted, "n_known": added.n_known}
        return edge.Response.of_json(answer, 202)

    def read_batch(self, request: edge.Request) -> edge.Response:
        trainer = self._trainer(request)
        max_wait = self._samples.options.samples.max_wait_seconds
        wait = request.query_number("wait_seconds", 0.0)
        batch_request = delivery.BatchRequest(
            trainer,
            _query_integer(request, "reader_epoch", 1, None),
            _query_integer(request, "cursor", 0, None),
            _query_integer(request, "n_samples", 1, MAX_BATCH),
            min(max(0.0, wait), max_wait),
        )
        delivered: delivery.Delivery = _unwrap(self._samples.read_batch(batch_request))
        return edge.Response.of_json(batch_body(trainer, delivered))

    def list_trainers(self, request: edge.Request) -> edge.Response:
        trainers: queries.Trainers = _unwrap(self._samples.trainers())
        listed = [_status_body(each) for each in trainers.trainers]
        return edge.Response.of_json({"trainers": listed})

    def show_trainer(self, request: edge.Request) -> edge.Response:
        name = request.variables["trainer"]
        trainers: queries.Trainers = _unwrap(self._samples.trainers())
        for each in trainers.trainers:
            if each.trainer == name:
                return edge.Response.of_json(_status_body(each))
        raise edge.refuse(404, reasons.Reason.TRAINER_UNKNOWN, name)

    def trace(self, request: edge.Request) -> edge.Response:
        sample_id = request.variables["sample_id"]
        parts = sample_id.split("/")
        if len(parts) != 3 or not parts[2].isdecimal():
            detail = "a sample id must have the form TRAINER/GROUP/SLOT"
            raise edge.refuse(400, reasons.Reason.INVALID_REQUEST, detail)
        trainer, group_id, slot = parts
        trace: queries.Trace = _unwrap(
            self._samples.trace(trainer, group_id, int(slot))
        )
        if not trace.state:
            raise edge.refuse(404, reasons.Reason.NOT_FOUND, sample_id)
        return edge.Response.of_json(_trace_body(trace))

    def _trainer(self, request: edge.Request) -> str:
        name = request.variables["trainer"]
        _unwrap(self._samples.rule(name))
        return name


def _unwrap(answer: result.Result[Any, problems.Problem]) -> Any:
    if answer.is_err():
        raise problems.ProblemError(answer.unwrap_err())
    return answer.unwrap()


def _query_integer(
    request: edge.Request, name: str, least: int, most: int | None
) -> int:
    text = request.query(name)
    value = int(text) if text.isdecimal() and len(text) < 19 else -1
    if value < least or (most is not None and value > most):
        limits = f"{least} or more" if most is None else f"{least} to {most}"
        raise edge.refuse(
            400,
            reasons.Reason.INVALID_REQUEST,
            f"query parameter {name}: an integer, {limits}, is required",
        )
    return value


def parse_groups(
    body: dict[str, Any], max_prompt_bytes: int
) -> tuple[model.GroupRequest, ...]:
    """Return the groups in a request's body; refuse it with all errors if invalid."""
    listed = body.get("groups")
    if not isinstance(listed, list) or not 1 <= len(listed) <= MAX_GROUPS:
        detail = f"groups: must be a list of 1 to {MAX_GROUPS} groups"
        raise edge.refuse(400, reasons.Reason.INVALID_REQUEST, detail)
    found: list[findings.Finding] = []
    for i, value in enumerate(listed):
        found += [
            findings.Finding("", 0, 0, f"groups[{i}]: {text}")
            for text in _group_faults(value, max_prompt_bytes)
        ]
    if found:
        raise edge.refuse(
            400,
            reasons.Reason.INVALID_REQUEST,
            f"{len(found)} findings, first: {found[0].message}",
            findings=tuple(found),
        )
    return tuple(
        model.GroupRequest(
            each["group_id"], each["prompt"], each["n_slots"], each["max_tokens"]
        )
        for each in listed
    )


def _group_faults(value: Any, max_prompt_bytes: int) -> list[str]:
    if not isinstance(value, dict):
        return ["must be an object"]
    faults = []
    group_id = value.get("group_id")
    if not isinstance(group_id, str) or not _GROUP_ID.fullmatch(group_id):
        faults.append(f"group_id: text that matches {_GROUP_ID.pattern} is required")
    prompt = value.get("prompt")
    if not isinstance(prompt, str):
        faults.append("prompt: must be a string")
    elif len(prompt.encode(errors="replace")) > max_prompt_bytes:
        faults.append(f"prompt: longer than {max_prompt_bytes} bytes")
    for name, most in (("n_slots", MAX_SLOTS), ("max_tokens", MAX_TOKENS)):
        number = value.get(name)
        if isinstance(number, bool) or not isinstance(number, int):
            number = 0
        if not 1 <= number <= most:
            faults.append(f"{name}: an integer from 1 to {most} is required")
    return faults


def batch_body(trainer: str, delivered: delivery.Delivery) -> dict[str, Any]:
    """Return the JSON body of a batch for its trainer."""
    batch = delivered.batch
    return {
        "cursor": batch.acknowledged,
        "next_cursor": batch.n_assigned,
        "weight_version": batch.weight_version,
        "samples": [
            _sample_body(trainer, assigned, payload)
            for assigned, payload in zip(batch.samples, delivered.payloads, strict=True)
        ],
    }


def _sample_body(
    trainer: str, assigned: commands.Assigned, payload: model.Payload
) -> dict[str, Any]:
    record = assigned.record
    return {
        "sample_id": model.sample_id(trainer, assigned.group_id, assigned.slot),
        "position": assigned.position,
        "group_id": assigned.group_id,
        "slot": assigned.slot,
        "attempt": record.attempt,
        "text": payload.text,
        "token_ids": list(payload.token_ids),
        "segments": [_segment_body(each) for each in record.segments],
        "score": record.score,
        "staleness": assigned.staleness,
    }


def _segment_body(segment: model.Segment) -> dict[str, int]:
    return {
        "weight_version": segment.weight_version,
        "first_token": segment.first_token,
        "last_token": segment.last_token,
    }


def _status_body(status: queries.TrainerStatus) -> dict[str, Any]:
    return {
        "trainer": status.trainer,
        "weight_version": status.weight_version,
        "reader_epoch": status.reader_epoch,
        "cursor": status.cursor,
        "n_assigned": status.n_assigned,
        "n_groups": status.n_groups,
        "n_slots_by_state": status.n_slots_by_state,
    }


def _trace_body(trace: queries.Trace) -> dict[str, Any]:
    body: dict[str, Any] = {
        "sample_id": trace.sample_id,
        "state": trace.state,
        "position": None if trace.position < 0 else trace.position,
        "owner": trace.owner,
    }
    record = trace.record
    if record is not None:
        body |= {
            "attempt": record.attempt,
            "owner_epoch": record.owner_epoch,
            "upstream_id": record.upstream_id,
            "segments": [_segment_body(each) for each in record.segments],
            "score": record.score,
            "n_tokens": record.n_tokens,
            "holders": list(record.holders),
        }
    if trace.delivered_version >= 0:
        body["delivered"] = {
            "weight_version": trace.delivered_version,
            "staleness": trace.staleness,
        }
    return body
