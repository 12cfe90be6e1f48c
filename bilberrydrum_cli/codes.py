"""Exit codes of `bilberrydrum`. Scripts rely on them: a code never changes meaning."""

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
# No gateway answered in time; a change may have been made all the same.
UNAVAILABLE: Final = 6
# The roll was accepted, and was not in force everywhere in the time given.
NOT_IN_FORCE: Final = 7
# A gateway gave an answer that makes no sense, or failed.
FAILED: Final = 8
# A local file could not be read or written.
FILE: Final = 9
# Ended from the keyboard.
INTERRUPTED: Final = 130
