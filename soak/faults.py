"""
Fault injection
===============

Injects faults into the fleet.  They are drawn at random from one table and may overlap.
"""

import asyncio
import signal

from cardamomdrift.util import keep_task

MAX_FAULT_DURATION = 4.0  # seconds
LINK_KINDS = ("silenced", "cut_up", "cut_down", "refused", "delay")
FAULT_INTERVAL_RANGE = (0.2, 2.5)  # seconds between the beginnings of two faults


class FaultInjector:
    """Injects random faults into a fleet.

    Parameters
    ----------
    fleet : Fleet
    random : random.Random
    names : sequence of str, optional
        Names of the faults to draw from; all by default.

    Attributes
    ----------
    injected : list of str
        Names of the faults injected, in order.
    """

    def __init__(self, fleet, random, names=None):
        self._fault_names = list(names or FAULTS)
        self._faults = FAULTS | STORE_FAULTS
        self._fleet = fleet
        self._random = random
        self._tasks = set()
        self.injected = []

    async def run(self):
        """Begin faults at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*FAULT_INTERVAL_RANGE))
            name = self._random.choice(self._fault_names)
            self.injected.append(name)
            keep_task(self._tasks, self._faults[name](self))

    async def heal(self):
        """Wait for faults in progress, then undo all faults and start what is down."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * MAX_FAULT_DURATION + 8)
        for daemon in self._fleet.daemons.values():
            daemon.signal(signal.SIGCONT)
            if not daemon.running:
                await daemon.start()
        for proxy in self._fleet.proxies.values():
            proxy.faults.clear()
        for endpoint in self._fleet.endpoints.values():
            endpoint.faults.down = endpoint.faults.silent = False
            endpoint.faults.delay, endpoint.faults.lose_answers = 0.0, 0
        for instance in self._fleet.group.instances.values():
            instance.faults.replication_stopped = instance.faults.silent = (
                instance.draining
            ) = False
            instance.lag = 0.008
            if not instance.running:
                await instance.start()
        self._fleet.list_instances()

    async def _wait_fault_duration(self):
        await asyncio.sleep(self._random.uniform(0.3, MAX_FAULT_DURATION))

    def _choose_daemon(self):
        return self._random.choice(list(self._fleet.daemons.values()))

    def _choose_vm_names(self):
        """Return a list of one VM's name, or of ``*`` for all VMs, at equal odds."""
        names = list(self._fleet.daemons)
        return self._random.choice((["*"], [self._random.choice(names)]))

    async def kill(self):
        """Kill a daemon and start it again."""
        daemon = self._choose_daemon()
        if daemon.stopping or not daemon.running:
            return
        daemon.stopping = True
        await daemon.kill()
        await self._wait_fault_duration()
        await daemon.start()

    async def kill_all(self):
        """Kill all daemons at once and start them again."""
        daemons = [
            daemon for daemon in self._fleet.daemons.values() if not daemon.stopping
        ]
        for daemon in daemons:
            daemon.stopping = True
        await asyncio.gather(*(daemon.kill() for daemon in daemons))
        await asyncio.gather(*(daemon.start() for daemon in daemons))

    async def stop(self):
        """Stop a daemon gracefully and start it again."""
        daemon = self._choose_daemon()
        if daemon.stopping or not daemon.running:
            return
        await daemon.stop()
        await daemon.start()

    async def pause(self):
        """Suspend a daemon for a while."""
        daemon = self._choose_daemon()
        daemon.signal(signal.SIGSTOP)
        await self._wait_fault_duration()
        daemon.signal(signal.SIGCONT)

    async def store(self):
        """Make the store fail for one daemon or for all."""
        endpoints = self._fleet.endpoints
        names = self._choose_vm_names()
        chosen = (
            list(endpoints.values())
            if "*" in names
            else [endpoints[name] for name in names]
        )
        kind = self._random.choice(("down", "silent", "slow", "lost"))
        for endpoint in chosen:
            endpoint.faults.down = kind == "down"
            endpoint.faults.silent = kind == "silent"
            endpoint.faults.delay = 0.3 if kind == "slow" else 0.0
            endpoint.faults.lose_answers = 3 if kind == "lost" else 0
        await self._wait_fault_duration()
        for endpoint in chosen:
            endpoint.faults.down = endpoint.faults.silent = False
            endpoint.faults.delay, endpoint.faults.lose_answers = 0.0, 0

    async def compact(self):
        """Drop the history of changes that the store keeps."""
        self._fleet.store.drop_history()

    async def restore(self):
        """Return the store to a copy of some seconds ago; writers write again."""
        store = self._fleet.store
        copy = store.copy()
        await self._wait_fault_duration()
        store.restore(copy)
        self._fleet.write_configuration()
        self._fleet.list_instances()

    async def silence_store(self):
        """Let the connections of one daemon or of all to the store go silent."""
        endpoints = self._fleet.endpoints
        names = self._choose_vm_names()
        for name in endpoints if "*" in names else names:
            endpoints[name].silence_connections()

    async def link(self):
        """Silence, cut one way, refuse or delay connections to an instance."""
        proxy = self._random.choice(list(self._fleet.proxies.values()))
        names = set(self._choose_vm_names())
        kind = self._random.choice(
            ("silenced", "cut_up", "cut_down", "refused", "delay")
        )
        if kind == "delay":
            proxy.faults.delay = 0.05
        else:
            getattr(proxy.faults, kind).update(names)
        await self._wait_fault_duration()
        proxy.faults.clear()

    async def reset(self):
        """Reset connections to an instance."""
        proxy = self._random.choice(list(self._fleet.proxies.values()))
        proxy.reset(self._choose_vm_names()[0])

    async def crash(self):
        """Crash an instance and start it again with its log."""
        instance = self._random.choice(list(self._fleet.group.instances.values()))
        if not instance.running:
            return
        await instance.crash()
        await self._wait_fault_duration()
        await instance.start()
        self._fleet.list_instances()

    async def deaf(self):
        """Stop replication to an instance for a while; it catches up afterwards."""
        instance = self._random.choice(list(self._fleet.group.instances.values()))
        instance.faults.replication_stopped = True
        await self._wait_fault_duration()
        instance.faults.replication_stopped = False

    async def lag(self):
        """Give each instance a random replication lag for a while."""
        for instance in self._fleet.group.instances.values():
            instance.lag = self._random.choice((0.008, 0.3, 1.0))
        await self._wait_fault_duration()
        for instance in self._fleet.group.instances.values():
            instance.lag = 0.008

    async def drain(self):
        """Mark the primary as draining for a while; it stays the primary."""
        instance = self._fleet.group.primary
        instance.draining = True
        self._fleet.list_instances()
        await self._wait_fault_duration()
        instance.draining = False
        self._fleet.list_instances()

    async def lose_answers(self):
        """Lose the answers to the next statements that an instance runs."""
        instance = self._random.choice(list(self._fleet.group.instances.values()))
        instance.faults.lose_answers = 5

    async def configure(self):
        """Write several configurations in quick succession."""
        for _ in range(self._random.randint(1, 5)):
            self._fleet.configure()
            await asyncio.sleep(0.1)


FAULTS = {
    name: getattr(FaultInjector, name)
    for name in (
        "kill",
        "kill_all",
        "stop",
        "pause",
        "store",
        "compact",
        "link",
        "reset",
        "crash",
        "deaf",
        "lag",
        "drain",
        "lose_answers",
        "configure",
    )
}
# Faults of the store that only the seeds chosen in `soak.__main__` draw from, so that
# the other seeds go on with the faults that they had.
STORE_FAULTS = {
    name: getattr(FaultInjector, name) for name in ("restore", "silence_store")
}
