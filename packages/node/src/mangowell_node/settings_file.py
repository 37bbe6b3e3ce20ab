"""Reading of a program's settings file at its start."""

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

EXIT_INVALID_SETTINGS = 2

Settings = TypeVar("Settings")
Parse = Callable[[str, str], Result[Settings, Iterable[object]]]


def load_settings(path: Path, parse: Parse[Settings]) -> Settings:
    """Read settings from `path`; print any errors and exit with code 2.

    Parameters
    ----------
    path : Path
        Settings file in UTF-8.
    parse : callable
        Takes the text and the file name; returns the settings or the errors.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        print(f"mangowell-node: cannot read {path}: {exc}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    match parse(text, str(path)):
        case Ok(settings):
            return settings
        case Err(errors):
            for error in errors:
                print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)
