"""Texts that `bilberrydrum` prints, except for the answers of gateways."""

from typing import Final

DESCRIPTION: Final = "Operate a bilberrydrum deployment."
EPILOG: Final = (
    "Exit codes: 0 done; 1 findings in a file; 2 wrong command line; 3 refused;"
    " 4 token missing or wrong; 5 not found; 6 no gateway answered in time;"
    " 7 roll not in force in time; 8 a gateway failed; 9 file not readable or"
    " writable; 130 interrupted."
)

HELP_GATEWAY: Final = (
    "URL of a gateway; repeat it to give more, which are tried if one does not answer"
    " (default: BILBERRYDRUM_GATEWAYS, separated by commas or blanks, or {default})"
)
HELP_TOKEN_FILE: Final = "file with the operators' token"
HELP_OPERATOR: Final = "name that changes are recorded under (default: the user's name)"
HELP_OUTPUT: Final = "format of the answer on standard output (default: table)"
HELP_TIMEOUT: Final = (
    "seconds after which no gateway is tried any more (default: {default:g})"
)

BAD_GATEWAY: Final = "gateway must be http://IP:port or https://IP:port, found {text!r}"
BAD_OPERATOR: Final = "operator must be printable ASCII without blanks, found {text!r}"
BAD_SECONDS: Final = "must be a number of seconds above 0, found {text!r}"
BAD_VERSION: Final = "must be a version from 1, found {text!r}"
BAD_DIGEST: Final = "must be a digest in hexadecimal digits, found {text!r}"

ERROR: Final = "error: {text}"
REFUSED: Final = "{reason} (status {status})"
WINNER: Final = "bundle {digest} of {author} holds this version"
ATTEMPT_FAILED: Final = "{gateway}: {text}"
UNAVAILABLE: Final = "no gateway answered within {seconds:g} s"
MAY_HAVE_APPLIED: Final = (
    "the change may have been made; it is safe to send the same command again"
)
NOT_JSON: Final = "{gateway} answered status {status} with something that is not JSON"
INCOMPLETE: Final = "incomplete answer"
BUSY: Final = "status {status}, {reason}"

ROLL_PROGRESS: Final = (
    "bundle {version}: {state}, {n_confirmed} of {n_gateways} gateways"
    " ({seconds:.1f} s){waiting}"
)
ROLL_WAITING: Final = ", waiting for {names}"
ROLL_LATE: Final = "bundle {version} is not in force everywhere after {seconds:g} s"
ROLL_SUPERSEDED: Final = "bundle {version} was superseded by a newer one"

CANNOT_READ: Final = "cannot be read: {text}"
CANNOT_WRITE: Final = "cannot be written: {text}"
NO_FINDINGS: Final = "{path}: no findings"
