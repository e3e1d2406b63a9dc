"""
Stand-in deployment
===================

Starts a stand-in platform, and stand-in instances for every group of a bundle.
"""

from contextlib import AsyncExitStack

from cardamomdrift.standins.group import StandinGroup
from cardamomdrift.standins.instance import InstanceOptions, StandinInstance
from cardamomdrift.standins.platform import StandinPlatform


class StandinDeployment:
    """Stand-in groups and platform of one deployment; an async context manager.

    Parameters
    ----------
    groups : dict of str to StandinGroup
    platform : StandinPlatform
    """

    def __init__(self, groups, platform):
        self._groups = groups
        self._platform = platform
        self._stack = AsyncExitStack()

    @property
    def groups(self):
        """Stand-in groups by name."""
        return self._groups

    @property
    def platform(self):
        """The stand-in platform."""
        return self._platform

    async def __aenter__(self):
        await self._stack.enter_async_context(self._platform)
        for group in self._groups.values():
            await self._stack.enter_async_context(group)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def instances(self):
        """Return the instances of all groups as one list."""
        return [
            instance
            for group in self._groups.values()
            for instance in group.instances.values()
        ]


def make_deployment(names, schema, seed=0, **options):
    """Return a StandinDeployment with the named groups.

    Parameters
    ----------
    names : dict of str to sequence of str
        Instance names by group; the first of each group is the primary.
    schema : sequence of str
        Statements that the primary of each group runs at its start.
    seed : int
        Seed of the platform's random faults.
    **options
        Fields of `InstanceOptions`, the same for all instances.
    """
    groups = {
        group: StandinGroup(
            group,
            [
                StandinInstance(
                    instance_name, InstanceOptions(schema=tuple(schema), **options)
                )
                for instance_name in instances
            ],
        )
        for group, instances in names.items()
    }
    return StandinDeployment(groups, StandinPlatform(seed))
