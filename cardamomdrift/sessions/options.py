"""
Request options
===============

Options of a request come from its query attributes, its leading comment or the session,
in this order of precedence.  They are checked against the bundle.
"""

from dataclasses import dataclass

from returns.result import Failure, Success

from cardamomdrift.bundle.model import RequestClass, RequestKind
from cardamomdrift.errors import BadRequest, UnknownClass
from cardamomdrift.util import seconds

KEY_LENGTH_LIMIT = 128  # characters
SESSION_OPTIONS = ("class", "token", "deadline_ms", "max_age_ms")
REQUEST_OPTIONS = (*SESSION_OPTIONS, "key")
ATTRIBUTE_PREFIX = "cardamomdrift_"


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Checked options of one request; times are in seconds."""

    request_class: RequestClass
    deadline: float
    max_age: float | None
    key: str | None
    token: str | None


def attribute_options(attributes):
    """Return the options among a statement's query attributes, named without prefix.

    An attribute that is NULL is no option.

    Raises
    ------
    BadRequest
    """
    return {
        name.removeprefix(ATTRIBUTE_PREFIX): _attribute_text(value)
        for name, value in attributes.items()
        if name.startswith(ATTRIBUTE_PREFIX) and value is not None
    }


def _attribute_text(value):
    if not isinstance(value, bytes):
        return str(value)
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise BadRequest("an attribute is not utf8mb4") from None


def _parse_duration(values, name, default):
    text = values.get(name)
    if text is None or text == "":
        return default
    try:
        number = float(text)
    except ValueError:
        raise BadRequest(f"{name} is not a number: {text}") from None
    if not 0 < number < float("inf"):
        raise BadRequest(f"{name} must be above 0")
    return seconds(number)


def _get_class(values, bundle, kind):
    name = values.get("class")
    if not name:
        default = (
            bundle.default_read if kind is RequestKind.READ else bundle.default_write
        )
        return bundle.classes[default]
    request_class = bundle.classes.get(name)
    if request_class is None:
        raise UnknownClass(f"no request class {name}")
    if request_class.kind is not kind:
        raise BadRequest(f"class {name} is for {request_class.kind.value}s")
    return request_class


def _get_key(values, kind):
    key = values.get("key")
    if key is None:
        return None
    if kind is RequestKind.READ:
        raise BadRequest("a read takes no key")
    if not 0 < len(key) <= KEY_LENGTH_LIMIT:
        raise BadRequest(f"key must have 1 to {KEY_LENGTH_LIMIT} characters")
    return key


def check_options(values, bundle, kind):
    """Return the RequestOptions as Success, or Failure of BadRequest.

    Parameters
    ----------
    values : dict of str to str
        Options from the caller.
    bundle : Bundle
    kind : RequestKind
    """
    unknown = [name for name in values if name not in REQUEST_OPTIONS]
    if unknown:
        return Failure(BadRequest(f"unknown option {unknown[0]}"))
    try:
        request_class = _get_class(values, bundle, kind)
        max_age = _parse_duration(values, "max_age_ms", request_class.max_age)
        if request_class.max_age is not None:
            max_age = min(max_age, request_class.max_age)
        elif "max_age_ms" in values and kind is RequestKind.READ:
            max_age = None  # the consistency of the class decides
        return Success(
            RequestOptions(
                request_class=request_class,
                deadline=_parse_duration(values, "deadline_ms", request_class.deadline),
                max_age=max_age if kind is RequestKind.READ else None,
                key=_get_key(values, kind),
                token=values.get("token") or None,
            )
        )
    except BadRequest as error:
        return Failure(error)
