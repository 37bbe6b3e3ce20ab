"""Tasks that run as long as the node."""

import asyncio
from collections.abc import Coroutine


def start_loop(coroutine: Coroutine) -> asyncio.Task:
    """Start a task whose failure is reported when it happens, not at the end."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report)
    return task


def _report(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {"message": f"{task.get_name()} failed", "exception": task.exception()}
    )
