"""Reading and writing of files named on the command line."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from mangowell_cli.internal.errors import CommandError
from mangowell_cli.internal.output import escape_control_chars
from mangowell_core.document import SchemaError, parse_document
from mangowell_core.instances import parse_instances
from mangowell_core.model import Document, InstanceList
from mangowell_core.settings import parse_settings

PARSERS: dict[str, Callable[[str, str], Result[Any, list[SchemaError]]]] = {
    "document": parse_document,
    "settings": parse_settings,
    "instances": parse_instances,
}


def read_text(path: str) -> Result[str, list[SchemaError]]:
    """Read a file as UTF-8 without changing its line endings."""
    try:
        body = Path(path).read_bytes()
    except OSError as exc:
        reason = f"cannot be read: {exc.strerror}"
        return Err([SchemaError(path, 1, "", "", "", reason)])
    try:
        return Ok(body.decode())
    except UnicodeDecodeError as exc:
        line = body.count(b"\n", 0, exc.start) + 1
        return Err([SchemaError(path, line, "", "", "", "text is not valid UTF-8")])


def detect_kind(text: str) -> str:
    """Return the key in `PARSERS` that fits a text."""
    if text.startswith("# revision "):
        return "instances"
    lines = [line.strip() for line in text.splitlines()]
    if any(line.startswith("[node]") for line in lines):
        return "settings"
    return "document"


def load_document(path: str) -> Document:
    """Read and parse a document; raise `CommandError` if it is not valid."""
    return _load(path, parse_document)


def load_instances(path: str) -> InstanceList:
    """Read and parse an instance list; raise `CommandError` if it is not valid."""
    return _load(path, parse_instances)


def _load(path: str, parse: Callable) -> Any:
    match read_text(path).and_then(lambda text: parse(text, path)):
        case Ok(value):
            return value
        case Err(errors):
            raise CommandError(
                "\n".join(escape_control_chars(error) for error in errors)
            )


def replace_file(path: str, text: str) -> None:
    """Replace a file atomically, so that a failure leaves the old file unchanged.

    Raises
    ------
    CommandError
        If the file cannot be written.
    """
    target = Path(os.path.realpath(path))
    temporary = target.with_name(f".{target.name}.{os.getpid()}.part")
    try:
        # Mode "x" fails if the name exists, so it follows no link placed there.
        with temporary.open("xb") as file:
            file.write(text.encode())
        temporary.replace(target)
    except FileExistsError as exc:
        raise CommandError(f"{temporary}: exists already") from exc
    except OSError as exc:
        temporary.unlink(missing_ok=True)
        raise CommandError(f"{path}: cannot be written: {exc.strerror}") from exc
