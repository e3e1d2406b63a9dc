"""
A service never has a primary again, with all its instances up, because all daemons were
killed right after the acknowledgement of a promotion.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import CannotRun, Client, World, route, run_case  # noqa: E402

CRASH_TIME = 6.0  # seconds until the primary is back with its log
RESTART_DELAY = 0.6  # seconds until the platform starts a killed process again
RECOVERY = 12.0  # recoveryS
WATCHED = 12.0  # seconds after that in which requests are counted
SESSIONS = 8
ROUTES = ("book", "look", "crew")


class Counter:
    """Requests and how many of them were served, before and after the final fault."""

    def __init__(self):
        self.counting = None
        self.sent = {"before": 0, "after": 0}
        self.served = {"before": 0, "after": 0}

    async def query(self, client, text):
        phase = self.counting
        if phase is not None:
            self.sent[phase] += 1
        answer = await client.query(text)
        if phase is not None and answer.ok:
            self.served[phase] += 1


async def session(world, counter, number):
    """Write and read, connecting again after a close."""
    count = 0
    while True:
        daemon = world.daemons[number % len(world.daemons)]
        client = Client(world, f"session-{number}")
        try:
            if not await client.start(daemon, ROUTES[number % len(ROUTES)]):
                raise OSError("refused")
            while True:
                count += 1
                kind = "WRITE" if count % 3 == 0 else "READ"
                data = f" d{count}" if kind == "WRITE" else ""
                await counter.query(client, f"{kind} item{count % 20}{data}")
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def kill_all(world):
    """Kill all processes and start them again after a short delay."""
    world.record("all processes are killed")
    await asyncio.gather(*(daemon.end() for daemon in world.daemons))
    await asyncio.sleep(RESTART_DELAY)
    for daemon in world.daemons:
        await daemon.start(world.scratch / f"{daemon.name}.log")


async def play(trouble):
    world = World(FOLDER, fronts=4, bounds={"contactMs": 4000, "recoveryS": 12})
    service = world.add_service(
        "pdb1", slots=2, connections=28, lag=0.008, work=0.004, synchronous=1
    )
    world.configure(
        [
            route("book", "primary", "pdb1", timeoutMs=800),
            route("look", "bounded_staleness", "pdb1", timeoutMs=1500),
            route("crew", "read_your_writes", "pdb1", timeoutMs=800),
        ]
    )
    counter = Counter()
    acknowledged = asyncio.Event()
    promote = world.store.promote

    def promote_and_note(backend, name):
        taken = promote(backend, name)
        if taken:
            asyncio.get_running_loop().call_later(0.005, acknowledged.set)
        return taken

    world.store.promote = promote_and_note
    async with world:
        await world.wait_ready()
        await asyncio.sleep(2.0)
        tasks = [
            asyncio.create_task(session(world, counter, number))
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(1.0)
        counter.counting = "before"
        await asyncio.sleep(4.0)
        counter.counting = None
        primary = service.instances[0]
        await service.crash(primary)
        crashed_at = time.monotonic()
        async with asyncio.timeout(10):
            await acknowledged.wait()
        if trouble:
            await kill_all(world)
        await asyncio.sleep(max(crashed_at + CRASH_TIME - time.monotonic(), 0.0))
        await service.restart(primary)
        await world.wait_ready()
        world.record("the machines are back")
        await asyncio.sleep(RECOVERY)
        counter.counting = "after"
        await asyncio.sleep(WATCHED)
        counter.counting = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        shares = {
            phase: counter.served[phase] / max(counter.sent[phase], 1)
            for phase in counter.sent
        }
        world.record(f"sent {counter.sent}, served {counter.served}")
        if not all(one.running for one in service.instances):
            raise CannotRun("an instance is not running")
    print(
        f"served before {counter.served['before']} of {counter.sent['before']}, later "
        f"than {RECOVERY:.0f} s after the machines were back {counter.served['after']} "
        f"of {counter.sent['after']}; {len(world.store.promotions)} promotion calls"
    )
    if counter.sent["after"] < 50 or shares["before"] < 0.25:
        raise CannotRun("too few requests")
    return shares["after"] >= 0.25


sys.exit(run_case(play))
