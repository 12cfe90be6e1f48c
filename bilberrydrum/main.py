"""Entry point of the daemon `bilberrydrumd`."""

from bilberrydrum import runtime

runtime.bound_memory()
runtime.prepare()

import argparse
import sys
from typing import Final

import result

from bilberrydrum import curve, daemon, findings, logs, options, settings, tokens
from bilberrydrum.http import edge

EXIT_OK: Final = 0
EXIT_START_FAILED: Final = 1
EXIT_SETTINGS: Final = 2


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="bilberrydrumd", description="A gateway and state replica of bilberrydrum."
    )
    parser.add_argument("--settings", required=True, help="settings file (YAML)")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def read_secrets(
    options_: options.Options,
) -> result.Result[daemon.Secrets, list[findings.Finding]]:
    """Read the key and token files that the options name; return all findings."""
    found: list[findings.Finding] = []
    curve_keys = curve.load(options_)
    if isinstance(curve_keys, result.Err):
        found += curve_keys.err_value
    tokens_by_guard = {}
    for guard, path in (
        (edge.GUARD_OPERATOR, options_.gateway.operator_token_file),
        (edge.GUARD_UPSTREAM, options_.gateway.upstream_token_file),
    ):
        if not path:
            continue
        token = tokens.read(path)
        if isinstance(token, result.Err):
            found += token.err_value
        else:
            tokens_by_guard[guard] = token.ok_value.encode()
    if found:
        return result.Err(findings.in_order(found))
    return result.Ok(daemon.Secrets(curve_keys.unwrap(), tokens_by_guard))


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until a signal stops it; return the exit code."""
    parsed = make_parser().parse_args(arguments)
    loaded = settings.load(parsed.settings)
    if isinstance(loaded, result.Err):
        return _report(loaded.err_value)
    secrets = read_secrets(loaded.ok_value)
    if isinstance(secrets, result.Err):
        return _report(secrets.err_value)
    if parsed.check:
        return EXIT_OK
    opened = logs.open_log(loaded.ok_value.log_file)
    if isinstance(opened, result.Err):
        return _report(opened.err_value)
    is_stopped_by_signal = daemon.Daemon(loaded.ok_value, secrets.ok_value).run()
    return EXIT_OK if is_stopped_by_signal else EXIT_START_FAILED


def _report(found: list[findings.Finding]) -> int:
    for finding in found:
        print(finding, file=sys.stderr)
    return EXIT_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
