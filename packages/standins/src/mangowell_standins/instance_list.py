"""Stand-in for the platform's instance list, which lags behind the fleet."""

import asyncio
from dataclasses import replace

from mangowell_core.instances import render_instances
from mangowell_core.model import Instance, InstanceList, InstanceState
from mangowell_standins.config_service import ConfigService

INSTANCES_KEY = "instances"


class InstanceListPublisher:
    """Publishes the list of instances on a `ConfigService`.

    Parameters
    ----------
    service : ConfigService
    lag_s : float
        Time from a change until the list shows it.
    """

    def __init__(self, service: ConfigService, lag_s: float = 1.0):
        self.lag_s = lag_s
        self.revision = 0
        self.instances: dict[str, Instance] = {}
        self._service = service
        self._hidden: set[str] = set()
        self._pending: asyncio.Task | None = None

    def add(self, *instances: Instance) -> None:
        """Add or replace instances."""
        for instance in instances:
            self.instances[instance.name] = instance
        self._schedule()

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self.instances.pop(name, None)
        self._schedule()

    def set_state(self, name: str, state: InstanceState) -> None:
        """Show an instance as live or leaving."""
        self.instances[name] = replace(self.instances[name], state=state)
        self._schedule()

    def lose_part(self, failure_domain: str, share: float = 0.5) -> list[str]:
        """Leave a share of a domain's instances out, as a faulty list does.

        Returns
        -------
        list of str
            The missing instances, which are still alive.
        """
        names = sorted(
            i.name
            for i in self.instances.values()
            if i.failure_domain == failure_domain
        )
        lost = names[: int(len(names) * share)]
        self._hidden.update(lost)
        self._schedule()
        return lost

    def restore(self) -> None:
        """Show all instances again."""
        self._hidden.clear()
        self._schedule()

    def publish_now(self) -> None:
        """Publish the present list without lag."""
        self.revision += 1
        shown = {
            name: instance
            for name, instance in sorted(self.instances.items())
            if name not in self._hidden
        }
        listed = InstanceList(self.revision, shown, text="", digest="")
        self._service.publish(INSTANCES_KEY, render_instances(listed))

    def stop(self) -> None:
        """Drop a publication that is due later."""
        if self._pending is not None:
            self._pending.cancel()

    def _schedule(self) -> None:
        # One publication covers all changes of a lag period.
        if self._pending is None or self._pending.done():
            self._pending = asyncio.get_running_loop().create_task(self._later())

    async def _later(self) -> None:
        await asyncio.sleep(self.lag_s)
        self.publish_now()
