"""Concurrent queries to the admin ports of nodes."""

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

# Half of 256, a usual limit of open files for one process.
MAX_CONCURRENT_QUERIES = 128
# A node keeps 5,000 events of about 400 bytes, a quarter of this limit. A longer
# answer does not come from a node.
MAX_ANSWER_BYTES = 8_000_000
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")


@dataclass(slots=True, frozen=True)
class NodeAddress:
    """Address of the admin port of a node.

    Parameters
    ----------
    address : str
        ``host:admin_port``.
    instance : str
        Name of the instance; empty if not known.
    leaving : bool
        Whether the instance list shows the instance as leaving.
    """

    address: str
    instance: str = ""
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Timeouts of a query to several nodes.

    Parameters
    ----------
    timeout_s : float
        Longest wait for one node, in seconds.
    deadline_s : float
        Longest wait for all nodes together, in seconds.
    """

    timeout_s: float = 2.0
    deadline_s: float = 30.0

    def __post_init__(self):
        for name in ("timeout_s", "deadline_s"):
            value = getattr(self, name)
            if not 0 < value <= 3600:
                raise CommandError(f"{name} must be above 0 and at most 3600: {value}")


def select_nodes(nodes: str, instances: str) -> list[NodeAddress]:
    """Return the nodes of ``--nodes`` and ``--instances`` without duplicates.

    Parameters
    ----------
    nodes : str
        Addresses ``host:admin_port``, separated by commas; may be empty.
    instances : str
        Path of an instance list; may be empty.

    Raises
    ------
    CommandError
        If an address is not valid or no node is given.
    """
    addresses: dict[str, NodeAddress] = {}
    for entry in filter(None, (entry.strip() for entry in nodes.split(","))):
        match = _ADDRESS.fullmatch(entry)
        if match is None or not 1 <= int(match[2]) <= 65_535:
            raise CommandError(f"--nodes: expected host:admin_port, got {entry!r}")
        addresses[entry] = NodeAddress(entry)
    if instances:
        for instance in load_instances(instances).instances.values():
            host = f"[{instance.host}]" if ":" in instance.host else instance.host
            address = f"{host}:{instance.admin_port}"
            leaving = instance.state is InstanceState.LEAVING
            addresses[address] = NodeAddress(address, instance.name, leaving)
    if not addresses:
        raise CommandError("no nodes: give --nodes or an instance list")
    return list(addresses.values())


async def _query_node(
    session: aiohttp.ClientSession, url: str, params: Mapping[str, str]
) -> Result[Any, str]:
    """Query one node; the error says why there is no usable answer."""
    try:
        async with session.get(url, params=params, allow_redirects=False) as resp:
            body = bytearray()
            async for chunk in resp.content.iter_chunked(65_536):
                body += chunk
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


async def _query_all(
    nodes: Sequence[NodeAddress],
    path: str,
    params: Mapping[str, str],
    timeouts: Timeouts,
) -> list[Result[Any, str]]:
    progress = Progress("nodes asked", len(nodes))
    slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    timeout = aiohttp.ClientTimeout(total=timeouts.timeout_s)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)

    async def query(node: NodeAddress) -> Result[Any, str]:
        async with slots:
            url = f"http://{node.address}{path}"
            answer = await _query_node(session, url, params)
        progress.advance()
        return answer

    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = [asyncio.create_task(query(node)) for node in nodes]
        _, unfinished = await asyncio.wait(tasks, timeout=timeouts.deadline_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
    progress.close()
    return [
        Err("no answer before the deadline") if task.cancelled() else task.result()
        for task in tasks
    ]


def query_nodes(
    nodes: Sequence[NodeAddress],
    path: str,
    params: Mapping[str, str] | None = None,
    timeouts: Timeouts | None = None,
) -> list[Result[Any, str]]:
    """Send a GET request to each node.

    Parameters
    ----------
    nodes : sequence of NodeAddress
    path : str
        Path of the URL.
    params : mapping, optional
        Query parameters of the URL.
    timeouts : Timeouts, optional
        The defaults of `Timeouts` if not given.

    Returns
    -------
    list of Result
        For each node, in the order of `nodes`: the decoded JSON, or the reason why
        there is none.
    """
    return asyncio.run(_query_all(nodes, path, params or {}, timeouts or Timeouts()))
