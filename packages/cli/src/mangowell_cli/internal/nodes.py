"""Questions to the admin port of many nodes."""

import asyncio
import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
from result import Err, Ok, Result

from mangowell_cli.internal.errors import CommandError
from mangowell_cli.internal.files import load_instances
from mangowell_cli.internal.output import Progress
from mangowell_core.model import InstanceState

# Half of a usual limit of 256 open files for one process.
CONCURRENCY = 128
# 5,000 kept events of about 400 bytes; more is no answer of a node.
MAX_ANSWER_BYTES = 8_000_000
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")


@dataclass(slots=True, frozen=True)
class NodeAddress:
    """Admin port of a node.

    Parameters
    ----------
    address : str
        ``host:admin_port``.
    instance : str
        Empty if not known.
    leaving : bool
        Whether the instance list shows the instance as leaving.
    """

    address: str
    instance: str = ""
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Limits:
    """Deadlines of a round of questions.

    Parameters
    ----------
    timeout_s : float
        For one node.
    deadline_s : float
        For all nodes.
    """

    timeout_s: float = 2.0
    deadline_s: float = 30.0

    def __post_init__(self):
        for name in ("timeout_s", "deadline_s"):
            value = getattr(self, name)
            if not 0 < value <= 3600:
                raise CommandError(f"{name} must be above 0 and at most 3600: {value}")


def select_nodes(nodes: str, instances: str) -> list[NodeAddress]:
    """Return the nodes of ``--nodes`` and ``--instances`` without repetition.

    Parameters
    ----------
    nodes : str
        ``host:admin_port``, separated by commas; may be empty.
    instances : str
        Path of an instance list; may be empty.

    Raises
    ------
    CommandError
        If an address is not valid or there is no node.
    """
    found: dict[str, NodeAddress] = {}
    for word in filter(None, (word.strip() for word in nodes.split(","))):
        match = _ADDRESS.fullmatch(word)
        if match is None or not 1 <= int(match[2]) <= 65_535:
            raise CommandError(f"--nodes: expected host:admin_port, got {word!r}")
        found[word] = NodeAddress(word)
    if instances:
        for instance in load_instances(instances).instances.values():
            host = f"[{instance.host}]" if ":" in instance.host else instance.host
            address = f"{host}:{instance.admin_port}"
            leaving = instance.state is InstanceState.LEAVING
            found[address] = NodeAddress(address, instance.name, leaving)
    if not found:
        raise CommandError("no nodes: give --nodes or an instance list")
    return list(found.values())


async def _ask(
    session: aiohttp.ClientSession, url: str, params: Mapping[str, str]
) -> Result[Any, str]:
    """Ask one node; the error is why it gave no usable answer."""
    try:
        async with session.get(url, params=params, allow_redirects=False) as resp:
            body = bytearray()
            async for piece in resp.content.iter_chunked(65_536):
                body += piece
                if len(body) > MAX_ANSWER_BYTES:
                    return Err(f"answer above {MAX_ANSWER_BYTES} bytes")
            if resp.status != 200:
                return Err(f"HTTP status {resp.status}")
            return Ok(json.loads(body))
    except TimeoutError:
        return Err("no answer in time")
    except aiohttp.ClientConnectorError as exc:
        return Err(f"no connection: {exc.os_error.strerror or exc.os_error}")
    except aiohttp.ClientError as exc:
        return Err(f"{type(exc).__name__}: {exc}")
    except (ValueError, RecursionError):
        return Err("answer is not JSON")


async def _ask_all(
    nodes: Sequence[NodeAddress], path: str, params: Mapping[str, str], limits: Limits
) -> list[Result[Any, str]]:
    progress = Progress("nodes asked", len(nodes))
    slots = asyncio.Semaphore(CONCURRENCY)
    timeout = aiohttp.ClientTimeout(total=limits.timeout_s)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)

    async def ask(node: NodeAddress) -> Result[Any, str]:
        async with slots:
            url = f"http://{node.address}{path}"
            answer = await _ask(session, url, params)
        progress.advance()
        return answer

    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = [asyncio.create_task(ask(node)) for node in nodes]
        _, late = await asyncio.wait(tasks, timeout=limits.deadline_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    progress.close()
    return [
        Err("no answer before the deadline") if task.cancelled() else task.result()
        for task in tasks
    ]


def ask_nodes(
    nodes: Sequence[NodeAddress],
    path: str,
    params: Mapping[str, str] | None = None,
    limits: Limits | None = None,
) -> list[Result[Any, str]]:
    """Send a GET request to each node.

    Parameters
    ----------
    nodes : sequence of NodeAddress
    path : str
    params : mapping, optional
        Query of the URL.
    limits : Limits, optional

    Returns
    -------
    list of Result
        For each node in order the decoded JSON, or why there is none.
    """
    return asyncio.run(_ask_all(nodes, path, params or {}, limits or Limits()))
