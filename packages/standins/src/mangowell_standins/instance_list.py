"""Stand-in for the platform's instance list, which is published with a lag."""

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
        Service on which the list is published, under `INSTANCES_KEY`.
    lag_s : float
        Time from a change until the published list shows it, in seconds.
    """

    def __init__(self, service: ConfigService, lag_s: float = 1.0):
        self.lag_s = lag_s
        self.revision = 0
        self.instances: dict[str, Instance] = {}
        self._service = service
        self._omitted: set[str] = set()
        self._publication_task: asyncio.Task | None = None

    def add(self, *instances: Instance) -> None:
        """Add instances, or replace those of the same name."""
        for instance in instances:
            self.instances[instance.name] = instance
        self._schedule_publication()

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self.instances.pop(name, None)
        self._schedule_publication()

    def set_state(self, name: str, state: InstanceState) -> None:
        """Set the state in which the list shows an instance."""
        self.instances[name] = replace(self.instances[name], state=state)
        self._schedule_publication()

    def omit_instances(self, failure_domain: str, share: float = 0.5) -> list[str]:
        """Omit a share of a failure domain's instances, as a faulty list does.

        Parameters
        ----------
        failure_domain : str
            Name of the failure domain.
        share : float
            Share of its instances to omit, 0 to 1; rounded down to a whole
            number of instances.

        Returns
        -------
        list of str
            Names of the omitted instances, which keep running.
        """
        names = sorted(
            i.name
            for i in self.instances.values()
            if i.failure_domain == failure_domain
        )
        omitted = names[: int(len(names) * share)]
        self._omitted.update(omitted)
        self._schedule_publication()
        return omitted

    def list_all_instances(self) -> None:
        """List all omitted instances again."""
        self._omitted.clear()
        self._schedule_publication()

    def publish_now(self) -> None:
        """Publish the current list without lag."""
        self.revision += 1
        visible = {
            name: instance
            for name, instance in sorted(self.instances.items())
            if name not in self._omitted
        }
        instance_list = InstanceList(self.revision, visible, text="", digest="")
        self._service.publish(INSTANCES_KEY, render_instances(instance_list))

    def stop(self) -> None:
        """Cancel the scheduled publication, if any."""
        if self._publication_task is not None:
            self._publication_task.cancel()

    def _schedule_publication(self) -> None:
        # One publication covers all changes made during the lag.
        if self._publication_task is None or self._publication_task.done():
            self._publication_task = asyncio.get_running_loop().create_task(
                self._publish_after_lag()
            )

    async def _publish_after_lag(self) -> None:
        await asyncio.sleep(self.lag_s)
        self.publish_now()
