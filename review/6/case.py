"""
A commit that was acknowledged is not in the log of the instance that is promoted, because
the replica that had it has left the list of instances.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import CannotRun, Client, World, route, run_case  # noqa: E402

DEAF_TIME = 6.0  # seconds in which one replica receives nothing
LOST_AFTER = 0.8  # seconds from then until the other replica is lost for good
CRASH_AFTER = 2.0  # seconds until the primary crashes
CRASH_TIME = 6.0  # seconds until it is back with its log
WATCHED = 18.0  # seconds in which a promotion may take effect


class Writer:
    """A client that writes, with the ids of what was acknowledged."""

    def __init__(self, world, daemon):
        self._world = world
        self._daemon = daemon
        self.acknowledged = []

    async def run(self):
        number = 0
        while True:
            client = Client(self._world, "writer")
            try:
                if not await client.start(self._daemon, "book"):
                    raise OSError("refused")
                while True:
                    number += 1
                    answer = await client.query(f"WRITE item{number} data{number}")
                    if answer.ok:
                        self.acknowledged.append(answer.request)
                    await asyncio.sleep(0.03)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)
            finally:
                client.close()


async def play(trouble):
    world = World(FOLDER, fronts=4, bounds={"contactMs": 4000, "drainMs": 7000})
    options = {"slots": 2, "connections": 28, "lag": 0.008, "work": 0.004}
    service = world.add_service("pdb1", synchronous=1, **options)
    world.add_service("pdb2", synchronous=1, **options)
    world.add_service("pdb3", synchronous=1, **options)
    world.configure(
        [route("book", "primary", "pdb1", timeoutMs=800)]
        + [route(f"book{n}", "primary", f"pdb{n}", timeoutMs=800) for n in (2, 3)]
    )
    missing = []
    promoted = []

    def check(chosen):
        """Compare the log of a promoted instance with what was acknowledged."""
        promoted.append(chosen.name)
        held = {request for _, _, _, request in chosen.log}
        lost = [request for request in writer.acknowledged if request not in held]
        missing.extend(lost)
        world.record(
            f"promoted {chosen.name}: log of {len(chosen.log)}, "
            f"{len(writer.acknowledged)} acknowledged, {len(lost)} of them not in it"
        )

    service.on_promotion = check
    async with world:
        writer = Writer(world, world.daemons[0])
        await world.wait_ready()
        await asyncio.sleep(2.0)
        task = asyncio.create_task(writer.run())
        await asyncio.sleep(3.0)
        primary, holder, deaf = service.instances
        if trouble:
            deaf.deaf_until = time.monotonic() + DEAF_TIME
            world.record(f"{deaf.name} receives nothing for {DEAF_TIME} s")
            await asyncio.sleep(LOST_AFTER)
            await service.crash(holder)
            await asyncio.sleep(CRASH_AFTER - LOST_AFTER)
            await service.crash(primary)
            await asyncio.sleep(CRASH_TIME)
            await service.restart(primary)
            await asyncio.sleep(WATCHED - CRASH_AFTER - CRASH_TIME)
        else:
            await asyncio.sleep(WATCHED)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for request in missing:
            world.record(f"BROKEN {request} was acknowledged and is not in the log")
    print(
        f"{len(writer.acknowledged)} commits acknowledged, {len(promoted)} promotions, "
        f"{len(missing)} acknowledged commits not in a promoted log"
    )
    if len(writer.acknowledged) < 50 or (trouble and not promoted):
        raise CannotRun("too few commits, or no promotion")
    return not missing


sys.exit(run_case(play))
