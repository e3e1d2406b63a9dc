"""
A session reads an older state than its own acknowledged commit, because it wrote at
another service in between: its route moved there and back.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import CannotRun, Client, World, route, run_case  # noqa: E402

ROUNDS = 10
CHANGE_GAP = 0.8  # seconds between the two changes of a round
USUAL_LAG = 0.15  # seconds; "replicas 150 ms behind"
LONG_LAG = 1.5  # seconds during a round: replica_lag with x = 10
CATCH_UP = 2.0  # seconds between two rounds, for the replicas to catch up


def routes(place, label):
    """Return the routes of a configuration; ``review`` leads to ``place``."""
    return [
        route("tally", "primary", "zdb1"),
        route("tally2", "primary", "zdb2"),
        route("review", "read_your_writes", place),
        route("still", "read_your_writes", "zdb1"),
        route(f"new{label}", "primary", "zdb1"),
    ]


async def background(world, database, daemon):
    """Write all the time, as the other clients of a deployment do."""
    client = Client(world, f"background-{database}")
    await client.start(daemon, database)
    number = 0
    while True:
        number += 1
        await client.query(f"WRITE bg{number % 50} d{number}")
        await asyncio.sleep(0.02)


async def change(world, daemon, place, label):
    """Move the route; wait until the daemon serves what was added with the change."""
    world.configure(routes(place, label))
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + 5.0
    while loop.time() < give_up_at:
        probe = Client(world, "probe")
        served = await probe.start(daemon, f"new{label}")
        probe.close()
        if served:
            return
        await asyncio.sleep(0.002)
    raise CannotRun("the configuration is not applied")


async def play_round(world, number, trouble):
    """Return whether the round's read saw the session's own commit; None if unread."""
    loop = asyncio.get_running_loop()
    daemon = world.daemons[number % len(world.daemons)]
    session = Client(world, f"session-{number}")
    await session.start(daemon, "review")
    try:
        first = await session.query(f"WRITE item{number} data{number}")
        changed_at = loop.time()
        if trouble:
            await change(world, daemon, "zdb2", f"{number}a")
        second = await session.query(f"WRITE item{number}b data{number}")
        await asyncio.sleep(max(changed_at + CHANGE_GAP - loop.time(), 0.0))
        if trouble:
            await change(world, daemon, "zdb1", f"{number}b")
        answer = await session.query(f"READ item{number}")
    finally:
        session.close()
    if not (first.ok and second.ok and answer.ok):
        return None
    service = world.services["zdb1"]
    run = service.runs.get(answer.request)
    if run is None or (trouble and second.request not in world.services["zdb2"].runs):
        raise CannotRun("a statement ran at another service than its route's")
    instance, seen, _ = run
    commit = service.commits[first.request]
    if seen >= commit:
        return True
    world.record(
        f"BROKEN round {number}: commit {commit} of the session at zdb1 was acknowledged "
        f"before its READ was sent, which ran at {instance.name} on a log up to {seen} "
        f"and was answered {answer.rows}"
    )
    return False


async def play(trouble):
    world = World(FOLDER, fronts=4)
    world.add_service("zdb1")
    world.add_service("zdb2")
    world.configure(routes("zdb1", 0))
    results = []
    async with world:
        await world.wait_ready()
        tasks = [
            asyncio.create_task(background(world, "tally", world.daemons[0])),
            asyncio.create_task(background(world, "tally2", world.daemons[1])),
        ]
        await asyncio.sleep(4.0)
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(CATCH_UP)
            if trouble:
                world.set_lag(LONG_LAG)
            results.append(await play_round(world, number, trouble))
            world.set_lag(USUAL_LAG)
        for task in tasks:
            task.cancel()
    read = [result for result in results if result is not None]
    stale = read.count(False)
    print(f"{len(read)} of {ROUNDS} rounds were read, {stale} of them stale")
    if len(read) < ROUNDS / 2:
        raise CannotRun("too few rounds were read")
    return stale == 0


sys.exit(run_case(play))
