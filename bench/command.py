"""Command line shared by the benchmarks of the core."""

import argparse
import json
from collections.abc import Callable


def run_command(
    doc: str, run: Callable[[bool], dict], print_table: Callable[[dict], None]
) -> None:
    """Run a benchmark from the command line.

    Parameters
    ----------
    doc : str
        Description shown by ``--help``.
    run : callable
        Runs the benchmark and returns its figures; the argument tells whether
        to run the quick variant.
    print_table : callable
        Prints the figures as a table; not called with ``--json``, which prints
        them as one JSON object.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    result = run(options.quick)
    print(json.dumps(result)) if options.json else print_table(result)
