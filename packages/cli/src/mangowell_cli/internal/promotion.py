"""Promotion of a trial document to another environment."""

import os
import sys
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from mangowell_cli.internal.differences import describe_diff, format_diff
from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.files import load_document, replace_file
from mangowell_cli.internal.fleet import NodeStatus, query_statuses
from mangowell_cli.internal.nodes import NodeAddress, Timeouts
from mangowell_cli.internal.output import escape_control_chars, print_json
from mangowell_core.document import diff_documents, parse_document, promote_document
from mangowell_core.model import Document


def explain_mismatch(trial: Document, answer: Result[NodeStatus, str]) -> str:
    """Return why a node does not confirm the trial document; empty if it does."""
    match answer:
        case Err(reason):
            return f"unreachable: {reason}"
        case Ok(status):
            pass
    for name, found, expected in (
        ("environment", status.environment, trial.environment),
        ("version", status.version, trial.version),
        ("digest", status.digest, trial.digest),
    ):
        if found != expected:
            return f"runs {name} {found}, the trial document has {expected}"
    return "" if status.ready else "runs the document, but accepts no calls"


def build_promoted_document(
    trial: Document, current: Document, environment: str
) -> Document:
    """Create the next document of an environment from a trial document.

    Parameters
    ----------
    trial : Document
        Document whose content is taken.
    current : Document
        Newest document of the environment.
    environment : str
        Target environment.

    Returns
    -------
    Document
        Its version is that of `current` plus one.

    Raises
    ------
    CommandError
        If `current` is not for `environment`, if `trial` is already for it, or if
        the result is not valid.
    """
    if current.environment != environment:
        raise CommandError(
            f"--current is for environment {current.environment}, not {environment}"
        )
    if trial.environment == environment:
        raise CommandError(f"the trial document is already for {environment}")
    try:
        text = promote_document(trial, current.version + 1, environment)
    except ValueError as exc:
        raise CommandError(str(exc)) from exc
    match parse_document(text, "promoted document"):
        case Ok(document):
            return document
        case Err(errors):
            raise CommandError("\n".join(map(escape_control_chars, errors)))


def promote(
    trial_path: str,
    current_path: str,
    environment: str,
    nodes: Sequence[NodeAddress],
    output: str,
    timeouts: Timeouts,
    as_json: bool,
) -> ExitCode:
    """Promote a trial document if every trial node runs it and accepts calls.

    Parameters
    ----------
    trial_path, current_path : str
        Files of the trial document and of the newest document of `environment`.
    environment : str
        Target environment.
    nodes : sequence of NodeAddress
        Nodes of the trial environment.
    output : str
        Path of the file to write; standard output if empty.
    timeouts : Timeouts
        Longest waits for the answers to the status queries.
    as_json : bool
        Whether to print a JSON report instead of text.

    Returns
    -------
    ExitCode
        3 if no node answered, 1 if the promotion was refused, else 0.
    """
    trial, current = load_document(trial_path), load_document(current_path)
    new_document = build_promoted_document(trial, current, environment)
    if output and os.path.realpath(output) == os.path.realpath(trial_path):
        raise CommandError("--output would overwrite the trial document")
    answers = query_statuses(nodes, timeouts)
    mismatches = [explain_mismatch(trial, answer) for answer in answers]
    refused = any(mismatches)
    if not refused and output:
        replace_file(output, new_document.text)
    diff = diff_documents(current, new_document)
    if as_json:
        _print_report(trial, new_document, nodes, mismatches, diff, output)
    else:
        for node, mismatch in zip(nodes, mismatches, strict=True):
            if mismatch:
                print(
                    escape_control_chars(f"{node.address}: {mismatch}"), file=sys.stderr
                )
        if refused:
            print("refused: not every trial node runs this document", file=sys.stderr)
        else:
            print("\n".join(format_diff(diff)), file=sys.stderr)
            if not output:
                sys.stdout.write(new_document.text)
    if all(isinstance(answer, Err) for answer in answers):
        return ExitCode.UNREACHABLE
    return ExitCode.FINDING if refused else ExitCode.SUCCESS


def _print_report(trial, new_document, nodes, mismatches, diff, output) -> None:
    promoted = not any(mismatches)
    report: dict[str, Any] = {
        "promoted": promoted,
        "trial": {
            "environment": trial.environment,
            "version": trial.version,
            "digest": trial.digest,
        },
        "nodes": [
            {"node": node.address, "confirmed": not mismatch, "reason": mismatch}
            for node, mismatch in zip(nodes, mismatches, strict=True)
        ],
        **describe_diff(diff),
    }
    if promoted:
        report["digest"] = new_document.digest
        report["output"] = output or None
        if not output:
            report["document"] = new_document.text
    print_json(report)
