"""What a verb uses: the gateways, the two output streams, and the clock."""

import functools
import json
import sys
import time
from collections.abc import Callable
from typing import Any, Final, TextIO

import attrs

from bilberrydrum import findings
from bilberrydrum_cli import client, codes, messages, output

_CODES_BY_STATUS: Final = {
    401: codes.UNAUTHORIZED,
    403: codes.UNAUTHORIZED,
    404: codes.NOT_FOUND,
    422: codes.FINDINGS,
}


@attrs.frozen
class Session:
    """One run of the tool."""

    gateways: client.Client
    # One of `output.FORMS`.
    form: str = output.FORM_TABLE
    out: TextIO = attrs.field(factory=lambda: sys.stdout)
    err: TextIO = attrs.field(factory=lambda: sys.stderr)
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep

    def show(self, value: Any) -> int:
        """Print an answer and return the code for success."""
        print(output.render(value, self.form), file=self.out)
        return codes.OK

    def print_message(self, text: str) -> None:
        """Print a message for people to standard error."""
        print(text, file=self.err)

    def fail(self, failure: client.Failure) -> int:
        """Print a failure and return its exit code.

        With JSON output, the failure is also printed to standard output, so that a
        program finds one JSON value there for every outcome.
        """
        if self.form == output.FORM_JSON:
            self.show(_document(failure))
        for line in _lines(failure):
            self.print_message(line)
        return _code(failure)

    def report(self, found: list[findings.Finding]) -> int:
        """Print findings and return their exit code.

        A finding without a line is about the file itself, which could not be read or
        written.
        """
        if self.form == output.FORM_JSON:
            self.show({"findings": [attrs.asdict(finding) for finding in found]})
        self.print_message(findings.report(found))
        if any(finding.line for finding in found):
            return codes.FINDINGS
        return codes.FILE


@functools.singledispatch
def _code(failure: client.Failure) -> int:
    raise TypeError(type(failure).__name__)


@_code.register
def _(failure: client.Unavailable) -> int:
    return codes.UNAVAILABLE


@_code.register
def _(failure: client.Refused) -> int:
    if failure.status >= 500:
        return codes.FAILED
    return _CODES_BY_STATUS.get(failure.status, codes.REFUSED)


@_code.register
def _(failure: client.InvalidAnswer) -> int:
    return codes.FAILED


@functools.singledispatch
def _lines(failure: client.Failure) -> list[str]:
    raise TypeError(type(failure).__name__)


@_lines.register
def _(failure: client.Unavailable) -> list[str]:
    lines = [
        messages.ATTEMPT_FAILED.format(gateway=attempt.gateway, text=attempt.detail)
        for attempt in failure.attempts_by_gateway.values()
    ]
    text = messages.UNAVAILABLE.format(seconds=failure.seconds)
    lines.append(messages.ERROR.format(text=text))
    if failure.may_have_run:
        lines.append(messages.MAY_HAVE_APPLIED)
    return lines


@_lines.register
def _(failure: client.Refused) -> list[str]:
    problem = failure.problem
    found = [_finding(item) for item in problem.get("findings") or ()]
    reason = str(problem.get("reason", "refused"))
    text = messages.REFUSED.format(reason=reason, status=failure.status)
    detail = str(problem.get("detail", ""))
    lines = [messages.ERROR.format(text=f"{text}: {detail}" if detail else text)]
    if "winner_digest" in problem:
        lines.append(
            messages.WINNER.format(
                digest=problem["winner_digest"], author=problem.get("winner_author", "")
            )
        )
    return [*found, *lines]


@_lines.register
def _(failure: client.InvalidAnswer) -> list[str]:
    text = messages.NOT_JSON.format(gateway=failure.gateway, status=failure.status)
    return [messages.ERROR.format(text=text)]


def _document(failure: client.Failure) -> Any:
    if isinstance(failure, client.Refused) and failure.problem:
        return failure.problem
    return attrs.asdict(failure)


def _finding(item: Any) -> str:
    try:
        return str(findings.Finding(**item))
    except TypeError:
        return json.dumps(item)
