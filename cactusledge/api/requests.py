"""Schemas of request bodies, with strict validation."""

from typing import Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cactusledge.api.errors import BadRequestError

MAX_NAME_LENGTH = 128
MAX_MESSAGES = 512
MAX_OUTPUT_TOKENS = 131072

Body = TypeVar('Body', bound=BaseModel)


class OpenBody(BaseModel):
    """Body of `POST /v1/programs`."""

    model_config = ConfigDict(extra='forbid', strict=True)

    definition: str = Field(max_length=MAX_NAME_LENGTH)
    key: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    parent: str | None = Field(default=None, max_length=MAX_NAME_LENGTH)
    budget: int | None = Field(default=None, gt=0)


class CallBody(BaseModel):
    """Body of `POST /v1/programs/{program_id}/calls`."""

    model_config = ConfigDict(extra='forbid', strict=True)

    seq: int = Field(ge=1)
    key: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    kind: Literal['model', 'service']
    target: str = Field(default='', max_length=MAX_NAME_LENGTH)
    operation: str = Field(default='chat', max_length=MAX_NAME_LENGTH)
    messages: list[dict[str, Any]] = Field(
        default_factory=list,
        max_length=MAX_MESSAGES,
    )
    arguments: dict[str, Any] = Field(default_factory=dict)
    max_output_tokens: int | None = Field(
        default=None,
        gt=0,
        le=MAX_OUTPUT_TOKENS,
    )
    stream: bool = False


class EndBody(BaseModel):
    """Body of `POST /v1/programs/{program_id}/end`."""

    model_config = ConfigDict(extra='forbid', strict=True)

    reason: str = Field(default='done', max_length=MAX_NAME_LENGTH)


def parse_body(data: bytes, model: type[Body]) -> Body:
    """Parses and validates a request body.

    Raises:
        BadRequestError: The body is not JSON, or a field is invalid; the
            message names the first invalid field.
    """
    try:
        return model.model_validate_json(data or b'{}')
    except ValidationError as exc:
        first_error = exc.errors()[0]
        field = '.'.join(str(part) for part in first_error['loc']) or 'the body'
        raise BadRequestError(
            f'{field}: {first_error["msg"]}.',
            remedy='Compare the body with GET /openapi.json.',
        ) from exc
