"""Verbs that work on files of this host and ask no gateway."""

import hashlib

import result

from bilberrydrum import findings, keys, settings
from bilberrydrum_cli import codes, messages, output, session, verbs


@verbs.run.register
def _(verb: verbs.CheckSettings, current: session.Session) -> int:
    outcome = settings.load(verb.file)
    if isinstance(outcome, result.Err):
        return current.report(outcome.err_value)
    if current.form == output.FORM_JSON:
        return current.show({"findings": []})
    current.say(messages.NO_FINDINGS.format(path=verb.file))
    return codes.OK


@verbs.run.register
def _(verb: verbs.GenerateKeys, current: session.Session) -> int:
    pair = keys.generate()
    outcome = keys.write(verb.key_file, pair)
    if isinstance(outcome, result.Err):
        return current.report([outcome.err_value])
    # The secret key is in the file alone: a terminal's output is often kept.
    return current.show({"key_file": verb.key_file, "public": pair.public})


@verbs.run.register
def _(verb: verbs.InspectSnapshot, current: session.Session) -> int:
    data = read_bytes(verb.file)
    if isinstance(data, result.Err):
        return current.report([data.err_value])
    digest = hashlib.sha256(data.ok_value).hexdigest()
    return current.show({"n_bytes": len(data.ok_value), "file_digest": digest})


def read_bytes(path: str) -> result.Result[bytes, findings.Finding]:
    """Return what is in the file at `path`, or why it can't be read."""
    try:
        with open(path, "rb") as file:
            return result.Ok(file.read())
    except OSError as error:
        message = messages.CANNOT_READ.format(text=error.strerror)
        return result.Err(findings.Finding(path, 0, 0, message))
