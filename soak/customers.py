"""
Soak test of customers
======================

Runs daemons with customers under random faults, while keys and limits change, and
checks that keys, quotas and the customers of connections hold: ``python -m
soak.customers SEED SECONDS [BREAK]``.  ``BREAK`` names a deliberate defect of
``soak.broken``.  The exit code is 1 if a requirement was violated; the daemons' logs
are then kept in the folder that is printed.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from cardamomdrift.standins.entries import (
    configuration,
    instance_entry,
    route,
    tenant,
)
from cardamomdrift.util import MILLISECONDS, keep_task
from soak.customer_callers import KeyCaller
from soak.customer_checker import (
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW,
    REVOCATION_TIME,
    CustomerChecker,
    KeyRecord,
    Limit,
)
from soak.faults import FaultInjector
from soak.fleet import Fleet

DAEMON_COUNT = 4
ORDINARY_CUSTOMERS = ("acme", "beta", "core", "dune")
HOT_CUSTOMER = "hot"
ORDINARY_LIMIT = (100.0, 100.0)  # rate and burst; more than their callers send
HOT_LIMITS = ((30.0, 30.0), (10.0, 5.0))  # at first, and after it was lowered
KEYS_PER_CUSTOMER = 2
CALLERS_PER_HOT_KEY = 3
ORDINARY_INTERVAL, HOT_INTERVAL = 0.05, 0.01  # seconds between two operations
CHANGE_INTERVAL_RANGE = (0.3, 1.2)  # seconds between two configurations
LOWERING_AT = 0.2  # part of the run after which the hot customer's limit is lowered
FAULTS = ("kill", "stop", "pause", "pause", "store", "compact", "return_older")
STARTUP_TIME = 3.0  # seconds in which the daemons find each other and homes begin
POLL_INTERVAL = 0.25  # seconds between two checks
# Seconds in which all customers must be served after the faults; the run ends earlier.
RECOVERY_TIMEOUT = 30.0
MIN_RECOVERY_ANSWERS = 5  # of each customer
STEADY_TIME = 1.0  # seconds without a new configuration before the store is restored


class CustomerFleet(Fleet):
    """Fleet with customers; the instances are reached without proxies."""

    settings_changes = {
        "contracts": ["tenants", "quota"],
        "bounds": {
            "graceS": 6,
            "drainMs": 7000,
            "strictRevoke": True,
            "revokeMs": REVOCATION_TIME * MILLISECONDS,
            "quotaWindowS": QUOTA_WINDOW,
            "quotaOvershoot": QUOTA_OVERSHOOT,
            "quotaSlack": QUOTA_SLACK,
        },
    }

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.tenants = []

    def write_configuration(self):
        """Write the newest configuration, also again."""
        routes = [
            route("book", "primary", "g"),
            route("look", "bounded_staleness", "g"),
            route("open", "primary", "g", public=True),
        ]
        limits = {"g": self._connections}
        body = configuration(self.version, routes, limits, tenants=self.tenants)
        self.store.put("op", "config", body)

    def list_instances(self):
        """Write the changed entries of the instances."""
        for name, instance in self.group.instances.items():
            entry = instance_entry("g", instance)
            if self.store.get("servers", name) != entry:
                self.store.put("servers", name, entry)


class Operator:
    """Operator who withdraws and adds keys, lowers a limit, and starts the callers.

    Attributes
    ----------
    changed_at : float
        When the last configuration was acknowledged.
    callers : set of asyncio.Task
    """

    def __init__(self, fleet, checker, random):
        self._fleet = fleet
        self._checker = checker
        self._random = random
        self._keys = {}
        self._limits = dict.fromkeys(ORDINARY_CUSTOMERS, ORDINARY_LIMIT)
        self._limits[HOT_CUSTOMER] = HOT_LIMITS[0]
        self._count = 0
        self.changed_at = 0.0
        self.callers = set()

    def begin(self):
        """Write the first configuration with customers, and start callers."""
        for customer in self._limits:
            self._keys[customer] = [
                self._make_key(customer) for _ in range(KEYS_PER_CUSTOMER)
            ]
        self._write()
        for customer, keys in self._keys.items():
            for key in keys:
                self._start(customer, key)
        # A public route serves any key, in no customer's name.
        self._checker.keys["anyone"] = KeyRecord("-")
        self._start_caller("anyone", "open", ORDINARY_INTERVAL)
        self._start_caller("never-a-key", "book", ORDINARY_INTERVAL)

    async def run(self, seconds):
        """Change keys until cancelled, and lower the limit once."""
        clock = asyncio.get_running_loop().time
        lower_at = clock() + LOWERING_AT * seconds
        while True:
            await asyncio.sleep(self._random.uniform(*CHANGE_INTERVAL_RANGE))
            if clock() >= lower_at:
                self._limits[HOT_CUSTOMER] = HOT_LIMITS[1]
            self._replace_key(self._random.choice(list(self._keys)))

    def _make_key(self, customer):
        self._count += 1
        key = f"key{self._count}"
        self._checker.keys[key] = KeyRecord(customer)
        return key

    def _replace_key(self, customer):
        keys = self._keys[customer]
        withdrawn = keys.pop(self._random.randrange(len(keys)))
        keys.append(self._make_key(customer))
        self._write()
        self._checker.keys[withdrawn].withdrawn_at = self.changed_at
        self._start(customer, keys[-1])

    def _write(self):
        self._fleet.tenants = [
            tenant(name, *self._keys[name], rate=rate, burst=burst)
            for name, (rate, burst) in self._limits.items()
        ]
        self._fleet.configure()
        self.changed_at = asyncio.get_running_loop().time()
        for customer, (rate, burst) in self._limits.items():
            limits = self._checker.limits[customer]
            if not limits or (limits[-1].rate, limits[-1].burst) != (rate, burst):
                limits.append(Limit(self.changed_at, rate, burst))

    def _start(self, customer, key):
        database = self._random.choice(("book", "look"))
        if customer != HOT_CUSTOMER:
            self._start_caller(key, database, ORDINARY_INTERVAL)
            return
        for _ in range(CALLERS_PER_HOT_KEY):
            self._start_caller(key, database, HOT_INTERVAL)

    def _start_caller(self, key, database, interval):
        caller = KeyCaller(
            f"c{len(self.callers)}",
            self._fleet,
            self._checker,
            random.Random(self._random.random()),
            key,
            database,
            interval,
        )
        self.callers.add(asyncio.create_task(caller.run()))


class CustomerFaultInjector(FaultInjector):
    """Fault injector that also leaves the store with an older copy for a while."""

    def __init__(self, fleet, random, names, operator):
        super().__init__(fleet, random, names)
        self._operator = operator
        self._faults = self._faults | {"return_older": type(self).return_older}

    async def return_older(self):
        """Return the store to an older copy; the operator writes again later.

        A configuration that no daemon has read yet would be lost for all, so the store
        returns only while it answers everybody and the configuration is not new.
        """
        store, clock = self._fleet.store, asyncio.get_running_loop().time
        copy = store.copy()
        await self._wait_fault_duration()
        for _ in range(40):
            failing = any(
                endpoint.faults.down or endpoint.faults.silent
                for endpoint in self._fleet.endpoints.values()
            )
            if not failing and clock() - self._operator.changed_at > STEADY_TIME:
                break
            await asyncio.sleep(0.1)
        else:
            return
        store.restore(copy)
        await self._wait_fault_duration()
        self._fleet.write_configuration()
        self._fleet.list_instances()


async def soak(
    seed,
    seconds,
    folder,
    module=("cardamomdrift.platform",),
    names=FAULTS,
    stop_early=False,
):
    """Run one soak test and return its checker and the names of the faults injected.

    Parameters
    ----------
    seed : int
    seconds : float
        How long faults are injected and the configuration changes.
    folder : str
        Folder for the daemons' logs.
    module : sequence of str
        Module and arguments that start a daemon.
    names : sequence of str
        Names of the faults to draw from; without any, no fault is injected.
    stop_early : bool
        Whether to end at the first violation.
    """
    rng = random.Random(seed)
    async with CustomerFleet(DAEMON_COUNT, folder, module) as fleet:
        checker = CustomerChecker(fleet.group)
        operator = Operator(fleet, checker, rng)
        injector = CustomerFaultInjector(fleet, rng, names, operator)
        await asyncio.sleep(STARTUP_TIME)
        tasks = {asyncio.create_task(checker.watch_stalls())}
        operator.begin()
        changing = {asyncio.create_task(operator.run(seconds))}
        if names:
            keep_task(changing, injector.run())
        await _wait_checked(checker, seconds, stop_early)
        for task in changing:
            task.cancel()
        if not (stop_early and checker.violations):
            await injector.heal()
            fleet.write_configuration()
            await _check_recovery(checker)
        for task in (*tasks, *operator.callers):
            task.cancel()
        await asyncio.wait(operator.callers)
        for task in operator.callers:
            if not task.cancelled() and task.exception() is not None:
                checker.violations.append(f"caller failed: {task.exception()!r}")
        checker.finish()
        return checker, injector.injected


async def _wait_checked(checker, seconds, stop_early):
    """Wait, with ``stop_early`` only until a violation is seen."""
    clock = asyncio.get_running_loop().time
    end = clock() + seconds
    while clock() < end:
        await asyncio.sleep(POLL_INTERVAL)
        if stop_early:
            checker.check_windows()
            if checker.violations:
                return


async def _check_recovery(checker):
    """Check that each customer is served after the faults."""
    before = checker.served.copy()
    clock = asyncio.get_running_loop().time
    give_up_at = clock() + RECOVERY_TIMEOUT
    customers = (*ORDINARY_CUSTOMERS, HOT_CUSTOMER, "-")
    while True:
        waiting = [
            customer
            for customer in customers
            if checker.served[customer] < before[customer] + MIN_RECOVERY_ANSWERS
        ]
        if not waiting:
            return
        if clock() >= give_up_at:
            checker.violations.append(f"not served after the faults: {waiting}")
            return
        await asyncio.sleep(POLL_INTERVAL)


def main():
    """Run the soak test that the command line asks for and return the exit code."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(1 << 30)
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 12.0
    module = ("cardamomdrift.platform",)
    if len(sys.argv) > 3:
        module = ("soak.broken", sys.argv[3])
    folder = tempfile.mkdtemp(prefix=f"soak-customers-{seed}-")
    checker, injected = asyncio.run(soak(seed, seconds, folder, module))
    print(
        f"seed {seed}: {sum(map(len, checker.runs.values()))} operations checked, "
        f"{sum(checker.refused.values())} refused, {len(checker.keys)} keys, "
        f"{len(injected)} faults injected, stalls up to {checker.longest_stall:.2f} s, "
        f"{len(checker.violations)} violations; logs in {folder}"
    )
    print(f"  refused: {dict(checker.refused)}")
    for violation in checker.violations[:20]:
        print(f"  {violation}")
    if checker.violations:
        print(f"  faults injected: {' '.join(injected)}")
        return 1
    for log in Path(folder).iterdir():
        log.unlink()
    Path(folder).rmdir()
    return 0


if __name__ == "__main__":
    sys.exit(main())
