"""
Platform settings
=================

Reads and checks the settings file that the platform provides on each VM.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Success

from cardamomdrift.errors import SettingsError
from cardamomdrift.util import seconds

SETTINGS_VARIABLE = "CARDAMOMDRIFT_SETTINGS"
METRICS_PORT = 9464  # must match deploy/system.toml
# Words of the settings' ``contracts`` that put customers and their quotas in force.
CUSTOMERS_CONTRACT, QUOTAS_CONTRACT = "tenants", "quota"
BYTES_PER_MEGABYTE = 1_000_000

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:]+:\d+$")]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: Positive
    strict_revoke: bool = False
    revoke_ms: Positive = 5000.0
    quota_window_s: Positive = 5.0
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 20.0


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: Positive | None = None
    max_fds: Annotated[int, msgspec.Meta(gt=0)] | None = None


class _ServiceAddress(msgspec.Struct):
    address: Address


class _Listen(msgspec.Struct):
    front: Address
    ready: Address


class _SettingsModel(msgspec.Struct, rename="camel"):
    node_name: Name
    ip: Name
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    heartbeat_ms: Positive
    bounds: _Bounds
    platform: _ServiceAddress
    cloud_api: _ServiceAddress
    seeds: list[Address] = []
    contracts: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Bounds on keys and quotas; times are in seconds.

    Attributes
    ----------
    strict_revocation : bool
        Whether a withdrawn key must end within ``revocation_time`` also on daemons that
        reach nobody.
    revocation_time : float
    quota_window : float
        Length of the sliding window in which a customer's operations are counted.
    quota_overshoot : float
        Part of the limit by which the count may exceed it.
    quota_slack : float
        Operations by which the count may exceed it, too.
    """

    strict_revocation: bool = False
    revocation_time: float = 5.0
    quota_window: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a daemon on the platform; times are in seconds.

    Attributes
    ----------
    vm : str
    failure_domain : str
    address : str
        Address of this VM.
    callers : (str, int)
        Where the daemon listens for callers.
    readiness : (str, int)
        Where the load balancer checks whether to send callers.
    metrics : (str, int)
        Where the daemon serves its metrics.
    peer_port : int
        Port for heartbeats; queries use the next port.  The same on every VM.
    seeds : tuple of str
        Addresses of some VMs, which may be down.
    store : str
        ``host:port`` of the platform's store.
    promotion_address : str
        ``host:port`` of the promotion call.
    instance_heartbeat : float
        Interval at which an instance renews its entry in the list of instances.
    stop_grace : float
        Time from SIGTERM to SIGKILL.
    customers_in_force : bool
        Whether callers must show a customer's key.
    quotas_in_force : bool
        Whether the customers' rate limits hold.
    bounds : ServiceBounds
    memory_limit : int or None
        Bytes that the process may use; None if the settings name no limit.
    descriptor_limit : int or None
    """

    vm: str
    failure_domain: str
    address: str
    callers: tuple
    readiness: tuple
    metrics: tuple
    peer_port: int
    seeds: tuple
    store: str
    promotion_address: str
    instance_heartbeat: float
    stop_grace: float
    customers_in_force: bool = False
    quotas_in_force: bool = False
    bounds: ServiceBounds = ServiceBounds()
    memory_limit: int | None = None
    descriptor_limit: int | None = None


def split_address(text):
    """Return host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_platform_settings(model):
    """Return the settings of a validated model."""
    return PlatformSettings(
        vm=model.node_name,
        failure_domain=model.zone,
        address=model.ip,
        callers=split_address(model.listen.front),
        readiness=split_address(model.listen.ready),
        metrics=(model.ip, METRICS_PORT),
        peer_port=model.internal_ports[0],
        seeds=tuple(split_address(seed)[0] for seed in model.seeds),
        store=model.platform.address,
        promotion_address=model.cloud_api.address,
        instance_heartbeat=seconds(model.heartbeat_ms),
        stop_grace=model.bounds.grace_s,
        customers_in_force=CUSTOMERS_CONTRACT in model.contracts,
        quotas_in_force={CUSTOMERS_CONTRACT, QUOTAS_CONTRACT} <= set(model.contracts),
        bounds=_make_bounds(model.bounds),
        memory_limit=_bytes(model.limits.memory_mb),
        descriptor_limit=model.limits.max_fds,
    )


def _make_bounds(model):
    return ServiceBounds(
        strict_revocation=model.strict_revoke,
        revocation_time=seconds(model.revoke_ms),
        quota_window=model.quota_window_s,
        quota_overshoot=model.quota_overshoot,
        quota_slack=model.quota_slack,
    )


def _bytes(megabytes):
    return None if megabytes is None else int(megabytes * BYTES_PER_MEGABYTE)


def load_platform_settings(path=None):
    """Read a settings file.

    Parameters
    ----------
    path : str, optional
        Defaults to the value of the environment variable ``CARDAMOMDRIFT_SETTINGS``.

    Returns
    -------
    Result
        Success of PlatformSettings, or Failure of SettingsError.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        model = msgspec.json.decode(Path(path).read_bytes(), type=_SettingsModel)
        return Success(make_platform_settings(model))
    except (OSError, ValueError, RecursionError) as error:
        # The error's text names the key by its path in the file.
        return Failure(SettingsError([f"{path or SETTINGS_VARIABLE}: {error}"]))
