"""Verbs that work on files of this host and ask no gateway."""

import result

from bilberrydrum import keys, settings
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
