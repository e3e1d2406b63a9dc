"""LOST: an acknowledged commit isn't in the log of the instance that is promoted.

The service has syncReplicas 1.  One replica is replaced (planned work); the other one
receives nothing for 6 s, and the primary crashes meanwhile.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from standins.fleet import (
    Client,
    Daemon,
    Record,
    choose_addresses,
    configuration,
    wait_ready,
)
from standins.instances import Group
from standins.platform import Platform

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 4
DRAIN_AT, DEAF_AT, CRASH_AT, END_AT = 2.0, 3.0, 4.5, 16.0  # seconds of traffic
DEAF_FOR = 6.0
DRAIN_TIME = 7.5  # seconds; drainMs and a little longer
WRITE_INTERVAL = 0.05


async def write(daemons, record, acknowledged, stop):
    """Write one item after the other; note the acknowledged ones."""
    number = 0
    while not stop.is_set():
        client = Client(daemons[number % len(daemons)], record, f"client{number}")
        try:
            await client.open("book")
            while not stop.is_set():
                number += 1
                request_id = f"w{number}"
                answer, _, _ = await client.query(
                    request_id, f"WRITE i{number} d{number}"
                )
                if answer.startswith("COMPLETE"):
                    acknowledged[request_id] = record.now()
                elif not answer.startswith("ERROR"):
                    break
                await asyncio.sleep(WRITE_INTERVAL)
        except (OSError, TimeoutError) as error:
            record(f"client{number}: {type(error).__name__} {error}")
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def replace_replica(group, replica):
    """Planned work: the replica drains and ends; a new one comes at its address."""
    replica.drain()
    await asyncio.sleep(DRAIN_TIME)
    await replica.end("replaced")
    group.platform.remove("servers", replica.name)
    del group.instances[replica.name]
    await group.add(
        "i-b2", replica.host, "z1", replica.port, replica.received, replica.term
    )


async def trouble(group, primary, deaf):
    """The disruption: a replica receives nothing, the primary crashes meanwhile."""
    await asyncio.sleep(DEAF_AT)
    group.record(f"{deaf.name} receives nothing for {DEAF_FOR} s")
    deaf.deaf = True
    await asyncio.sleep(CRASH_AT - DEAF_AT)
    await primary.end("crash")
    await asyncio.sleep(DEAF_FOR - (CRASH_AT - DEAF_AT))
    deaf.deaf = False
    group.record(f"{deaf.name} receives again")
    group.catch_up()


async def play(record, folder):
    """Play the case; return the acknowledged commits that a promotion lost."""
    hosts, first_port = choose_addresses(DAEMONS + 4)
    groups = []
    lost, acknowledged, stop = {}, {}, asyncio.Event()

    def promote(*call):
        return groups[0].promote(*call)

    def check(instance):
        logged = {request_id for _, request_id, _, _ in instance.received}
        missing = [name for name in acknowledged if name not in logged]
        record(f"{instance.name} lacks acknowledged: {' '.join(missing) or 'none'}")
        if missing:
            lost[instance.name] = missing

    async with Platform(hosts[0], promote, record) as platform:
        group = Group("g", platform, record, sync_replicas=1)
        groups.append(group)
        group.on_promoted = check
        platform.put("op", "config", configuration("g", sync_replicas=1))
        primary = await group.add("i-a", hosts[1], "z1")
        replaced = await group.add("i-b", hosts[2], "z1")
        deaf = await group.add("i-c", hosts[3], "z1")
        daemons = [
            Daemon(f"vm-{index}", host, first_port, platform, folder, record)
            for index, host in enumerate(hosts[4:])
        ]
        try:
            for daemon in daemons:
                await daemon.start()
            await wait_ready(daemons)
            await asyncio.sleep(3.0)
            record("traffic starts")
            tasks = [asyncio.ensure_future(write(daemons, record, acknowledged, stop))]
            await asyncio.sleep(DRAIN_AT)
            tasks.append(asyncio.ensure_future(replace_replica(group, replaced)))
            if TROUBLE:
                tasks.append(asyncio.ensure_future(trouble(group, primary, deaf)))
                tasks[-1].set_name("trouble")
            await asyncio.sleep(END_AT - DRAIN_AT)
            stop.set()
            await asyncio.gather(*tasks)
        finally:
            for daemon in daemons:
                await daemon.kill()
            await group.close()
    record(f"acknowledged: {len(acknowledged)}, promoted: {len(group.promoted)}")
    if not acknowledged or (TROUBLE and not (group.promoted or lost)):
        record("no promotion or no acknowledged commit was seen")
        return None if not acknowledged else {}
    return lost


def main():
    """Play the case, check the rule, and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            lost = asyncio.run(play(record, folder))
            logs = Path(folder)
            for log in sorted(logs.glob("*.log")):
                for line in log.read_text(errors="replace").splitlines():
                    if "candidate" in line or "replacement" in line:
                        record(f"log of {log.stem}: {line}")
    except (OSError, TimeoutError) as error:
        record(f"not run: {type(error).__name__} {error}")
        return 2
    if lost is None:
        return 2
    for name, missing in lost.items():
        record(f"BROKEN LOST: {name} was promoted without {' '.join(missing)}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
