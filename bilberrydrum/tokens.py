"""Read bearer tokens from files that contain one line of printable ASCII."""

import result

from bilberrydrum import findings, yaml_places


def read(path: str) -> result.Result[str, list[findings.Finding]]:
    """Return the token in the file at `path`, without surrounding white space."""
    outcome = yaml_places.read_text(path)
    if isinstance(outcome, result.Err):
        return outcome
    token = outcome.ok_value.strip()
    # With an empty token, any client that sends an empty one would be authorized.
    if not token:
        return result.Err([findings.Finding(path, 1, 1, "the token is empty")])
    if not (token.isascii() and token.isprintable()) or " " in token:
        message = "the token must be one line of printable ASCII without blanks"
        return result.Err([findings.Finding(path, 1, 1, message)])
    return result.Ok(token)
