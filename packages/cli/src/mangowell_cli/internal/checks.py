"""Check of documents, settings and instance lists."""

from dataclasses import asdict
from typing import Any

from result import Err, Ok, Result

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.files import PARSERS, detect_kind, read_text
from mangowell_cli.internal.output import clean, print_json
from mangowell_core.document import SchemaError


def check_file(path: str) -> tuple[str, Result[Any, list[SchemaError]]]:
    """Parse one file.

    Returns
    -------
    str, Result
        Kind of the file, and its value or errors.
    """
    match read_text(path):
        case Ok(text):
            kind = detect_kind(text)
            return kind, PARSERS[kind](text, path)
        case Err(errors):
            return "", Err(errors)


def check_files(paths: list[str], as_json: bool) -> ExitCode:
    """Check files and print every error."""
    found = [(path, *check_file(path)) for path in paths]
    if as_json:
        files = []
        for path, kind, result in found:
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
        for path, kind, result in found:
            match result:
                case Ok(_):
                    print(f"{clean(path)}: valid {kind}")
                case Err(errors):
                    for error in errors:
                        print(clean(error))
    failed = any(isinstance(result, Err) for _, _, result in found)
    return ExitCode.INVALID if failed else ExitCode.SUCCESS
