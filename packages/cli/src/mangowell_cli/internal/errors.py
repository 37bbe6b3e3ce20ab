"""Exit codes, and the exception that ends a command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of every command; ``docs/command.md`` documents them."""

    SUCCESS = 0
    FINDING = 1
    INVALID = 2
    UNREACHABLE = 3


class CommandError(Exception):
    """Ends a command with a message on standard error.

    Parameters
    ----------
    message : str
        Printed on standard error, each line after ``error:``.
    code : ExitCode
        Exit code of the command.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.INVALID):
        super().__init__(message)
        self.code = code
