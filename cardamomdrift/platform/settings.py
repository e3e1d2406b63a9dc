"""
Platform settings
=================

The settings file that the platform lays down, checked, as the project's own type.
"""

import json
import os
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Success

from cardamomdrift.errors import SettingsError
from cardamomdrift.util import fault_lines, seconds

SETTINGS_VARIABLE = "CARDAMOMDRIFT_SETTINGS"
METRICS_PORT = 9464  # as in the deploy file


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Bounds(_Model):
    grace_s: float = Field(alias="graceS", gt=0)
    drain_ms: float = Field(alias="drainMs", gt=0)


class _Store(_Model):
    address: str = Field(pattern=r".+:\d+$")
    writes_per_s: float = Field(alias="writesPerS", gt=0)
    reads_per_s: float = Field(alias="readsPerS", gt=0)


class _Cloud(_Model):
    address: str = Field(pattern=r".+:\d+$")


class _Listen(_Model):
    front: str = Field(pattern=r".+:\d+$")
    ready: str = Field(pattern=r".+:\d+$")
    control: str | None = None


class _SettingsModel(_Model):
    node_name: str = Field(alias="nodeName", min_length=1)
    ip: str = Field(min_length=1)
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int] = Field(alias="internalPorts")
    seeds: list[str] = []
    heartbeat_ms: float = Field(alias="heartbeatMs", gt=0)
    bounds: _Bounds
    platform: _Store
    cloud: _Cloud = Field(alias="cloudApi")


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Settings of a daemon on the platform; times are in seconds.

    Attributes
    ----------
    vm : str
    failure_domain : str
    address : str
        Address of this VM.
    callers : (str, int)
        Where callers connect.
    readiness : (str, int)
        Where the balancer asks whether to send callers.
    metrics : (str, int)
    peer_port : int
        Port for heartbeats and, at the next one, questions; the same on every VM.
    seeds : tuple of str
        Addresses of some VMs, which may be down.
    store : str
        ``host:port`` of the platform's store.
    promotions : str
        ``host:port`` that takes promotions.
    instance_heartbeat : float
        How often an instance renews its entry in the list.
    grace : float
        Time from SIGTERM to SIGKILL.
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
    promotions: str
    instance_heartbeat: float
    grace: float


def split_address(text):
    """Return host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_site_settings(model):
    """Return the settings that a checked model describes."""
    return SiteSettings(
        vm=model.node_name,
        failure_domain=model.zone,
        address=model.ip,
        callers=split_address(model.listen.front),
        readiness=split_address(model.listen.ready),
        metrics=(model.ip, METRICS_PORT),
        peer_port=model.internal_ports[0],
        seeds=tuple(split_address(seed)[0] for seed in model.seeds),
        store=model.platform.address,
        promotions=model.cloud.address,
        instance_heartbeat=seconds(model.heartbeat_ms),
        grace=model.bounds.grace_s,
    )


def load_site_settings(path=None):
    """Return the settings in a file, as Success, or Failure of SettingsError.

    Parameters
    ----------
    path : str, optional
        The file that the environment names, by default.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        value = json.loads(Path(path).read_text(encoding="utf-8"))
        return Success(make_site_settings(_SettingsModel.model_validate(value)))
    except ValidationError as error:
        return Failure(SettingsError(fault_lines(error, path)))
    except (OSError, ValueError) as error:
        return Failure(SettingsError([f"{path or SETTINGS_VARIABLE}: {error}"]))
