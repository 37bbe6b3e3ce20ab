"""Guards the way of a call from its caller to a backend server and back."""

import pytest

from node.support_calls import ScriptedBackend, run_stations


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_reaches_local_and_remote_backend_servers(method):
    first, second = await ScriptedBackend().start(), await ScriptedBackend().start()
    async with run_stations(first, second) as (station, _):
        for _ in range(20):
            body = b"{}" if method == "POST" else b""
            answer = await station.call(method, "/a?b=c", body=body)
            assert (answer.status, answer.body) == (200, b"ok")
            assert answer.outcome == "done"
        assert first.executions and second.executions
        assert first.executions + second.executions == 20
