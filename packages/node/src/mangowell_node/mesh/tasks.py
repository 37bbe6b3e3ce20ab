"""Background tasks that run as long as the node."""

import asyncio
from collections.abc import Coroutine


def start_loop(coroutine: Coroutine) -> asyncio.Task:
    """Start a task whose failure is reported at once, not when it is awaited."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report_failure)
    return task


def _report_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {"message": f"{task.get_name()} failed", "exception": task.exception()}
    )
