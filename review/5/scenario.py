"""LOST: at a planned stop, statements that were passed on end without an answer.

Clients have transactions open when a daemon gets SIGTERM.  Each goes on with its
statements, which the instances take 200 ms each to run.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from standins.fleet import (
    GRACE,
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
DAEMONS = 3
CLIENTS = 6
STATEMENTS = 10  # of a transaction; 12 with BEGIN and COMMIT
WORK = 0.2  # seconds that a statement takes
PAUSE = 0.45  # seconds between two statements
STAGGER = 0.11  # seconds between the starts of two clients
SIGTERM_AT = 0.9  # seconds after the first client's BEGIN
LATEST_EXCUSED = 3.0  # seconds after SIGTERM; see RULES.md, LOST


async def run_transaction(number, daemon, record, sent):
    """Run one read transaction; note when each statement was sent and its answer."""
    client = Client(daemon, record, f"client{number}")
    await asyncio.sleep(STAGGER * number)
    try:
        await client.open("look")
        answer, _, _ = await client.query(f"t{number}b", "BEGIN READ")
        for step in range(STATEMENTS):
            if not answer.startswith("COMPLETE"):
                return
            request_id = f"t{number}s{step}"
            at = record.now()
            answer, _, _ = await client.query(request_id, f"READ i{step}")
            sent[request_id] = (at, record.now(), answer)
            await asyncio.sleep(PAUSE)
        if answer.startswith("COMPLETE"):
            at = record.now()
            answer, _, _ = await client.query(f"t{number}c", "COMMIT")
            sent[f"t{number}c"] = (at, record.now(), answer)
    except (OSError, TimeoutError) as error:
        record(f"client{number}: {type(error).__name__} {error}")
    finally:
        client.close()


async def play(record, folder):
    """Play the case; return the statements that were cut, or None."""
    hosts, first_port = choose_addresses(DAEMONS + 4)
    groups, passed_on = [], set()

    def promote(*call):
        return groups[0].promote(*call)

    async with Platform(hosts[0], promote, record) as platform:
        group = Group("g", platform, record, work=WORK)
        groups.append(group)
        group.on_arrival = passed_on.add
        platform.put("op", "config", configuration("g"))
        for name, host in zip(("i-a", "i-b", "i-c"), hosts[1:4], strict=True):
            await group.add(name, host, "z1")
        daemons = [
            Daemon(f"vm-{index}", host, first_port, platform, folder, record)
            for index, host in enumerate(hosts[4:])
        ]
        sent = {}
        try:
            for daemon in daemons:
                await daemon.start()
            await wait_ready(daemons)
            await asyncio.sleep(6.0)
            record("traffic starts")
            tasks = [
                asyncio.ensure_future(run_transaction(number, daemons[0], record, sent))
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(SIGTERM_AT)
            stopped_at = record.now()
            if TROUBLE:
                daemons[0].signal(signal.SIGTERM)
                ended = await daemons[0].wait(GRACE)
                record(f"ended within graceS: {ended}")
            await asyncio.gather(*tasks)
        finally:
            for daemon in daemons:
                await daemon.kill()
            await group.close()
    if not any(answer.startswith("COMPLETE") for _, _, answer in sent.values()):
        return None
    return [
        f"{request_id} sent {at - stopped_at:.2f} s after SIGTERM, "
        f"cut {ended_at - at:.2f} s later"
        for request_id, (at, ended_at, answer) in sorted(sent.items())
        if answer == "CLOSED"
        and request_id in passed_on
        and at - stopped_at > LATEST_EXCUSED
    ]


def main():
    """Play the case, check the rule, and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            cut = asyncio.run(play(record, folder))
            for log in sorted(Path(folder).glob("vm-0.log")):
                for line in log.read_text(errors="replace").splitlines():
                    if "daemon stop" in line:
                        record(f"log of {log.stem}: {line}")
    except (OSError, TimeoutError) as error:
        record(f"not run: {type(error).__name__} {error}")
        return 2
    if cut is None:
        record("no statement was served")
        return 2
    for line in cut:
        record(f"BROKEN LOST: {line}, without an answer, after it was passed on")
    return 1 if cut else 0


if __name__ == "__main__":
    sys.exit(main())
