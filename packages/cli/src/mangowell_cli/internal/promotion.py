"""Promotion of a trial document to another environment."""

import os
import sys
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from mangowell_cli.internal.differences import describe_diff, format_diff
from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.files import load_document, write_text
from mangowell_cli.internal.fleet import NodeStatus, ask_status
from mangowell_cli.internal.nodes import Limits, NodeAddress
from mangowell_cli.internal.output import clean, print_json
from mangowell_core.document import diff_documents, parse_document, promote_document
from mangowell_core.model import Document


def find_mismatch(trial: Document, answer: Result[NodeStatus, str]) -> str:
    """Return why a node does not confirm a trial document; empty if it does."""
    match answer:
        case Err(reason):
            return f"unreachable: {reason}"
        case Ok(status):
            pass
    for name, found, wanted in (
        ("environment", status.environment, trial.environment),
        ("version", status.version, trial.version),
        ("digest", status.digest, trial.digest),
    ):
        if found != wanted:
            return f"runs {name} {found}, the trial document has {wanted}"
    return "" if status.ready else "runs the document, but accepts no calls"


def make_promotion(trial: Document, current: Document, environment: str) -> Document:
    """Make the next document of an environment.

    Parameters
    ----------
    trial : Document
    current : Document
        Newest document of the environment.
    environment : str

    Returns
    -------
    Document
        The version is that of `current` plus one.

    Raises
    ------
    CommandError
        If the environments do not fit, or the result is not valid.
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
            raise CommandError("\n".join(map(clean, errors)))


def promote(
    trial_path: str,
    current_path: str,
    environment: str,
    nodes: Sequence[NodeAddress],
    output: str,
    limits: Limits,
    as_json: bool,
) -> ExitCode:
    """Promote a trial document if every node confirms it.

    Parameters
    ----------
    trial_path, current_path : str
    environment : str
    nodes : sequence of NodeAddress
        Nodes of the trial environment.
    output : str
        Path of the file to write; standard output if empty.
    limits : Limits
    as_json : bool

    Returns
    -------
    ExitCode
    """
    trial, current = load_document(trial_path), load_document(current_path)
    made = make_promotion(trial, current, environment)
    if output and os.path.realpath(output) == os.path.realpath(trial_path):
        raise CommandError("--output would overwrite the trial document")
    answers = ask_status(nodes, limits)
    mismatches = [find_mismatch(trial, answer) for answer in answers]
    refused = any(mismatches)
    if not refused and output:
        write_text(output, made.text)
    diff = diff_documents(current, made)
    if as_json:
        _print_report(trial, made, nodes, mismatches, diff, output)
    else:
        for node, mismatch in zip(nodes, mismatches, strict=True):
            if mismatch:
                print(clean(f"{node.address}: {mismatch}"), file=sys.stderr)
        if refused:
            print("refused: not every trial node runs this document", file=sys.stderr)
        else:
            print("\n".join(format_diff(diff)), file=sys.stderr)
            if not output:
                sys.stdout.write(made.text)
    if all(isinstance(answer, Err) for answer in answers):
        return ExitCode.UNREACHABLE
    return ExitCode.FINDING if refused else ExitCode.SUCCESS


def _print_report(trial, made, nodes, mismatches, diff, output) -> None:
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
        report["digest"] = made.digest
        report["output"] = output or None
        if not output:
            report["document"] = made.text
    print_json(report)
