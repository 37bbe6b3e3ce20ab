"""Validation of documents, settings and instance lists."""

from dataclasses import asdict
from typing import Any

from result import Err, Ok, Result

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.files import PARSERS, detect_kind, read_text
from mangowell_cli.internal.output import escape_control_chars, print_json
from mangowell_core.document import SchemaError


def check_file(path: str) -> tuple[str, Result[Any, list[SchemaError]]]:
    """Parse one file.

    Returns
    -------
    str, Result
        Kind of the file (empty if it cannot be read), and its value or errors.
    """
    match read_text(path):
        case Ok(text):
            kind = detect_kind(text)
            return kind, PARSERS[kind](text, path)
        case Err(errors):
            return "", Err(errors)


def check_files(paths: list[str], as_json: bool) -> ExitCode:
    """Check files and print every error."""
    results = [(path, *check_file(path)) for path in paths]
    if as_json:
        files = []
        for path, kind, result in results:
            value, errors = result.ok(), result.err() or []
            files.append(
                {
                    "file": path,
                    "kind": kind or None,
                    "valid": not errors,
                    "environment": getattr(value, "environment", None),
                    "version": getattr(value, "version", None),
                    "digest": getattr(value, "digest", None),
                    "errors": [asdict(error) for error in errors],
                }
            )
        print_json({"files": files})
    else:
        for path, kind, result in results:
            match result:
                case Ok(_):
                    print(f"{escape_control_chars(path)}: valid {kind}")
                case Err(errors):
                    for error in errors:
                        print(escape_control_chars(error))
    failed = any(isinstance(result, Err) for _, _, result in results)
    return ExitCode.INVALID if failed else ExitCode.SUCCESS
