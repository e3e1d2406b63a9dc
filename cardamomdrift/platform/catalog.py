"""
Catalog
=======

The operator's configuration and the instances' entries, decoded once into the
project's types.  An entry that cannot be read names no instance.
"""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Success

from cardamomdrift.deployment import (
    Deployment,
    Group,
    InstanceRecord,
    Route,
    RouteKind,
)
from cardamomdrift.errors import BundleError
from cardamomdrift.platform.settings import split_address
from cardamomdrift.util import fault_lines, seconds

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
INSTANCE_TABLE = "servers"

ROUTE_KINDS = {
    "primary": RouteKind.PRIMARY,
    "bounded_staleness": RouteKind.BOUNDED_STALENESS,
    "read_your_writes": RouteKind.READ_YOUR_WRITES,
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Route(_Model):
    # "host" is the name of the database that callers connect to, "backend" the group.
    host: str = Field(min_length=1)
    backend: str = Field(min_length=1)
    kind: Literal[tuple(ROUTE_KINDS)] = Field(alias="routeType")
    timeout_ms: float = Field(alias="timeoutMs", gt=0)
    target_ms: float = Field(alias="targetLatencyMs", gt=0)
    priority: int = 0
    max_staleness_ms: float | None = Field(default=None, alias="maxStalenessMs")


class _Backend(_Model):
    name: str = Field(min_length=1)
    connections: int = Field(alias="maxConns", gt=0)
    synchronous: int = Field(default=0, alias="syncReplicas")


class _Limits(_Model):
    transaction_idle_ms: float = Field(alias="txIdleMs", gt=0)


class _Config(_Model):
    version: int
    routes: list[_Route]
    backends: list[_Backend]
    limits: _Limits


class _Entry(_Model):
    model_config = ConfigDict(extra="ignore", strict=True)

    backend: str = Field(min_length=1)
    address: str = Field(pattern=r"^[0-9.]+:\d+$")
    zone: str
    state: Literal["ready", "draining"]
    role: Literal["primary", "replica"] = Field(alias="dbRole")
    born: int = 0


def _make_route(model):
    return Route(
        database=model.host,
        kind=ROUTE_KINDS[model.kind],
        group=model.backend,
        timeout=seconds(model.timeout_ms),
        target=seconds(model.target_ms),
        # The platform's highest priority is 0, the queue's is the largest number.
        priority=-model.priority,
        max_age=seconds(model.max_staleness_ms),
    )


def decode_deployment(value):
    """Return the deployment in a configuration's bytes.

    Returns
    -------
    Result
        Success of Deployment, or Failure of BundleError.
    """
    try:
        model = _Config.model_validate_json(value)
    except ValidationError as error:
        return Failure(BundleError(fault_lines(error, f"{CONFIG_TABLE}/{CONFIG_KEY}")))
    return Success(
        Deployment(
            version=model.version,
            routes={one.host: _make_route(one) for one in model.routes},
            groups={
                one.name: Group(one.name, one.connections, one.synchronous)
                for one in model.backends
            },
            transaction_idle=seconds(model.limits.transaction_idle_ms),
        )
    )


def decode_instance(name, value):
    """Return the instance in an entry's bytes.

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
        model = _Entry.model_validate_json(value)
        host, port = split_address(model.address)
    except ValidationError as error:
        return Failure(BundleError(fault_lines(error, f"{INSTANCE_TABLE}/{name}")))
    return Success(
        InstanceRecord(
            name=name,
            group=model.backend,
            address=host,
            port=port,
            failure_domain=model.zone,
            draining=model.state == "draining",
            primary=model.role == "primary",
            started_at_ms=model.born,
        )
    )
