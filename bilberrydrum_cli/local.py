"""Verbs that work on files of this host and send no request."""

import os

import attrs
import result

from bilberrydrum import findings, keys, settings
from bilberrydrum.state import snapshot
from bilberrydrum_cli import codes, messages, output, session, verbs


@verbs.run.register
def _(verb: verbs.CheckSettings, current: session.Session) -> int:
    outcome = settings.load(verb.file)
    if isinstance(outcome, result.Err):
        return current.report(outcome.err_value)
    if current.form == output.FORM_JSON:
        return current.show({"findings": []})
    current.print_message(messages.NO_FINDINGS.format(path=verb.file))
    return codes.OK


@verbs.run.register
def _(verb: verbs.GenerateKeys, current: session.Session) -> int:
    pair = keys.generate()
    outcome = keys.write(verb.key_file, pair)
    if isinstance(outcome, result.Err):
        return current.report([outcome.err_value])
    # The secret key is written to the file only, as terminal output is often stored.
    return current.show({"key_file": verb.key_file, "public": pair.public})


@verbs.run.register
def _(verb: verbs.InspectSnapshot, current: session.Session) -> int:
    data = read_snapshot(verb.file)
    if isinstance(data, result.Err):
        return current.report([data.err_value])
    header = snapshot.read(data.ok_value)
    members = [attrs.asdict(replica) for replica in header.membership.replicas]
    return current.show(
        {
            "digest": snapshot.digest(data.ok_value),
            "n_bytes": len(data.ok_value),
            "index": header.index,
            "term": header.term,
            "time": header.time,
            "sections": snapshot.section_names(data.ok_value),
            "members": members,
        }
    )


def read_snapshot(path: str) -> result.Result[bytes, findings.Finding]:
    """Return the snapshot in the file at `path`, or a finding if it is not usable."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        message = messages.CANNOT_READ.format(text=error.strerror)
        return result.Err(findings.Finding(path, 0, 0, message))
    return check_snapshot(path, data)


def check_snapshot(path: str, data: bytes) -> result.Result[bytes, findings.Finding]:
    """Return `data` if it is a complete snapshot, else a finding for `path`."""
    try:
        snapshot.read(data)
    except snapshot.SnapshotError as error:
        return result.Err(findings.Finding(path, 1, 1, str(error)))
    return result.Ok(data)


def write_new(path: str, data: bytes) -> result.Result[None, findings.Finding]:
    """Write and sync a new file; remove it if that fails."""
    try:
        # Mode `x`: an existing backup is not overwritten, as the new one may be worse.
        with open(path, "xb") as file:
            try:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            except OSError:
                # A partial file would look like a backup until somebody restored it.
                os.unlink(path)
                raise
    except OSError as error:
        message = messages.CANNOT_WRITE.format(text=error.strerror)
        return result.Err(findings.Finding(path, 0, 0, message))
    return result.Ok(None)
