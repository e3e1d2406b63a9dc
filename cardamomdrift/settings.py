"""
Settings
========

Settings of a daemon that serves MySQL callers, read from a file of JSON with comments.
Models validate the file.  Secrets are in separate files that the settings name.
"""

import ssl
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from returns.result import Failure, Success

from cardamomdrift.errors import SettingsError
from cardamomdrift.jsonc import load_jsonc
from cardamomdrift.limits.memory import DEFAULT_MEMORY_LIMIT, MEGABYTE
from cardamomdrift.util import seconds, validation_error_lines

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,62}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
MIN_TOKEN_KEY_BYTES = 16


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class TlsModel(_Model):
    """Certificate that the daemon presents to callers."""

    certificate_file: str
    key_file: str


class CallersModel(_Model):
    """Listener for callers, with its limits, users and TLS."""

    address: str = "0.0.0.0"
    port: Port = 3306
    max_connections: int = Field(default=9000, ge=1, le=60000)
    max_packet_bytes: int = Field(
        default=4 * 1024 * 1024, ge=1024, le=16 * 1024 * 1024 - 2
    )
    users: dict[str, str] | None = None
    allow_any_user: bool = False
    tls: TlsModel | None = None
    allow_plaintext: bool = False

    @model_validator(mode="after")
    def _check_access(self):
        if self.users is None and not self.allow_any_user:
            raise ValueError("give users, or set allow_any_user")
        if self.tls is None and not self.allow_plaintext:
            raise ValueError("give tls, or set allow_plaintext")
        return self


class UpstreamsModel(_Model):
    """Credentials with which the daemon logs in to instances."""

    user: str
    password_file: str | None = None


class PlatformModel(_Model):
    """Address and names of the platform's services, and the keys for them."""

    url: str
    table: str = "cardamomdrift"
    bucket: str = "cardamomdrift"
    region: str = "local"
    access_key: str
    secret_key_file: str | None = None


class PeersModel(_Model):
    """Address at which this daemon listens for peers, and seeds to query at start.

    ``port`` is for state updates; queries use the next port.
    """

    address: str
    port: int = Field(ge=1, le=65534)
    seeds: list[str] = Field(default_factory=list)


class LimitsModel(_Model):
    """Memory and descriptors that the daemon may use."""

    memory_mb: int = Field(default=DEFAULT_MEMORY_LIMIT // MEGABYTE, ge=152)
    max_fds: int | None = Field(default=None, ge=256)


class SettingsModel(_Model):
    """All settings of a daemon."""

    vm: Name
    failure_domain: Name
    deployment: Name
    callers: CallersModel
    upstreams: UpstreamsModel
    platform: PlatformModel
    peers: PeersModel
    token_key_file: str
    limits: LimitsModel = Field(default_factory=LimitsModel)
    drain_timeout_ms: float = Field(default=10000, ge=0, le=600000)
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class Login:
    """User and password for instances."""

    user: str
    password: str


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Address and names of the platform's services, with credentials."""

    url: str
    table: str
    bucket: str
    region: str
    access_key: str
    secret_key: str


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a daemon; times are in seconds.

    Attributes
    ----------
    vm : str
    failure_domain : str
    deployment : str
    callers : CallersModel
    login : Login
    platform : PlatformOptions
    peer_address : str
        ``ip:port`` for state updates.
    seeds : tuple of str
        ``ip:port`` of the peers to query at the start.
    token_key : bytes
    drain_timeout : float
    log_level : str
    limits : LimitsModel
    """

    vm: str
    failure_domain: str
    deployment: str
    callers: CallersModel
    login: Login
    platform: PlatformOptions
    peer_address: str
    seeds: tuple
    token_key: bytes
    drain_timeout: float
    log_level: str
    limits: LimitsModel = field(default_factory=LimitsModel)

    def make_tls_context(self):
        """Return the TLS context for callers, or None."""
        if self.callers.tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(
            self.callers.tls.certificate_file, self.callers.tls.key_file
        )
        return context


def _read_secret(path):
    return "" if path is None else Path(path).read_text(encoding="utf-8").strip()


def make_settings(model):
    """Return the settings of a validated model, with the secrets from its files.

    Raises
    ------
    OSError
        If a file that the settings name cannot be read.
    SettingsError
        If the token key is too short.
    """
    token_key = Path(model.token_key_file).read_bytes().strip()
    if len(token_key) < MIN_TOKEN_KEY_BYTES:
        raise SettingsError(
            [f"{model.token_key_file}: token key is under {MIN_TOKEN_KEY_BYTES} bytes"]
        )
    platform = model.platform
    return Settings(
        vm=model.vm,
        failure_domain=model.failure_domain,
        deployment=model.deployment,
        callers=model.callers,
        login=Login(model.upstreams.user, _read_secret(model.upstreams.password_file)),
        platform=PlatformOptions(
            url=platform.url,
            table=platform.table,
            bucket=platform.bucket,
            region=platform.region,
            access_key=platform.access_key,
            secret_key=_read_secret(platform.secret_key_file),
        ),
        peer_address=f"{model.peers.address}:{model.peers.port}",
        seeds=tuple(model.peers.seeds),
        token_key=token_key,
        drain_timeout=seconds(model.drain_timeout_ms),
        log_level=model.log_level,
        limits=model.limits,
    )


def load_settings(path):
    """Read a settings file; return Success of Settings or Failure of SettingsError."""
    try:
        model = SettingsModel.model_validate(load_jsonc(path))
        return Success(make_settings(model))
    except ValidationError as error:
        return Failure(SettingsError(validation_error_lines(error, path)))
    except SettingsError as error:
        return Failure(error)
    except (OSError, ValueError) as error:
        return Failure(SettingsError([f"{path}: {error}"]))
