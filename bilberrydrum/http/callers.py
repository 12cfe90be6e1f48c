"""The callers' interface: completions and plain services.

The handlers check a request, convert it to a call of the dispatcher, and convert the
result to an HTTP answer. A request with an Idempotency-Key is passed to `once`, which
claims the key first.
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
    """Add the callers' routes to `wsgi_edge`."""
    callers = _Callers(settings, bundles, dispatcher, claims)
    wsgi_edge.add("POST", "/v1/completions", callers.complete)
    wsgi_edge.add("POST", "/v1/chat/completions", callers.complete_chat)
    wsgi_edge.add("GET", "/v1/requests/{key}", callers.show_request)
    wsgi_edge.add("*", "/apps/{application}/{path...}", callers.call_application)


@attrs.frozen
class _Requester:
    """The caller of one request, its rule, and the request's general parameters."""

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
            raise edge.refuse(
                403, reasons.Reason.CALLER_NOT_ALLOWED, "header X-Caller is missing"
            )
        found = self._claims.find(caller, request.variables["key"])
        if isinstance(found, result.Err):
            raise once.state_unavailable(found.err_value)
        return once.show(request.variables["key"], found.ok_value)

    def call_application(self, request: edge.Request) -> edge.Response:
        """Serve ``/apps/{application}/{path}``."""
        return self._serve(request, self._prepare_application)

    def _complete(
        self, request: edge.Request, answer_type: type[answers.Completion]
    ) -> edge.Response:
        def prepare(request: edge.Request, requester: _Requester) -> once.Prepared:
            return self._prepare_model(request, requester, answer_type)

        return self._serve(request, prepare)

    def _serve(
        self,
        request: edge.Request,
        prepare: Callable[[edge.Request, _Requester], once.Prepared],
    ) -> edge.Response:
        caller = request.header("X-Caller")
        key = _key(request)
        try:
            requester = self._identify(request, caller, key)
            prepared = prepare(request, requester)
        except problems.ProblemError as error:
            if not key:
                raise
            return once.refuse(self._claims, caller, key, _digest(request), error)
        if not key:
            response = prepared.send(None)
        else:
            response = once.run(self._claims, caller, key, _digest(request), prepared)
        response.headers.append(("X-Request-Id", requester.request_id))
        counters.REQUESTS.labels("caller", str(response.status)).inc()
        return response

    def _identify(self, request: edge.Request, caller: str, key: str) -> _Requester:
        bundle = self._bundles.current()
        if isinstance(bundle, result.Err):
            raise edge.refuse(503, bundle.err_value, retry_after_seconds=1.0)
        rule = bundle.ok_value.callers.get(caller)
        if rule is None:
            raise edge.refuse(
                403,
                reasons.Reason.CALLER_NOT_ALLOWED,
                f"the bundle has no caller {caller!r}",
            )
        timeout = request.header_number(
            "X-Timeout-Seconds", self._options.default_timeout_seconds
        )
        if timeout <= 0:
            raise edge.refuse(
                400,
                reasons.Reason.INVALID_REQUEST,
                "X-Timeout-Seconds: must be above 0",
            )
        timeout = min(timeout, self._options.max_timeout_seconds)
        return _Requester(
            caller,
            rule,
            bundle.ok_value,
            _request_id(request),
            key,
            int(request.header_number("X-Priority", 0)),
            clock.now() + timeout,
        )

    def _prepare_model(
        self,
        request: edge.Request,
        requester: _Requester,
        answer_type: type[answers.Completion],
    ) -> once.Prepared:
        completion = answers.read(request.json(), answer_type)
        if completion.model not in requester.rule.models:
            raise edge.refuse(
                403,
                reasons.Reason.CALLER_NOT_ALLOWED,
                f"the caller may not use model {completion.model!r}",
            )
        model_rule = requester.bundle.models.get(completion.model)
        if model_rule is None:
            raise edge.refuse(404, reasons.Reason.MODEL_UNKNOWN, completion.model)
        if completion.adapter and completion.adapter not in model_rule.adapters:
            raise edge.refuse(
                404,
                reasons.Reason.MODEL_UNKNOWN,
                f"the model has no adapter {completion.adapter!r}",
            )

        def is_allowed(bundle: bundle_model.Bundle) -> bool:
            rule = bundle.callers.get(requester.name)
            is_served = completion.model in bundle.models
            return is_served and rule is not None and completion.model in rule.models

        call = model.ModelCall(
            request_id=requester.request_id,
            model=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            client=requester.name,
            deadline=requester.deadline,
            share=requester.rule.share,
            priority=requester.priority,
            adapter=completion.adapter,
            min_weight_version=self._min_version(
                requester, completion.model, model_rule
            ),
            max_in_flight=requester.rule.max_in_flight,
            is_client_gone=request.is_client_gone,
            find_refusal=_refusal_finder(request, None, is_allowed),
        )
        self._refuse_early(requester, call)

        def send(held: request_claims.Held | None) -> edge.Response:
            if held is not None:
                claimed_call = attrs.evolve(
                    call,
                    is_idempotent=False,
                    find_refusal=_refusal_finder(request, held, is_allowed),
                )
                return _complete_response(
                    answer_type(claimed_call),
                    self._dispatcher,
                    claimed_call,
                    completion.stream,
                )
            if not completion.stream:
                return _complete_response(
                    answer_type(call), self._dispatcher, call, False
                )
            return _streamed_response(
                answer_type(call), resume.stream(self._dispatcher, call)
            )

        return once.Prepared(send, call.deadline)

    def _refuse_early(
        self, requester: _Requester, call: model.ModelCall | model.ApplicationCall
    ) -> None:
        """Refuse a keyed request before its claim if it would be refused after it.

        Otherwise each refused request would cost the state group two commits, for the
        claim and its release. Under overload, callers that retry at once would overload
        the state group with them.
        """
        if not requester.key:
            return
        failed = self._dispatcher.predict_refusal(call)
        if failed is not None:
            raise problems.ProblemError(answers.problem_of(failed))

    def _min_version(
        self, requester: _Requester, model_name: str, rule: bundle_model.ModelRule
    ) -> int:
        newest = rule.weight_version
        versions_by_trainer = self._bundles.weight_versions_by_trainer()
        for trainer, trainer_rule in requester.bundle.trainers.items():
            if trainer_rule.model == model_name and not trainer_rule.adapter:
                newest = max(newest, versions_by_trainer.get(trainer, 0))
        if requester.rule.staleness_bound < 0:
            return rule.weight_version or -1
        return max(0, newest - requester.rule.staleness_bound)

    def _prepare_application(
        self, request: edge.Request, requester: _Requester
    ) -> once.Prepared:
        name = request.variables["application"]
        if name not in requester.rule.applications:
            raise edge.refuse(
                403,
                reasons.Reason.CALLER_NOT_ALLOWED,
                f"the caller may not use application {name!r}",
            )
        rule = requester.bundle.applications.get(name)
        if rule is None:
            raise edge.refuse(404, reasons.Reason.APPLICATION_UNKNOWN, name)

        def is_allowed(bundle: bundle_model.Bundle) -> bool:
            rule = bundle.callers.get(requester.name)
            is_served = name in bundle.applications
            return is_served and rule is not None and name in rule.applications

        call = model.ApplicationCall(
            request_id=requester.request_id,
            application=name,
            method=request.method,
            target=_target(request, name),
            headers=tuple(request.environ.get("headers_raw", ())),
            body=request.body(),
            client=requester.name,
            deadline=min(requester.deadline, clock.now() + rule.timeout_seconds),
            share=requester.rule.share,
            priority=requester.priority,
            is_idempotent=not requester.key
            and request.method in rule.idempotent_methods,
            max_in_flight=requester.rule.max_in_flight,
            is_client_gone=request.is_client_gone,
        )
        self._refuse_early(requester, call)

        def send(held: request_claims.Held | None) -> edge.Response:
            find_refusal = _refusal_finder(request, held, is_allowed)
            answer = self._dispatcher.call_application(
                attrs.evolve(call, find_refusal=find_refusal)
            )
            if isinstance(answer, result.Err):
                raise problems.ProblemError(answers.problem_of(answer.err_value))
            complete = answer.ok_value
            return edge.Response(complete.status, complete.body, list(complete.headers))

        return once.Prepared(send, call.deadline)


def _complete_response(
    builder: answers.Completion,
    dispatcher: interfaces.Dispatcher,
    call: model.ModelCall,
    is_streamed: bool,
) -> edge.Response:
    """Wait for the complete answer; return it as one object or as a complete stream."""
    parts = []
    for event in resume.stream(dispatcher, call):
        if isinstance(event, model.Failed):
            raise problems.ProblemError(answers.problem_of(event))
        parts.append(builder.add_event(event))
    if is_streamed:
        return edge.Response(200, b"".join(parts), answers.STREAM_HEADERS.copy())
    return edge.Response.of_json(builder.to_document())


def _streamed_response(
    builder: answers.Completion, events: Iterator[model.StreamEvent]
) -> edge.Response:
    """Return the answer as a stream that is relayed event by event."""
    # The status can report a failure only until the stream starts, so the first event
    # is awaited before.
    first = next(events)
    if isinstance(first, model.Failed):
        raise problems.ProblemError(answers.problem_of(first))
    return edge.Response(
        200, _relay_events(builder, first, events), answers.STREAM_HEADERS.copy()
    )


def _relay_events(
    builder: answers.Completion,
    first: model.StreamEvent,
    events: Iterator[model.StreamEvent],
) -> Iterable[bytes]:
    try:
        yield builder.add_event(first)
        for event in events:
            if isinstance(event, model.Failed):
                problem = answers.problem_of(event)
                counters.refused(problem.reason)
                yield answers.error_event(problem)
                # After this exception the server closes the connection without the last
                # chunk. Otherwise a client could take the partial answer for a complete
                # one.
                raise problems.ProblemError(problem)
            yield builder.add_event(event)
    finally:
        close: Any = getattr(events, "close", None)
        if close is not None:
            close()


def _refusal_finder(
    request: edge.Request,
    held: request_claims.Held | None,
    is_allowed: Callable[[bundle_model.Bundle], bool],
) -> Callable[[bundle_model.Bundle], reasons.Reason | None]:
    """Return the check to run immediately before the first byte is sent.

    A gateway may be suspended between admission and sending. When it resumes, it must
    not send under a bundle that is no longer in force. Nor may it send a request that
    its caller has abandoned: another gateway may have answered the retry that the
    request did not run.
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
            400,
            reasons.Reason.INVALID_REQUEST,
            "Idempotency-Key: must be printable, with 1 to 255 characters",
        )
    return key


def _request_id(request: edge.Request) -> str:
    given = request.header("X-Request-Id")
    if given and len(given) <= MAX_REQUEST_ID_LENGTH and given.isprintable():
        return given
    return uuid.uuid4().hex


def _target(request: edge.Request, application: str) -> str:
    # The raw path is used: after decoding, the service could not distinguish an encoded
    # slash from a separator.
    raw = str(request.environ.get("RAW_PATH_INFO", request.path))
    path = "/" + "/".join(raw.lstrip("/").split("/")[2:])
    return f"{path}?{request.query_string}" if request.query_string else path


def _digest(request: edge.Request) -> str:
    """Return a digest of all that determines the request's effect."""
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
