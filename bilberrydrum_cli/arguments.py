"""The command line: global options before the noun, then noun, verb and arguments.

The parser is built from the classes in `verbs`, so that the arguments of a verb are
defined in one place.
"""

import argparse
import getpass
import os
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from bilberrydrum_cli import messages, output, verbs

GATEWAYS_VARIABLE: Final = "BILBERRYDRUM_GATEWAYS"
DEFAULT_GATEWAY: Final = "http://127.0.0.1:8080"
# Long enough for each of three gateways to report that the state group does not answer.
DEFAULT_TIMEOUT_SECONDS: Final = 20.0
_VERB_CLASS: Final = "verb_class"


@attrs.frozen
class GlobalOptions:
    """Options that apply to every verb."""

    # Base URLs of gateways, tried in this order.
    gateways: tuple[str, ...]
    token_file: str
    operator: str
    output: str
    # Time after which no gateway is tried any more, in seconds.
    timeout: float


@attrs.frozen
class Invocation:
    """A parsed command line: the options and an instance of a class in `verbs`."""

    options: GlobalOptions
    verb: Any


def parse(words: Sequence[str], environment: Mapping[str, str]) -> Invocation:
    """Parse the command line.

    Raises
    ------
    SystemExit
        With code 2 if the command line is wrong, with 0 after printing help.
    """
    parser = build_parser()
    parsed = parser.parse_args(words)
    texts = parsed.gateway
    if not texts:
        texts = environment.get(GATEWAYS_VARIABLE, "").replace(",", " ").split()
    try:
        gateways = tuple(gateway(text) for text in texts or [DEFAULT_GATEWAY])
        operator = _operator(parsed.operator or _user_name())
    except argparse.ArgumentTypeError as error:
        parser.error(str(error))
    options = GlobalOptions(
        gateways, parsed.token_file, operator, parsed.output, parsed.timeout
    )
    verb_class = getattr(parsed, _VERB_CLASS)
    values = {field.name: getattr(parsed, field.name) for field in _fields(verb_class)}
    return Invocation(options, verb_class(**values))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="bilberrydrum",
        description=messages.DESCRIPTION,
        epilog=messages.EPILOG,
        allow_abbrev=False,
    )
    _add_global_options(parser)
    groups_by_words: dict[tuple[str, ...], Any] = {(): _group(parser)}
    for words, verb_class in verbs.VERBS_BY_WORDS.items():
        for n_words in range(1, len(words)):
            _ensure_group(groups_by_words, words[:n_words])
        _add_verb(groups_by_words[words[:-1]], words[-1], verb_class)
    return parser


def gateway(text: str) -> str:
    """Return a gateway's base URL; the scheme may be left out.

    Raises
    ------
    argparse.ArgumentTypeError
        If `text` is not such a URL.
    """
    url = text if "://" in text else f"http://{text}"
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        parts, port = urllib.parse.SplitResult("", "", "", "", ""), None
    is_plain = not (parts.query or parts.fragment or parts.username)
    if parts.scheme not in ("http", "https") or not parts.hostname or not is_plain:
        raise argparse.ArgumentTypeError(messages.BAD_GATEWAY.format(text=text))
    if port == 0 or parts.path not in ("", "/"):
        raise argparse.ArgumentTypeError(messages.BAD_GATEWAY.format(text=text))
    return f"{parts.scheme}://{parts.netloc}"


def _operator(text: str) -> str:
    # The name is sent in a header, which must not contain line breaks.
    if not (text.isascii() and text.isprintable()) or " " in text:
        raise argparse.ArgumentTypeError(messages.BAD_OPERATOR.format(text=text))
    return text


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # Some containers have users without a name.
        return f"uid-{os.getuid()}"


def _add_global_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--gateway",
        action="append",
        metavar="URL",
        help=messages.HELP_GATEWAY.format(default=DEFAULT_GATEWAY),
    )
    parser.add_argument(
        "--token-file", default="", metavar="FILE", help=messages.HELP_TOKEN_FILE
    )
    parser.add_argument(
        "--operator", default="", metavar="NAME", help=messages.HELP_OPERATOR
    )
    parser.add_argument(
        "--output",
        choices=output.FORMS,
        default=output.FORM_TABLE,
        help=messages.HELP_OUTPUT,
    )
    parser.add_argument(
        "--timeout",
        type=verbs.seconds,
        default=DEFAULT_TIMEOUT_SECONDS,
        metavar="SECONDS",
        help=messages.HELP_TIMEOUT.format(default=DEFAULT_TIMEOUT_SECONDS),
    )


def _ensure_group(
    groups_by_words: dict[tuple[str, ...], Any], words: tuple[str, ...]
) -> None:
    if words in groups_by_words:
        return
    text = verbs.HELP_BY_WORDS[words]
    parser = groups_by_words[words[:-1]].add_parser(
        words[-1], help=text, description=text, allow_abbrev=False
    )
    groups_by_words[words] = _group(parser)


def _group(parser: argparse.ArgumentParser) -> Any:
    return parser.add_subparsers(required=True, metavar="COMMAND")


def _add_verb(group: Any, word: str, verb_class: type[Any]) -> None:
    text = (verb_class.__doc__ or "").splitlines()[0]
    parser = group.add_parser(word, help=text, description=text, allow_abbrev=False)
    for field in _fields(verb_class):
        _add_field(parser, field)
    parser.set_defaults(**{_VERB_CLASS: verb_class})


def _add_field(parser: argparse.ArgumentParser, field: Any) -> None:
    flags = field.metadata["flags"]
    if field.metadata["convert"] is bool:
        parser.add_argument(
            *flags, dest=field.name, action="store_true", help=field.metadata["help"]
        )
        return
    details = {"type": field.metadata["convert"], "help": field.metadata["help"]}
    if not flags:
        parser.add_argument(field.name, metavar=field.name.upper(), **details)
        return
    if field.default is attrs.NOTHING:
        details["required"] = True
    else:
        details["default"] = field.default
    metavar = field.name.upper()
    parser.add_argument(*flags, dest=field.name, metavar=metavar, **details)


def _fields(verb_class: type[Any]) -> tuple[Any, ...]:
    return tuple(attrs.fields(verb_class))
