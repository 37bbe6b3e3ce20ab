"""Guards the figures that operators read from the metrics."""

from mangowell_node.telemetry import Telemetry


def test_call_histogram_counts_each_call_once():
    telemetry = Telemetry("n0", level="error")
    for seconds in (0.0005, 0.0006, 0.2, 99.0):
        telemetry.record_call("cafes", "browsing", "catalogue", "done", seconds)
    telemetry.record_call("", "browsing", "catalogue", "not-run", 0.001)
    telemetry.render()
    text = telemetry.render().decode()
    lines = [line for line in text.splitlines() if "cafes" in line]
    values = {}
    for line in lines:
        name = line.split("{")[0].removeprefix("mangowell_call_seconds_")
        bound = line.partition('le="')[2].partition('"')[0]
        values[name, bound] = float(line.rsplit(" ", 1)[1])
    assert values["bucket", "0.0005"] == 1
    assert values["bucket", "0.001"] == 2
    assert values["bucket", "0.25"] == 3
    assert values["bucket", "10.0"] == 3
    assert values["bucket", "+Inf"] == values["count", ""] == 4
    assert abs(values["sum", ""] - 99.2011) < 1e-9
    assert 'outcome="not-run"' in text
