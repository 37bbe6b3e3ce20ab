"""Command line that the measurements of the core share."""

import argparse
import json
from collections.abc import Callable


def run_command(
    doc: str, run: Callable[[bool], dict], print_table: Callable[[dict], None]
) -> None:
    """Run a measurement from the command line.

    Parameters
    ----------
    doc : str
        Description for ``--help``.
    run : callable
        Takes whether to be quick and returns the figures.
    print_table : callable
        Prints the figures, unless ``--json`` asks for them as one object.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    result = run(options.quick)
    print(json.dumps(result)) if options.json else print_table(result)
