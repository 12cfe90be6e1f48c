"""Entry point of the operators' tool `bilberrydrum`."""

import os
import sys
from collections.abc import Mapping, Sequence

import result

from bilberrydrum import tokens
from bilberrydrum_cli import (
    arguments,
    client,
    codes,
    commands,
    local,
    queries,
    session,
    verbs,
)

# Imported for the run functions that they register.
_VERB_MODULES = (commands, local, queries)


def main() -> None:
    """Run the tool and exit with its exit code."""
    try:
        code = run(sys.argv[1:], os.environ)
        sys.stdout.flush()
    except KeyboardInterrupt:
        code = codes.INTERRUPTED
    except BrokenPipeError:
        # The reader has closed the pipe. Standard output is redirected, because Python
        # would print an error when it flushes the stream at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = codes.FAILED
    sys.exit(code)


def run(words: Sequence[str], environment: Mapping[str, str]) -> int:
    """Parse the command line, run the verb, and return the exit code."""
    invocation = arguments.parse(words, environment)
    options = invocation.options
    token = tokens.read(options.token_file) if options.token_file else result.Ok("")
    gateways = client.Client(
        options.gateways, options.operator, token.unwrap_or(""), options.timeout
    )
    current = session.Session(gateways, options.output)
    if isinstance(token, result.Err):
        return current.report(token.err_value)
    return verbs.run(invocation.verb, current)


if __name__ == "__main__":
    main()
