"""Instance list of the platform: parsing and rendering.

The format is in section 4 of ``docs/design.md``.
"""

import hashlib
import re

from result import Err, Ok, Result

from mangowell_core.internal.schema import (
    ErrorList,
    SchemaError,
    choice,
    host,
    name,
    port,
)
from mangowell_core.model import Instance, InstanceList, InstanceState

_REVISION = re.compile(r"# revision ([0-9]{1,15})")
_STATES = {state.value: state for state in InstanceState}
_FIELDS = (
    ("instance", name),
    ("service", name),
    ("domain", name),
    ("host", host),
    ("control_port", port),
    ("link_port", port),
    ("call_port", port),
    ("admin_port", port),
    ("backend_port", port),
    ("state", choice(*_STATES)),
)


def parse_instances(
    text: str, filename: str = "instances", previous: InstanceList | None = None
) -> Result[InstanceList, list[SchemaError]]:
    """Parse an instance list.

    Parameters
    ----------
    text : str
    filename : str
        Name shown in errors.
    previous : InstanceList, optional
        Result of an earlier call. Instances whose line is unchanged are taken
        from it, which saves time; the result is the same as without it.

    Returns
    -------
    Ok of InstanceList, or Err of list of SchemaError
        The key of an error is the name of the field. An invalid text never raises
        an exception.
    """
    errors = ErrorList(filename)
    try:
        digest = hashlib.sha256(text.encode()).hexdigest()
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        errors.add(line, "", "", "", "text is not valid Unicode")
        return Err(errors.to_sorted_list())
    first_line, *lines = text.split("\n")
    match = _REVISION.fullmatch(first_line)
    if match is None:
        errors.add(
            1,
            "",
            "revision",
            first_line,
            "expected '# revision <number>' on the first line",
        )
    unchanged = _index_by_line(previous) if previous is not None else {}
    instances: dict[str, Instance] = {}
    for line_number, line in enumerate(lines, 2):
        if not line:
            continue
        instance = unchanged.get(line) or _parse_line(line_number, line, errors)
        if instance is None:
            continue
        if instance.name in instances:
            errors.add(
                line_number, "", "instance", instance.name, "duplicate instance name"
            )
        instances[instance.name] = instance
    if match is None or errors:
        return Err(errors.to_sorted_list())
    return Ok(InstanceList(int(match[1]), instances, text, digest))


def _index_by_line(instances: InstanceList) -> dict[str, Instance]:
    """Return the instances of a parsed list by their line of its text.

    Empty if `instances` does not have one line for each instance.
    """
    lines = [line for line in instances.text.split("\n")[1:] if line]
    if len(lines) != len(instances.instances):
        return {}
    return dict(zip(lines, instances.instances.values(), strict=True))


def _parse_line(line_number: int, line: str, errors: ErrorList) -> Instance | None:
    """Parse one line; add its errors to `errors` and return None if it has any."""
    words = line.split(" ")
    if len(words) != len(_FIELDS):
        reason = f"expected {len(_FIELDS)} fields separated by spaces, got {len(words)}"
        errors.add(line_number, "", "", line, reason)
        return None
    values = []
    for (key, convert), word in zip(_FIELDS, words, strict=True):
        try:
            values.append(convert(word))
        except ValueError as exc:
            errors.add(line_number, "", key, word, str(exc))
    if len(values) < len(_FIELDS):
        return None
    return Instance(*values[:-1], state=_STATES[values[-1]])


def _render_line(instance: Instance) -> str:
    return (
        f"{instance.name} {instance.service} {instance.failure_domain} "
        f"{instance.host} {instance.control_port} {instance.link_port} "
        f"{instance.call_port} {instance.admin_port} {instance.backend_port} "
        f"{instance.state.value}"
    )


def render_instances(instances: InstanceList) -> str:
    """Render an instance list in the order of its instances.

    Parameters
    ----------
    instances : InstanceList
        List to render; its `text` and `digest` are ignored.

    Returns
    -------
    str

    Raises
    ------
    ValueError
        If the revision is negative or not an integer.
    """
    revision = instances.revision
    if type(revision) is not int or revision < 0:
        raise ValueError(f"revision must be a non-negative integer, got {revision!r}")
    lines = map(_render_line, instances.instances.values())
    return "\n".join([f"# revision {revision}", *lines, ""])
