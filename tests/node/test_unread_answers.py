"""Guards against memory that answers take which nobody reads."""

import asyncio
import contextlib
import gc

import pytest
import uvloop
from aiohttp.streams import StreamReader

from mangowell_node.exchange import AttemptError
from node.test_backend import HEAD, exchange, make_head, run_pool, write_raw

SIZE = 4_000_000
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % (SIZE + 1)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (SIZE + 1)


def count_held():
    return sum(o.total_bytes for o in gc.get_objects() if type(o) is StreamReader)


@pytest.mark.parametrize("start", [LENGTH, CHUNKED], ids=["length", "chunks"])
def test_unread_answer_holds_few_bytes_and_none_after_a_cut(start):
    """It held up to 384 KiB, and kept them in reference cycles after the cut."""

    async def check():
        handler = write_raw(start + b"x" * SIZE, close=False)
        async with run_pool(handler) as (backend, pool):
            for is_crash in (False, True):
                stream = (await exchange(pool, make_head())).stream
                await asyncio.sleep(0.05)
                assert 0 < count_held() <= 98_304
                (backend.crash if is_crash else stream.close)()
                with contextlib.suppress(AttemptError):
                    while await stream.read():
                        pass
                del stream
                await asyncio.sleep(0.05)
                assert count_held() == 0

    gc.collect()
    gc.disable()
    try:
        uvloop.run(check())
    finally:
        gc.enable()
