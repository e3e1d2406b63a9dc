"""
Stand-in group
==============

The stand-in instances of one database group.  Running instances are registered under
their addresses, so that replicas find their primary.
"""

from contextlib import AsyncExitStack

from cardamomdrift.standins.instance import (
    StandinInstance,
    register_instance,
    unregister_instance,
)


class StandinGroup:
    """The instances of one database group; an async context manager."""

    def __init__(self, name, instances):
        self._name = name
        self._instances = instances
        self._stack = AsyncExitStack()

    @property
    def name(self):
        """Name of the group."""
        return self._name

    @property
    def instances(self):
        """The instances, by name."""
        return {instance.name: instance for instance in self._instances}

    @property
    def primary(self):
        """The running primary of the highest term, or None."""
        leading = [
            instance
            for instance in self._instances
            if instance.leads and instance.running
        ]
        return max(leading, key=lambda instance: instance._led_term, default=None)

    async def __aenter__(self):
        for instance in self._instances:
            await self._stack.enter_async_context(instance)
            register_instance(instance)
        primary, *replicas = self._instances
        primary.bootstrap(primary.options.schema)
        for replica in replicas:
            replica.bootstrap_replica(primary)
        return self

    async def __aexit__(self, *exc_info):
        for instance in self._instances:
            unregister_instance(instance)
        await self._stack.aclose()


def make_group(name, instance_names, options_factory):
    """Return a StandinGroup; its first instance is the primary.

    Parameters
    ----------
    name : str
    instance_names : sequence of str
    options_factory : callable
        Returns the InstanceOptions of an instance.
    """
    instances = [
        StandinInstance(instance_name, options_factory())
        for instance_name in instance_names
    ]
    return StandinGroup(name, instances)
