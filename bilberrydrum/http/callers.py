"""The callers' interface: completions and plain services.

The edge reads and checks the request, makes a call of it and writes the answer. A
request with an Idempotency-Key goes through `once`, which claims the key first.
"""

import hashlib
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import attrs
import result

from bilberrydrum import (
    clock,
    counters,
    interfaces,
    options,
    problems,
    reasons,
)
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.http import answers, edge, once
from bilberrydrum.requests import claims as request_claims
from bilberrydrum.requests import keys, model, resume

MAX_REQUEST_ID_LENGTH: Final = 128


def add_routes(
    wsgi_edge: edge.Edge,
    settings: options.Options,
    bundles: interfaces.BundleView,
    dispatcher: interfaces.Dispatcher,
    claims: request_claims.Claims,
) -> None:
    """Serve the callers' routes on `wsgi_edge`."""
    callers = _Callers(settings, bundles, dispatcher, claims)
    wsgi_edge.add("POST", "/v1/completions", callers.complete)
    wsgi_edge.add("POST", "/v1/chat/completions", callers.complete_chat)
    wsgi_edge.add("GET", "/v1/requests/{key}", callers.show_request)
    wsgi_edge.add("*", "/apps/{application}/{path...}", callers.call_application)


@attrs.frozen
class _Asker:
    """Who asks, and what holds for all its requests."""

    name: str
    rule: bundle_model.CallerRule
    bundle: bundle_model.Bundle
    request_id: str
    key: str
    priority: int
    deadline: float


class _Callers:
    """Handlers of the callers' routes."""

    def __init__(
        self,
        settings: options.Options,
        bundles: interfaces.BundleView,
        dispatcher: interfaces.Dispatcher,
        claims: request_claims.Claims,
    ) -> None:
        self._options = settings.requests
        self._bundles = bundles
        self._dispatcher = dispatcher
        self._claims = claims

    def complete(self, request: edge.Request) -> edge.Response:
        """Serve ``POST /v1/completions``."""
        return self._complete(request, answers.Completion)

    def complete_chat(self, request: edge.Request) -> edge.Response:
        """Serve ``POST /v1/chat/completions``."""
        return self._complete(request, answers.ChatCompletion)

    def show_request(self, request: edge.Request) -> edge.Response:
        """Serve ``GET /v1/requests/{key}``."""
        caller = request.header("X-Caller")
        if not caller:
            raise edge.refuse(403, reasons.Reason.CALLER_NOT_ALLOWED, "no X-Caller")
        found = self._claims.find(caller, request.variables["key"])
        if isinstance(found, result.Err):
            raise once.state_unavailable(found.err_value)
        return once.show(request.variables["key"], found.ok_value)

    def call_application(self, request: edge.Request) -> edge.Response:
        """Serve ``/apps/{application}/{path}``."""
        return self._guarded(request, self._prepare_application)

    def _complete(
        self, request: edge.Request, form: type[answers.Completion]
    ) -> edge.Response:
        def prepare(request: edge.Request, asker: _Asker) -> once.Prepared:
            return self._prepare_model(request, asker, form)

        return self._guarded(request, prepare)

    def _guarded(
        self,
        request: edge.Request,
        prepare: Callable[[edge.Request, _Asker], once.Prepared],
    ) -> edge.Response:
        caller = request.header("X-Caller")
        key = _key(request)
        try:
            asker = self._asker(request, caller, key)
            prepared = prepare(request, asker)
        except problems.ProblemError as error:
            if not key:
                raise
            return once.refuse(self._claims, caller, key, _digest(request), error)
        if not key:
            response = prepared.send(None)
        else:
            response = once.run(self._claims, caller, key, _digest(request), prepared)
        response.headers.append(("X-Request-Id", asker.request_id))
        counters.REQUESTS.labels("caller", str(response.status)).inc()
        return response

    def _asker(self, request: edge.Request, caller: str, key: str) -> _Asker:
        bundle = self._bundles.current()
        if isinstance(bundle, result.Err):
            raise edge.refuse(503, bundle.err_value, retry_after_seconds=1.0)
        rule = bundle.ok_value.callers.get(caller)
        if rule is None:
            raise edge.refuse(
                403, reasons.Reason.CALLER_NOT_ALLOWED, f"no caller {caller!r}"
            )
        timeout = request.header_number(
            "X-Timeout-Seconds", self._options.default_timeout_seconds
        )
        if timeout <= 0:
            raise edge.refuse(
                400, reasons.Reason.INVALID_REQUEST, "X-Timeout-Seconds: not above 0"
            )
        timeout = min(timeout, self._options.max_timeout_seconds)
        return _Asker(
            caller,
            rule,
            bundle.ok_value,
            _request_id(request),
            key,
            int(request.header_number("X-Priority", 0)),
            clock.now() + timeout,
        )

    def _prepare_model(
        self, request: edge.Request, asker: _Asker, form: type[answers.Completion]
    ) -> once.Prepared:
        asked = answers.read(request.json(), form)
        if asked.model not in asker.rule.models:
            raise edge.refuse(
                403, reasons.Reason.CALLER_NOT_ALLOWED, f"model {asked.model!r}"
            )
        model_rule = asker.bundle.models.get(asked.model)
        if model_rule is None:
            raise edge.refuse(404, reasons.Reason.MODEL_UNKNOWN, asked.model)
        if asked.adapter and asked.adapter not in model_rule.adapters:
            raise edge.refuse(
                404, reasons.Reason.MODEL_UNKNOWN, f"adapter {asked.adapter!r}"
            )

        def is_allowed(bundle: bundle_model.Bundle) -> bool:
            rule = bundle.callers.get(asker.name)
            is_served = asked.model in bundle.models
            return is_served and rule is not None and asked.model in rule.models

        call = model.ModelCall(
            request_id=asker.request_id,
            model=asked.model,
            prompt=asked.prompt,
            max_tokens=asked.max_tokens,
            client=asker.name,
            deadline=asker.deadline,
            share=asker.rule.share,
            priority=asker.priority,
            adapter=asked.adapter,
            min_weight_version=self._min_version(asker, asked.model, model_rule),
            max_in_flight=asker.rule.max_in_flight,
            is_client_gone=request.is_client_gone,
            find_refusal=_refusal_finder(request, None, is_allowed),
        )
        self._foresee(asker, call)

        def send(held: request_claims.Held | None) -> edge.Response:
            if held is not None:
                whole = attrs.evolve(
                    call,
                    is_idempotent=False,
                    find_refusal=_refusal_finder(request, held, is_allowed),
                )
                return _whole(form(whole), self._dispatcher, whole, asked.stream)
            if not asked.stream:
                return _whole(form(call), self._dispatcher, call, False)
            return _streamed(form(call), resume.stream(self._dispatcher, call))

        return once.Prepared(send, call.deadline)

    def _foresee(
        self, asker: _Asker, call: model.ModelCall | model.ApplicationCall
    ) -> None:
        """Refuse before the claim what would be refused after it.

        Under overload each claim of a refused request would cost the state group two
        commits, and callers that retry at once would fill it with them.
        """
        if not asker.key:
            return
        failed = self._dispatcher.predict_refusal(call)
        if failed is not None:
            raise problems.ProblemError(answers.problem_of(failed))

    def _min_version(
        self, asker: _Asker, model_name: str, rule: bundle_model.ModelRule
    ) -> int:
        newest = rule.weight_version
        versions_by_trainer = self._bundles.weight_versions_by_trainer()
        for trainer, trainer_rule in asker.bundle.trainers.items():
            if trainer_rule.model == model_name and not trainer_rule.adapter:
                newest = max(newest, versions_by_trainer.get(trainer, 0))
        if asker.rule.staleness_bound < 0:
            return rule.weight_version or -1
        return max(0, newest - asker.rule.staleness_bound)

    def _prepare_application(
        self, request: edge.Request, asker: _Asker
    ) -> once.Prepared:
        name = request.variables["application"]
        if name not in asker.rule.applications:
            raise edge.refuse(
                403, reasons.Reason.CALLER_NOT_ALLOWED, f"application {name!r}"
            )
        rule = asker.bundle.applications.get(name)
        if rule is None:
            raise edge.refuse(404, reasons.Reason.APPLICATION_UNKNOWN, name)

        def is_allowed(bundle: bundle_model.Bundle) -> bool:
            rule = bundle.callers.get(asker.name)
            is_served = name in bundle.applications
            return is_served and rule is not None and name in rule.applications

        call = model.ApplicationCall(
            request_id=asker.request_id,
            application=name,
            method=request.method,
            target=_target(request, name),
            headers=tuple(request.environ.get("headers_raw", ())),
            body=request.body(),
            client=asker.name,
            deadline=min(asker.deadline, clock.now() + rule.timeout_seconds),
            share=asker.rule.share,
            priority=asker.priority,
            is_idempotent=not asker.key and request.method in rule.idempotent_methods,
            max_in_flight=asker.rule.max_in_flight,
            is_client_gone=request.is_client_gone,
        )
        self._foresee(asker, call)

        def send(held: request_claims.Held | None) -> edge.Response:
            find_refusal = _refusal_finder(request, held, is_allowed)
            answer = self._dispatcher.call_application(
                attrs.evolve(call, find_refusal=find_refusal)
            )
            if isinstance(answer, result.Err):
                raise problems.ProblemError(answers.problem_of(answer.err_value))
            whole = answer.ok_value
            return edge.Response(whole.status, whole.body, list(whole.headers))

        return once.Prepared(send, call.deadline)


def _whole(
    form: answers.Completion,
    dispatcher: interfaces.Dispatcher,
    call: model.ModelCall,
    is_streamed: bool,
) -> edge.Response:
    """Return the whole answer, as one object or as a stream that has ended."""
    parts = []
    for event in resume.stream(dispatcher, call):
        if isinstance(event, model.Failed):
            raise problems.ProblemError(answers.problem_of(event))
        parts.append(form.take(event))
    if is_streamed:
        return edge.Response(200, b"".join(parts), answers.STREAM_HEADERS.copy())
    return edge.Response.of_json(form.whole())


def _streamed(
    form: answers.Completion, events: Iterator[model.StreamEvent]
) -> edge.Response:
    """Return the answer as a stream that is passed on as it comes."""
    # The first event decides whether there is a stream at all: until then a refusal
    # can still be told by the status.
    first = next(events)
    if isinstance(first, model.Failed):
        raise problems.ProblemError(answers.problem_of(first))
    return edge.Response(
        200, _passed_on(form, first, events), answers.STREAM_HEADERS.copy()
    )


def _passed_on(
    form: answers.Completion,
    first: model.StreamEvent,
    events: Iterator[model.StreamEvent],
) -> Iterable[bytes]:
    try:
        yield form.take(first)
        for event in events:
            if isinstance(event, model.Failed):
                problem = answers.problem_of(event)
                counters.refused(problem.reason)
                yield answers.error_event(problem)
                # The server then closes the connection without the last chunk, so
                # that no client takes what it has for the whole answer.
                raise problems.ProblemError(problem)
            yield form.take(event)
    finally:
        close: Any = getattr(events, "close", None)
        if close is not None:
            close()


def _refusal_finder(
    request: edge.Request,
    held: request_claims.Held | None,
    is_allowed: Callable[[bundle_model.Bundle], bool],
) -> Callable[[bundle_model.Bundle], reasons.Reason | None]:
    """Return what is asked immediately before the first byte goes out.

    A gateway that was stopped and goes on later must not send by a bundle that is in
    force no more, nor what its caller gave up on and may have been told elsewhere that
    it did not run.
    """

    def find_refusal(bundle: bundle_model.Bundle) -> reasons.Reason | None:
        if not is_allowed(bundle):
            return reasons.Reason.CALLER_NOT_ALLOWED
        if held is None:
            return None
        if not held.may_send():
            return reasons.Reason.CLAIM_LAPSED
        return reasons.Reason.CALLER_GONE if request.is_client_gone() else None

    return find_refusal


def _key(request: edge.Request) -> str:
    text = request.header("Idempotency-Key")
    if not text:
        return ""
    key = keys.normalise(text)
    if not keys.is_valid(key):
        raise edge.refuse(
            400, reasons.Reason.INVALID_REQUEST, "Idempotency-Key: not a key"
        )
    return key


def _request_id(request: edge.Request) -> str:
    given = request.header("X-Request-Id")
    if given and len(given) <= MAX_REQUEST_ID_LENGTH and given.isprintable():
        return given
    return uuid.uuid4().hex


def _target(request: edge.Request, application: str) -> str:
    # The path as sent, not decoded: an encoded slash is no slash to the service.
    raw = str(request.environ.get("RAW_PATH_INFO", request.path))
    path = "/" + "/".join(raw.lstrip("/").split("/")[2:])
    return f"{path}?{request.query_string}" if request.query_string else path


def _digest(request: edge.Request) -> str:
    """Return the digest of what the request asks for."""
    digest = hashlib.sha256()
    for part in (
        request.method.encode(),
        request.path.encode(),
        request.query_string.encode(),
        request.header("Content-Type").encode(),
        request.body(),
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
