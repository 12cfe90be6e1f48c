"""Exit codes of `bilberrydrum`. Scripts rely on them, so their meanings are fixed."""

from typing import Final

OK: Final = 0
# A file or document has findings.
FINDINGS: Final = 1
# The command line is wrong; nothing was sent.
USAGE: Final = 2
# A gateway refused the request; the answer says why.
REFUSED: Final = 3
# The operators' token is missing or wrong.
UNAUTHORIZED: Final = 4
# There is no such bundle, upstream, trainer, sample or member.
NOT_FOUND: Final = 5
# No gateway answered in time; a change may have been made nevertheless.
UNAVAILABLE: Final = 6
# The roll was accepted, but the bundle was not in force everywhere in the given time.
NOT_IN_FORCE: Final = 7
# A gateway failed or gave an invalid answer.
FAILED: Final = 8
# A local file could not be read or written.
FILE: Final = 9
# Interrupted from the keyboard.
INTERRUPTED: Final = 130
