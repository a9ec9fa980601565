"""Strict validation of plain data; errors give the place and a remedy."""

from typing import Annotated, Any, Protocol, TypeVar, get_args

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    PlainSerializer,
    PlainValidator,
    ValidationError,
)

from cactusledge.models import Address
from cactusledge.settings.document import Location
from cactusledge.settings.errors import (
    InvalidFileError,
    Problem,
    nearest_name,
)

MAX_PORT = 65535
MAX_INTEGER = 9_007_199_254_740_991  # exact in all JSON parsers
YEAR_S = 31_536_000.0
UNKNOWN_FIELD = 'extra_forbidden'
MAX_SHOWN_CHARACTERS = 40

ModelT = TypeVar('ModelT', bound='StrictModel')


class StrictModel(BaseModel):
    """Base class of the models of settings and definition files."""

    model_config = ConfigDict(
        strict=True,
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
    )


class FieldLocator(Protocol):
    """Locates the fields of a document."""

    def place(self, loc: Location) -> str:
        """Returns `path:line` of a field, or its environment variable."""


def parse_address(raw: object) -> Address:
    """Returns the address parsed from `host:port`."""
    if isinstance(raw, Address):
        return raw
    if not isinstance(raw, str):
        raise ValueError('expected host:port as text')  # ruff: ignore[type-check-without-type-error]
    host, _, port = raw.rpartition(':')
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"'{raw}' is not of the form host:port")
    return Address(host.strip('[]'), int(port))


AddressField = Annotated[
    Address,
    PlainValidator(parse_address),
    PlainSerializer(str),
]
Addresses = Annotated[tuple[AddressField, ...], Field(strict=False)]
NameList = Annotated[tuple[str, ...], Field(strict=False)]
Seconds = Annotated[float, Field(gt=0, le=YEAR_S)]
PositiveInt = Annotated[int, Field(gt=0, le=MAX_INTEGER)]
NonNegativeInt = Annotated[int, Field(ge=0, le=MAX_INTEGER)]


def validate(
    model: type[ModelT],
    plain: Any,
    locator: FieldLocator,
    error: type[InvalidFileError],
) -> ModelT:
    """Returns the validated model; raises `error` with every problem."""
    try:
        return model.model_validate(plain)
    except ValidationError as exc:
        details = sorted(exc.errors(include_url=False), key=_is_known_field)
        problems = tuple(
            _problem(model, locator, detail['loc'], detail['type'], detail)
            for detail in details
        )
        raise error(problems) from exc


def fields_at(model: type[BaseModel], loc: Location) -> frozenset[str]:
    """Returns the valid field names at a location."""
    known = model_at(model, loc)
    return frozenset(known.model_fields) if known else frozenset()


def model_at(model: type[BaseModel], loc: Location) -> type[BaseModel] | None:
    """Returns the model of the mapping at a location, or None."""
    found: type[BaseModel] | None = model
    for step in loc:
        if isinstance(step, int):
            continue
        field = found.model_fields.get(step) if found else None
        found = model_in(field.annotation) if field else None
    return found


def model_in(annotation: Any) -> type[BaseModel] | None:
    """Returns the first model in an annotation, or None."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    inner = (model_in(arg) for arg in get_args(annotation))
    return next((found for found in inner if found), None)


def _is_known_field(detail: Any) -> bool:
    """Sort key that puts unknown fields first.

    A misspelt field is reported as unknown and, if required, as missing;
    the unknown one names the cause.
    """
    return bool(detail['type'] != UNKNOWN_FIELD)


def _problem(
    model: type[BaseModel],
    locator: FieldLocator,
    loc: Location,
    kind: str,
    detail: Any,
) -> Problem:
    place = locator.place(loc)
    dotted = '.'.join(str(step) for step in loc) or 'the file'
    if kind == UNKNOWN_FIELD:
        return Problem(
            place,
            f"Unknown field '{dotted}'.",
            nearest_name(str(loc[-1]), fields_at(model, loc[:-1])),
        )
    if kind == 'missing':
        return Problem(
            place,
            f"The field '{dotted}' is missing.",
            'Add it; the reference page describes it.',
        )
    return Problem(
        place,
        f"The field '{dotted}' is not valid: {_reason(detail)}.",
        f'Correct the value; currently it is {_described(detail["input"])}.',
    )


def _reason(detail: Any) -> str:
    message = str(detail['msg']).removeprefix('Value error, ')
    return message[:1].lower() + message[1:]


def _described(raw: object) -> str:
    """Returns a short description of a value for an error message.

    Text and containers are not shown, only their type.
    """
    if isinstance(raw, dict | list | tuple):
        return 'a list' if isinstance(raw, list | tuple) else 'a mapping'
    if isinstance(raw, str):
        return 'a string'
    return repr(raw)[:MAX_SHOWN_CHARACTERS]
