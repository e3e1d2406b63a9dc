"""
A session reads an older state than its own acknowledged commit, because its route moved
to another service between BEGIN READ and the first statement of the transaction.
"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import CannotRun, Client, World, route, run_case  # noqa: E402

ROUNDS = 16
PAUSE_LIMIT = 0.06  # seconds between BEGIN READ and the first statement, at most


def routes(place, other, version):
    """Return the routes of a configuration; ``review`` leads to ``place``."""
    return [
        route("tally", "primary", "zdb1"),
        route("tally2", "primary", "zdb2"),
        route("review", "read_your_writes", place),
        route("other", "read_your_writes", other),
        route(f"new{version}", "primary", "zdb1"),
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


async def wait_applied(world, daemon, database):
    """Wait until a daemon serves a database that the newest configuration added."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + 5.0
    while loop.time() < give_up_at:
        probe = Client(world, "probe")
        served = await probe.start(daemon, database)
        probe.close()
        if served:
            return
        await asyncio.sleep(0.002)
    raise CannotRun("the configuration is not applied")


async def play_round(world, number, trouble):
    """Return whether the round's read saw the session's own commit; None if unread."""
    places = ("zdb1", "zdb2") if number % 2 else ("zdb2", "zdb1")
    service = world.services[places[0]]
    daemon = world.daemons[number % len(world.daemons)]
    session = Client(world, f"session-{number}")
    await session.start(daemon, "review")
    try:
        written = await session.query(f"WRITE item{number} data{number}")
        begun = await session.query("BEGIN READ")
        if trouble:
            world.configure(routes(places[1], places[0], number))
            await wait_applied(world, daemon, f"new{number}")
        else:
            await asyncio.sleep(random.uniform(0.01, PAUSE_LIMIT))
        answer = await session.query(f"READ item{number}")
        await session.query("COMMIT")
    finally:
        session.close()
    if not (written.ok and begun.ok and answer.ok):
        return None
    commit = service.commits[written.request]
    run = service.runs.get(answer.request)
    if run is None:
        raise CannotRun("the transaction ran at another service")
    instance, seen, _ = run
    if seen >= commit:
        return True
    world.record(
        f"BROKEN round {number}: commit {commit} of the session was acknowledged before "
        f"BEGIN READ was sent; its READ ran at {instance.name} on a log up to {seen} "
        f"and was answered {answer.rows}"
    )
    return False


async def play(trouble):
    world = World(FOLDER, fronts=4)
    world.add_service("zdb1")
    world.add_service("zdb2")
    world.configure(routes("zdb2", "zdb1", 0))
    results = []
    async with world:
        await world.wait_ready()
        tasks = [
            asyncio.create_task(background(world, "tally", world.daemons[0])),
            asyncio.create_task(background(world, "tally2", world.daemons[1])),
        ]
        await asyncio.sleep(4.0)
        for number in range(1, ROUNDS + 1):
            if not trouble:
                # The same place as with the disruption, set well before the round.
                place = "zdb1" if number % 2 else "zdb2"
                other = "zdb2" if number % 2 else "zdb1"
                world.configure(routes(place, other, number))
                await wait_applied(
                    world, world.daemons[number % len(world.daemons)], f"new{number}"
                )
            elif number == 1:
                world.configure(routes("zdb1", "zdb2", 1000))
                await wait_applied(world, world.daemons[1], "new1000")
            await asyncio.sleep(1.0)
            results.append(await play_round(world, number, trouble))
        for task in tasks:
            task.cancel()
    read = [result for result in results if result is not None]
    stale = read.count(False)
    print(f"{len(read)} of {ROUNDS} rounds were read, {stale} of them stale")
    if len(read) < ROUNDS / 2:
        raise CannotRun("too few rounds were read")
    return stale == 0


sys.exit(run_case(play))
