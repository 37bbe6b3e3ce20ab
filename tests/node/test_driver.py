"""After a pause of the process the node must not act on outdated state."""

from mangowell_core.distribution import io
from mangowell_node.driver import PAUSE_THRESHOLD_S, DistributionDriver


class RecordingCore:
    """Core that stops serving when told of a pause."""

    def __init__(self):
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return []

    def next_deadline(self):
        return float("inf")

    def serving(self):
        return not any(isinstance(event, io.Resumed) for event in self.events)


async def test_node_stops_serving_before_the_first_call_after_a_pause():
    """A call may arrive before the driver's own timer has detected the pause."""
    core, serving = RecordingCore(), []
    driver = DistributionDriver(core, None, None, None, None, serving.append)
    driver.start()
    driver.report_pause()
    assert serving == [True]
    # Simulates a pause of the process above the threshold.
    driver._last_check_at -= PAUSE_THRESHOLD_S + 1
    driver.report_pause()
    assert serving == [True, False]
    resumed = core.events[-1]
    assert isinstance(resumed, io.Resumed) and resumed.paused_s > PAUSE_THRESHOLD_S
    driver.stop()
    driver.report_pause()
    driver.handle_event(io.Tick())
    assert core.events[-1] is resumed
