"""Tests the settings of a node on the platform and their reload at run time."""

import asyncio
import os
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import parse_mesh_settings
from mangowell_core.mesh.settings import parse_duration
from mangowell_node.mesh import program
from mangowell_node.mesh.program import SettingsReloader
from mangowell_node.telemetry import Telemetry
from mangowell_standins.scripted_http import make_answer
from mesh.support_mesh import run_mesh

TEMPLATE = Path(__file__).parents[2] / "deploy/settings.ini.template"
VALUES = {
    "node-name": "sidecar-1",
    "zone": "z-a",
    "service": "orders",
    "limits.link-mbps": "1000.0",
    "listen.outbound": "10.0.0.1:8304",
    "listen.ready": "10.0.0.1:8302",
    "ip": "10.0.0.1",
    "internal-ports.0": "7620",
    "app-addr": "10.0.0.1:8301",
    "platform.address": "10.9.0.1:8309",
    "heartbeat": "1500ms",
    "bounds.grace": "6s",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-min-retries": "60",
    "bounds.budget-window": "10s",
    "bounds.warmup-overage": "",
    "bounds.warmup-slack": "",
    "bounds.evacuate": "",
    "limits.memory-mb": "300",
    "limits.max-fds": "4100",
}


def render_template(**changes):
    values = VALUES | changes
    return re.sub(r"\{\{(.*?)\}\}", lambda m: values[m[1]], TEMPLATE.read_text())


def test_rendered_template_is_valid():
    settings = parse_mesh_settings(render_template(), "x").unwrap()
    assert (settings.instance, settings.failure_domain) == ("sidecar-1", "z-a")
    assert (settings.link.host, settings.link.port) == ("10.0.0.1", 7620)
    assert (settings.grace_s, settings.retry_floor) == (6.0, 60)
    assert settings.heartbeat_s == 1.5


def test_bounds_of_other_platforms_need_no_warning_if_they_are_missing():
    settings = parse_mesh_settings(render_template(), "x").unwrap()
    assert (settings.warnings, settings.evacuate_s) == ((), 0.0)
    bounds = {"overage": "1.5", "slack": "8"}
    changes = {f"bounds.warmup-{name}": value for name, value in bounds.items()}
    text = render_template(**changes, **{"bounds.evacuate": "5000ms"})
    settings = parse_mesh_settings(text, "x").unwrap()
    assert (settings.warmup_overage, settings.warmup_slack) == (1.5, 8.0)
    assert (settings.evacuate_s, settings.memory_mb) == (5.0, 300.0)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"zone": ""}, "[node] failure_domain: missing"),
        ({"app-addr": "10.0.0.1"}, "[worker] worker='10.0.0.1'"),
        ({"platform.address": "10.9.0.1:x"}, "[store] store='10.9.0.1:x'"),
    ],
)
def test_each_error_names_section_key_and_value(change, expected):
    errors = parse_mesh_settings(render_template(**change), "file.ini").unwrap_err()
    assert [expected in error and "file.ini" in error for error in errors] == [True]


@pytest.mark.parametrize("port", ["0", "70000", "-1", "8_0", "1" * 5000, "\u0661"])
@pytest.mark.parametrize("field", ["app-addr", "platform.address", "listen.ready"])
def test_port_out_of_range_is_an_error(field, port):
    """Guards against a reload of settings that fail only when they are used."""
    result = parse_mesh_settings(render_template(**{field: f"10.0.0.1:{port}"}), "x")
    assert result.is_err()


@pytest.mark.parametrize("field", ["service", "zone", "node-name"])
@pytest.mark.parametrize("name", ["a\n  X: y", "a\x01", "x" * 256])
def test_name_that_fits_into_no_header_field_is_an_error(field, name):
    """Guards against a header field that a value of several lines injects."""
    assert parse_mesh_settings(render_template(**{field: name}), "x").is_err()


@given(st.text() | st.text("[]=:\n ;#abc", max_size=60))
def test_text_that_is_no_settings_file_is_an_error(text):
    assert parse_mesh_settings(text, "x").is_err()
    assert parse_mesh_settings("[node]\n" + text, "x").is_err()


def test_number_too_large_is_replaced_by_its_default():
    changes = {"bounds.grace": "1" * 400 + "s", "limits.link-mbps": "1e308"}
    settings = parse_mesh_settings(render_template(**changes), "x").unwrap()
    assert (settings.grace_s, settings.link_mbps) == (5.0, 0.0)
    assert len(settings.warnings) == 2


def test_all_errors_are_reported():
    changes = {"zone": "", "listen.ready": "soon"}
    assert len(parse_mesh_settings(render_template(**changes), "x").unwrap_err()) == 2


@pytest.mark.parametrize(
    ("change", "expected", "field", "default"),
    [
        ({"bounds.grace": "6"}, "[bounds] grace_s='6'", "grace_s", 5.0),
        ({"bounds.grace": ""}, "[bounds] grace_s: missing", "grace_s", 5.0),
        (
            {"bounds.retry-budget-ratio": "-1"},
            "[retries] retry_ratio='-1'",
            "retry_ratio",
            0.0,
        ),
        (
            {"bounds.retry-budget-ratio": "nan"},
            "[retries] retry_ratio='nan'",
            "retry_ratio",
            0.0,
        ),
        (
            {"bounds.budget-min-retries": "many"},
            "[retries] retry_floor='many'",
            "retry_floor",
            0.0,
        ),
        (
            {"bounds.budget-window": "0s"},
            "[retries] retry_window_s='0s'",
            "retry_window_s",
            10.0,
        ),
        ({"heartbeat": "often"}, "[store] heartbeat_s='often'", "heartbeat_s", 0.0),
        ({"limits.link-mbps": ""}, "[node] link_mbps: missing", "link_mbps", 0.0),
    ],
)
def test_unusable_value_is_replaced_by_its_default_and_named(
    change, expected, field, default
):
    """A bound that the platform writes in another form must not stop the fleet."""
    settings = parse_mesh_settings(render_template(**change), "file.ini").unwrap()
    assert getattr(settings, field) == default
    assert [
        expected in warning and "file.ini" in warning for warning in settings.warnings
    ] == [True]


@given(
    floor=st.floats(0, 1e6) | st.integers(0, 10**6),
    ratio=st.floats(0, 2) | st.integers(0, 2),
    link_mbps=st.floats(0.1, 1e5) | st.integers(1, 10**5),
    grace_ms=st.floats(1, 1e5).map(lambda ms: round(ms, 3)) | st.integers(1, 10**5),
    unit=st.sampled_from(["ms", "s"]),
)
def test_numbers_may_be_whole_or_fractions(floor, ratio, link_mbps, grace_ms, unit):
    """Scaled deployments have bounds such as 30.714285714285715 retries."""
    settings = parse_mesh_settings(
        render_template(
            **{
                "bounds.budget-min-retries": str(floor),
                "bounds.retry-budget-ratio": str(ratio),
                "limits.link-mbps": str(link_mbps),
                "bounds.grace": f"{grace_ms}{unit}",
            }
        ),
        "x",
    ).unwrap()
    assert not settings.warnings
    assert settings.retry_floor == floor
    assert (settings.retry_ratio, settings.link_mbps) == (ratio, link_mbps)
    assert settings.grace_s == pytest.approx(
        grace_ms / 1000 if unit == "ms" else grace_ms
    )


def test_file_without_ini_sections_is_an_error():
    assert parse_mesh_settings("instance = x", "x").is_err()


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_duration_is_converted_to_seconds(text, seconds):
    assert parse_duration(text) == seconds


@pytest.mark.parametrize("text", ["5", "s", "1 s", "1m", "-1s", "1e3ms", ""])
def test_duration_without_a_known_unit_is_rejected(text):
    with pytest.raises(ValueError, match="unit"):
        parse_duration(text)


class FakeNode:
    def __init__(self):
        self.reloaded_settings = []

    def reload(self, settings):
        self.reloaded_settings.append(settings)


@pytest.fixture
def reloader(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(render_template())
    settings = parse_mesh_settings(render_template(), str(path)).unwrap()
    telemetry = Telemetry("n", level="error")
    node = FakeNode()
    return path, node, telemetry, SettingsReloader(path, settings, node, telemetry)


def test_changed_settings_are_applied(reloader):
    path, node, _, settings_reloader = reloader
    path.write_text(render_template(service="stock"))
    settings_reloader.reload()
    assert [settings.service for settings in node.reloaded_settings] == ["stock"]


def test_unchanged_settings_are_not_applied(reloader):
    _, node, _, settings_reloader = reloader
    settings_reloader.reload()
    assert node.reloaded_settings == []


@pytest.mark.parametrize("text", ["", "[node", "\udcff"])
def test_invalid_settings_keep_the_current_ones(reloader, text):
    path, node, telemetry, settings_reloader = reloader
    path.write_bytes(text.encode("utf-8", "surrogateescape"))
    settings_reloader.reload()
    assert node.reloaded_settings == []
    assert [e["name"] for e in telemetry.select_events()] == ["settings_refused"]


@pytest.mark.parametrize("text", [b"[node", b"\xff"])
async def test_file_that_was_read_half_written_is_read_again(
    reloader, text, monkeypatch
):
    """Both writes may have the same modification time, whose clock is coarse."""
    monkeypatch.setattr(program, "SETTINGS_POLL_S", 0.01)
    path, node, telemetry, settings_reloader = reloader
    path.write_bytes(text)
    os.utime(path, ns=(1, 1))
    async with asyncio.timeout(5):
        task = asyncio.create_task(settings_reloader.run())
        await asyncio.sleep(0.1)
        path.write_text(render_template(service="stock"))
        os.utime(path, ns=(1, 1))
        while not node.reloaded_settings:
            await asyncio.sleep(0.01)
        task.cancel()
    assert [e["name"] for e in telemetry.select_events()] == ["settings_refused"]


def test_settings_that_the_node_failed_to_take_are_applied_later(reloader, monkeypatch):
    path, node, _, settings_reloader = reloader
    path.write_text(render_template(service="stock"))
    with monkeypatch.context() as patch:
        patch.setattr(node, "reload", lambda settings: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            settings_reloader.reload()
    settings_reloader.reload()
    assert [settings.service for settings in node.reloaded_settings] == ["stock"]


def test_missing_settings_file_keeps_the_current_settings(reloader):
    path, node, _, settings_reloader = reloader
    path.unlink()
    settings_reloader.reload()
    assert node.reloaded_settings == []


def test_file_that_changed_without_a_signal_is_read_with_the_next_request(reloader):
    """Guards against requests with the service of the machine's former worker."""
    path, node, _, settings_reloader = reloader
    settings_reloader.reload_if_changed()
    path.write_text(render_template(service="stock"))
    settings_reloader.reload_if_changed()
    assert [settings.service for settings in node.reloaded_settings] == ["stock"]


def test_unchanged_file_is_not_read_with_each_request(reloader, monkeypatch):
    path, node, telemetry, settings_reloader = reloader
    path.write_text("")
    for _ in range(3):
        settings_reloader.reload_if_changed()
    assert len(telemetry.select_events()) == 1
    assert node.reloaded_settings == []


async def test_request_names_the_service_of_the_changed_settings():
    """Guards against a head that was made from settings no longer in force."""
    async with run_mesh() as (_, (machine,)):
        services = []

        async def answer(request):
            services.append(request.headers["caller-service"])
            return make_answer(b"ok")

        machine.worker.handler = answer
        await machine.call()
        changed = msgspec.structs.replace(machine.settings, service="stock")
        gateway = machine.node.gateway
        gateway.refresh_settings = lambda: gateway.reload(changed)
        await machine.call(request="id-2")
        assert services == ["orders", "stock"]


async def test_settings_that_cannot_be_taken_fail_no_request(reloader, monkeypatch):
    """Guards against a fault of the reload that costs a caller its answer."""
    path, node, _, settings_reloader = reloader
    path.write_text(render_template(service="stock"))
    monkeypatch.setattr(node, "reload", lambda settings: 1 / 0)
    faults = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: faults.append(context))
    settings_reloader.reload_if_changed()
    assert len(faults) == 1
