"""
Catalog
=======

Decodes the operator's configuration and the instances' entries from the rows of the
platform's store.  An instance whose entry cannot be decoded is not listed.
"""

import socket
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Success

from cardamomdrift.customers.identity import digest_key
from cardamomdrift.deployment import (
    Customer,
    Deployment,
    Group,
    InstanceRecord,
    Route,
    RouteKind,
)
from cardamomdrift.errors import BundleError
from cardamomdrift.platform.settings import Address, Name, Positive, split_address
from cardamomdrift.util import DECODE_ERRORS, seconds

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
INSTANCE_TABLE = "servers"
MAX_PORT = 65535
MAX_INTEGER = (1 << 63) - 1  # of a whole number in an instance's entry

ROUTE_KINDS = {
    "primary": RouteKind.PRIMARY,
    "bounded_staleness": RouteKind.BOUNDED_STALENESS,
    "read_your_writes": RouteKind.READ_YOUR_WRITES,
}


Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Route(msgspec.Struct, rename="camel"):
    # "host" is the database that callers name in START, "backend" is the group.
    host: Name
    backend: Name
    route_type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: Positive
    target_latency_ms: Positive
    priority: int = 0
    max_staleness_ms: Positive | None = None
    public: bool = False


class _Backend(msgspec.Struct, rename="camel"):
    name: Name
    max_conns: Annotated[int, msgspec.Meta(gt=0)]
    sync_replicas: int = 0


class _Tenant(msgspec.Struct, rename="camel"):
    # A customer; its name is the second field of START at an instance, where "-" stands
    # for no customer.
    name: Annotated[str, msgspec.Meta(pattern=r"^(?!-$)[!-~]+\Z")]
    api_keys: list[Name] = []
    priority: int = 0
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None = None
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    tx_idle_ms: Positive


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    backends: list[_Backend]
    limits: _Limits
    tenants: list[_Tenant] = []


class _InstanceEntry(msgspec.Struct, rename="camel"):
    backend: Name
    address: Address
    zone: str
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    # Start of the instance in Unix milliseconds.
    born: Whole = 0
    # Not used; an entry in which they have another type is not an instance's.
    version: str = ""
    slots: Whole = 0
    sequence: Whole = 0
    cold_left_ms: float = 0.0


_decode_config = msgspec.json.Decoder(_Config).decode
_decode_instance_entry = msgspec.json.Decoder(_InstanceEntry).decode


def _make_route(model):
    return Route(
        database=model.host,
        kind=ROUTE_KINDS[model.route_type],
        group=model.backend,
        timeout=seconds(model.timeout_ms),
        target_latency=seconds(model.target_latency_ms),
        # On the platform 0 is the highest priority; here a larger number is higher.
        priority=-model.priority,
        max_age=seconds(model.max_staleness_ms),
        public=model.public,
    )


def _make_customer(model):
    return Customer(
        name=model.name,
        rate=model.rate_per_s,
        burst=model.burst,
        # As for routes, 0 is the highest priority on the platform.
        priority=-model.priority,
    )


def _check_unique(kind, names):
    """Check that no name occurs twice.

    Raises
    ------
    ValueError
    """
    seen = set()
    for name in names:
        if name in seen:
            raise ValueError(f"two {kind} with the same value")
        seen.add(name)


def _digest_keys(tenants):
    """Return the name of the customer that holds each key, by the key's digest.

    Raises
    ------
    ValueError
        Two customers hold the same key, or two have the same name.
    """
    _check_unique("customers", (tenant.name for tenant in tenants))
    holders = [
        (digest_key(key), tenant.name)
        for tenant in tenants
        for key in set(tenant.api_keys)
    ]
    _check_unique("keys", (digest for digest, _ in holders))
    return dict(holders)


def decode_deployment(value):
    """Decode the operator's configuration.

    Returns
    -------
    Result
        Success of Deployment, or Failure of BundleError.
    """
    try:
        model = _decode_config(value)
        customer_by_digest = _digest_keys(model.tenants)
    except (*DECODE_ERRORS, ValueError) as error:
        return Failure(BundleError([f"{CONFIG_TABLE}/{CONFIG_KEY}: {error}"]))
    return Success(
        Deployment(
            version=model.version,
            routes={route.host: _make_route(route) for route in model.routes},
            groups={
                backend.name: Group(
                    backend.name, backend.max_conns, backend.sync_replicas
                )
                for backend in model.backends
            },
            transaction_idle_timeout=seconds(model.limits.tx_idle_ms),
            customers={tenant.name: _make_customer(tenant) for tenant in model.tenants},
            customer_by_digest=customer_by_digest,
        )
    )


def _check_name(name):
    """Check that a name can be a field of a message.

    Raises
    ------
    ValueError
    """
    if not name.isprintable() or " " in name or not name:
        raise ValueError("the name has blanks or control characters")


def _parse_address(text):
    """Return host and port of an instance's IPv4 address.

    Raises
    ------
    ValueError or OSError
    """
    host, port = split_address(text)
    socket.inet_pton(socket.AF_INET, host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} out of range")
    return host, port


def decode_instance(name, value):
    """Decode the entry of an instance.

    Parameters
    ----------
    name : str
        Key of the entry, the instance's name.
    value : bytes

    Returns
    -------
    Result
        Success of InstanceRecord, or Failure of BundleError.
    """
    try:
        _check_name(name)
        model = _decode_instance_entry(value)
        host, port = _parse_address(model.address)
    except (*DECODE_ERRORS, ValueError, OSError) as error:
        return Failure(BundleError([f"{INSTANCE_TABLE}/{name!r}: {error}"]))
    return Success(
        InstanceRecord(
            name=name,
            group=model.backend,
            address=host,
            port=port,
            failure_domain=model.zone,
            draining=model.state == "draining",
            primary=model.db_role == "primary",
            started_at_ms=model.born,
        )
    )
