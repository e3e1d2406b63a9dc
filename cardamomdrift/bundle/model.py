"""
Bundle
======

The versioned description of one deployment: its database groups and request classes.
The pydantic models validate what operators write; the daemon uses the data classes.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from returns.result import Failure, Success

from cardamomdrift.errors import BundleError
from cardamomdrift.util import seconds, validation_error_lines

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,62}$")]
PRIORITY_COUNT = 4  # priorities of request classes, from 0


class RequestKind(StrEnum):
    """Whether a request reads or writes."""

    READ = "read"
    WRITE = "write"


class Durability(StrEnum):
    """What is known of a write before it is acknowledged.

    Attributes
    ----------
    CURRENT_TERM
        No higher term existed when the write committed.
    REPLICATED
        In addition, a majority of the group's instances holds the write.
    """

    CURRENT_TERM = "current_term"
    REPLICATED = "replicated"


class Consistency(StrEnum):
    """Which writes a read without a maximum age must see.

    Attributes
    ----------
    FRESH
        Every write acknowledged before the read arrived.
    SESSION
        The writes of its own session if the request has a session token; otherwise
        the same as FRESH.
    """

    FRESH = "fresh"
    SESSION = "session"


class RecordOrder(StrEnum):
    """Whether a promotion records its term before or after promoting the instance."""

    AFTER = "after"
    BEFORE = "before"


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, use_enum_values=True)


class InstanceModel(_StrictModel):
    """One instance of a group in a bundle."""

    address: str
    port: int = Field(ge=1, le=65535)
    failure_domain: Name


class GroupModel(_StrictModel):
    """One database group in a bundle."""

    databases: list[str] = Field(min_length=1)
    instances: dict[Name, InstanceModel] = Field(min_length=1)
    slots: int = Field(default=2, ge=1, le=1024)
    connections: int = Field(default=16, ge=2, le=10000)
    record: Literal["after", "before"] = "after"


class ClassModel(_StrictModel):
    """One request class in a bundle."""

    kind: Literal["read", "write"]
    max_age_ms: float | None = Field(default=None, gt=0)
    repeatable: bool = False
    consistency: Literal["fresh", "session"] = "fresh"
    durability: Literal["current_term", "replicated"] = "replicated"
    deadline_ms: float = Field(default=5000, ge=10, le=600000)
    priority: int = Field(default=1, ge=0, lt=PRIORITY_COUNT)
    objective: float = Field(default=0.999, gt=0, lt=1)

    @model_validator(mode="after")
    def _check_kind(self):
        if self.kind == "write" and self.max_age_ms is not None:
            raise ValueError("max_age_ms is for reads only")
        return self


class DefaultsModel(_StrictModel):
    """Request classes used by requests that name no class."""

    read: Name
    write: Name


class BundleModel(_StrictModel):
    """A bundle as operators write it."""

    deployment: Name
    groups: dict[Name, GroupModel] = Field(min_length=1)
    classes: dict[Name, ClassModel] = Field(min_length=1)
    defaults: DefaultsModel

    @model_validator(mode="after")
    def _check_references(self):
        for kind in ("read", "write"):
            name = getattr(self.defaults, kind)
            named_class = self.classes.get(name)
            if named_class is None or named_class.kind != kind:
                raise ValueError(
                    f"defaults.{kind} must name a {kind} class, not {name}"
                )
        owners = {}
        for group, model in self.groups.items():
            for database in model.databases:
                if owners.setdefault(database, group) != group:
                    raise ValueError(f"database {database} is in two groups")
        return self


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """Name, address and failure domain of one instance."""

    name: str
    address: str
    port: int
    failure_domain: str

    @property
    def endpoint(self):
        """Address of the instance as ``ip:port``."""
        return f"{self.address}:{self.port}"


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """One validated database group.

    Attributes
    ----------
    name : str
    databases : tuple of str
    instances : tuple of InstanceSpec
    slots : int
        Statements that one instance runs at the same time.
    connections : int
        Connections that one instance accepts from all VMs together.
    record_order : RecordOrder
    """

    name: str
    databases: tuple
    instances: tuple
    slots: int
    connections: int
    record_order: RecordOrder

    @property
    def majority(self):
        """Smallest number of instances that is a majority of the group."""
        return len(self.instances) // 2 + 1

    @property
    def instance_names(self):
        """Names of the group's instances."""
        return tuple(instance.name for instance in self.instances)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One validated request class; times are in seconds.

    Attributes
    ----------
    name : str
    kind : RequestKind
    max_age : float or None
        How old the data of a read may be; None if the consistency decides.
    repeatable : bool
        Whether a request without a key may be repeated when its outcome is unknown.
    consistency : Consistency
    durability : Durability
    deadline : float
        Time after which the caller gets an error.
    priority : int
        Requests with a higher priority leave the queue first.
    objective : float
        Share of requests that should be good; the rest is the error budget.
    """

    name: str
    kind: RequestKind
    max_age: float | None
    repeatable: bool
    consistency: Consistency
    durability: Durability
    deadline: float
    priority: int
    objective: float


@dataclass(frozen=True)
class Bundle:
    """A validated bundle.

    Attributes
    ----------
    deployment : str
    groups : dict of str to GroupSpec
    classes : dict of str to RequestClass
    default_read, default_write : str
        Names of the classes of requests that name no class.
    """

    deployment: str
    groups: dict
    classes: dict
    default_read: str
    default_write: str


def _make_group(name, model):
    instances = tuple(
        InstanceSpec(key, instance.address, instance.port, instance.failure_domain)
        for key, instance in model.instances.items()
    )
    return GroupSpec(
        name,
        tuple(model.databases),
        instances,
        model.slots,
        model.connections,
        RecordOrder(model.record),
    )


def _make_class(name, model):
    return RequestClass(
        name=name,
        kind=RequestKind(model.kind),
        max_age=seconds(model.max_age_ms),
        repeatable=model.repeatable or model.kind == "read",
        consistency=Consistency(model.consistency),
        durability=Durability(model.durability),
        deadline=seconds(model.deadline_ms),
        priority=model.priority,
        objective=model.objective,
    )


def make_bundle(model):
    """Return the Bundle that a validated BundleModel describes."""
    return Bundle(
        deployment=model.deployment,
        groups={
            name: _make_group(name, submodel) for name, submodel in model.groups.items()
        },
        classes={
            name: _make_class(name, submodel)
            for name, submodel in model.classes.items()
        },
        default_read=model.defaults.read,
        default_write=model.defaults.write,
    )


def check_value(value, place):
    """Validate a bundle that was read from a JSON file.

    Parameters
    ----------
    value : dict
    place : str
        Where the value comes from; each line of the error starts with it.

    Returns
    -------
    Success of BundleModel, or Failure of BundleError
    """
    try:
        return Success(BundleModel.model_validate(value))
    except ValidationError as error:
        return Failure(BundleError(validation_error_lines(error, place)))


def encode_bundle(model):
    """Return the canonical bytes of a BundleModel; its digest is computed from them."""
    return model.model_dump_json(exclude_none=True).encode()


def decode_bundle(body):
    """Return Success of the Bundle in canonical bytes, or Failure of BundleError."""
    try:
        return Success(make_bundle(BundleModel.model_validate_json(body)))
    except ValidationError as error:
        return Failure(BundleError(validation_error_lines(error, "bundle")))
