"""Entry point of the program ``mangowell``, the command line for operators.

Exit codes: 0 success, 1 negative finding, 2 invalid input, 3 nothing reachable.
"""

import importlib
import os
import sys
from dataclasses import dataclass, field
from importlib import metadata
from typing import Annotated

import cappa
from cappa import Arg

from mangowell_cli.internal.checks import check_files
from mangowell_cli.internal.differences import show_diff
from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.files import load_document
from mangowell_cli.internal.fleet import compute_exit_code, print_fleet, query_fleet
from mangowell_cli.internal.logs import show_logs
from mangowell_cli.internal.nodes import Timeouts, select_nodes
from mangowell_cli.internal.output import escape_control_chars
from mangowell_cli.internal.promotion import promote
from mangowell_cli.internal.route_explanation import show_route
from mangowell_cli.internal.timeline import show_timeline

Json = Annotated[bool, Arg(long="--json", help="Print JSON for scripts.")]
Nodes = Annotated[
    str, Arg(long="--nodes", value_name="HOST:ADMIN_PORT,...", help="Nodes to query.")
]
Instances = Annotated[
    str,
    Arg(
        long="--instances",
        value_name="FILE",
        help="Instance list of the nodes to query.",
    ),
]
TimeoutS = Annotated[
    float, Arg(long="--timeout-s", help="Longest wait for one node, in seconds.")
]
DeadlineS = Annotated[
    float, Arg(long="--deadline-s", help="Longest wait for all nodes, in seconds.")
]


@cappa.command(name="check", help="Check documents, settings and instance lists.")
@dataclass
class Check:
    """Arguments of ``mangowell check``."""

    files: Annotated[
        list[str], Arg(value_name="FILE", num_args=-1, help="Files to check.")
    ]
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        if not self.files:
            raise CommandError("no files to check")
        return check_files(self.files, self.json)


@cappa.command(name="diff", help="Show what would change, and for which services.")
@dataclass
class Diff:
    """Arguments of ``mangowell diff``."""

    old: Annotated[str, Arg(value_name="OLD", help="Document that runs now.")]
    new: Annotated[str, Arg(value_name="NEW", help="Document that would replace it.")]
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        return show_diff(self.old, self.new, self.json)


@cappa.command(
    name="promote",
    help="Make the next document of an environment from a trial document. Refused "
    "unless every named trial node runs exactly that trial document.",
)
@dataclass
class Promote:
    """Arguments of ``mangowell promote``."""

    trial: Annotated[str, Arg(value_name="TRIAL", help="Trial document.")]
    to: Annotated[
        str, Arg(long="--to", value_name="ENVIRONMENT", help="Target environment.")
    ]
    current: Annotated[
        str,
        Arg(
            long="--current",
            value_name="FILE",
            help="Newest document of the target environment.",
        ),
    ]
    nodes: Nodes = ""
    instances: Instances = ""
    output: Annotated[
        str,
        Arg(
            long="--output",
            value_name="FILE",
            help="File to write; standard output by default.",
        ),
    ] = ""
    timeout_s: TimeoutS = 2.0
    deadline_s: DeadlineS = 30.0
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        return promote(
            self.trial,
            self.current,
            self.to,
            select_nodes(self.nodes, self.instances),
            self.output,
            Timeouts(self.timeout_s, self.deadline_s),
            self.json,
        )


@cappa.command(name="status", help="Show which nodes run which version, and why.")
@dataclass
class Status:
    """Arguments of ``mangowell status``."""

    nodes: Nodes = ""
    instances: Instances = ""
    document: Annotated[
        str,
        Arg(
            long="--document",
            value_name="FILE",
            help="Document that the nodes should run; the highest version by default.",
        ),
    ] = ""
    findings: Annotated[
        bool, Arg(long="--findings", help="List only nodes that need attention.")
    ] = False
    timeout_s: TimeoutS = 2.0
    deadline_s: DeadlineS = 30.0
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        nodes = select_nodes(self.nodes, self.instances)
        document = load_document(self.document) if self.document else None
        timeouts = Timeouts(self.timeout_s, self.deadline_s)
        reports, targets = query_fleet(nodes, timeouts, document)
        print_fleet(reports, targets, self.json, self.findings)
        return compute_exit_code(reports)


@cappa.command(
    name="route",
    help="Show where a request would go now and why, without sending it. Asks the "
    "metrics ports of nodes on a platform.",
)
@dataclass
class ExplainRoute:
    """Arguments of ``mangowell explain route``."""

    host: Annotated[
        str, Arg(long="--host", value_name="NAME", help="Host of the request.")
    ] = ""
    path: Annotated[
        str, Arg(long="--path", value_name="PATH", help="Path of the request.")
    ] = ""
    method: Annotated[
        str, Arg(long="--method", value_name="METHOD", help="Method of the request.")
    ] = "GET"
    body_bytes: Annotated[
        int,
        Arg(long="--body-bytes", value_name="N", help="Size of the body, in bytes."),
    ] = 0
    failure_domain: Annotated[
        str,
        Arg(
            long="--failure-domain",
            value_name="NAME",
            help="Failure domain of the caller; only its nodes explain.",
        ),
    ] = ""
    nodes: Annotated[
        str,
        Arg(long="--nodes", value_name="HOST:METRICS_PORT,...", help="Nodes to ask."),
    ] = ""
    timeout_s: TimeoutS = 2.0
    deadline_s: DeadlineS = 30.0
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        request = {"host": self.host, "path": self.path, "method": self.method}
        return show_route(
            select_nodes(self.nodes, ""),
            request,
            self.body_bytes,
            self.failure_domain,
            Timeouts(self.timeout_s, self.deadline_s),
            self.json,
        )


@cappa.command(name="explain", help="Show what nodes did and why, as a timeline.")
@dataclass
class Explain:
    """Arguments of ``mangowell explain``."""

    subject: cappa.Subcommands[ExplainRoute | None] = None
    nodes: Nodes = ""
    instances: Instances = ""
    version: Annotated[
        str, Arg(long="--version", value_name="N", help="Events of this version.")
    ] = ""
    request: Annotated[
        str, Arg(long="--request", value_name="ID", help="Events of this request.")
    ] = ""
    backend: Annotated[
        str,
        Arg(long="--backend", value_name="INSTANCE", help="Events of this backend."),
    ] = ""
    logs: Annotated[
        list[str],
        Arg(long="--logs", value_name="FILE", help="Read logs instead; - for stdin."),
    ] = field(default_factory=list)
    timeout_s: TimeoutS = 2.0
    deadline_s: DeadlineS = 30.0
    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        if self.subject is not None:
            return self.subject.run()
        options = {
            "version": self.version,
            "request": self.request,
            "backend": self.backend,
        }
        if self.logs:
            filters = {name: value for name, value in options.items() if value}
            return show_logs(self.logs, filters, self.json)
        return show_timeline(
            select_nodes(self.nodes, self.instances),
            {name: value for name, value in options.items() if value},
            Timeouts(self.timeout_s, self.deadline_s),
            self.json,
        )


@cappa.command(name="demo", help="Run a whole mesh in this process.")
@dataclass
class Demo:
    """Arguments of ``mangowell demo``."""

    json: Json = False

    def run(self) -> int:
        """Run the command and return the exit code."""
        try:
            demo = importlib.import_module("mangowell_standins.demo")
        except ModuleNotFoundError as exc:
            raise CommandError(
                "the demo needs the package mangowell-standins, as in "
                f"pip install 'mangowell[demo]': {exc}"
            ) from exc
        return demo.run_demo(json=self.json)


@cappa.command(
    name="mangowell",
    help="Operators' command of mangowell.",
    description="Exit codes: 0 success, 1 negative finding such as differences or "
    "nodes behind, 2 invalid input, 3 nothing reachable.",
)
@dataclass
class Mangowell:
    """Arguments of the program."""

    command: cappa.Subcommands[Check | Diff | Promote | Status | Explain | Demo] = (
        field()
    )


def _read_version() -> str:
    try:
        return metadata.version("mangowell")
    except metadata.PackageNotFoundError:
        return "unknown"


def main(argv: list[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program's name; those of the process by default.

    Returns
    -------
    int
        Exit code.
    """
    version = Arg(
        value_name=_read_version(), long="--version", help="Show the version."
    )
    args = cappa.parse(Mangowell, argv=argv, version=version, completion=False)
    try:
        code = int(args.command.run())
        sys.stdout.flush()
        return code
    except CommandError as exc:
        for line in str(exc).splitlines():
            print(f"error: {escape_control_chars(line)}", file=sys.stderr)
        return int(exc.code)
    except KeyboardInterrupt:
        # As in a shell: 128 plus the number of SIGINT (2).
        return 130
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe. Without a
        # new target the flush at the interpreter's exit would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.SUCCESS)
