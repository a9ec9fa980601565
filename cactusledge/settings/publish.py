"""Publishes definitions: parts first, then the head, conditionally."""

import datetime as dt
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cactusledge.errors import (
    CactusledgeError,
    ErrorCode,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cactusledge.models import Outcome
from cactusledge.protocol.config_head import (
    Draft,
    Head,
    HeadWriteResult,
    PublishStep,
    decide_publish,
    next_head,
    resolve_write,
)
from cactusledge.settings.definitions import DefinitionSet, digest_of
from cactusledge.settings.errors import PublishConflictError
from cactusledge.settings.parts import Part, split_parts
from cactusledge.settings.published import (
    HEAD_KIND,
    HEAD_NAME,
    PART_KIND,
    StoredHead,
    head_body,
    read_head,
)

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

MAX_ATTEMPTS = 6
INITIAL_BACKOFF_S = 0.1
NONCE_BYTES = 16


class PublishUnsettledError(CactusledgeError):
    """The platform became unreachable before the outcome was known."""

    code = ErrorCode.STORE_ANSWER_LOST
    outcome = Outcome.UNKNOWN


class PublishResult(NamedTuple):
    """The outcome of publishing."""

    generation: int
    changed: bool
    parts_written: int = 0


class Publisher(NamedTuple):
    """The operator who publishes, with sources of time and nonces."""

    name: str
    sleep: Callable[[float], None] = time.sleep
    now: Callable[[], float] = time.time
    new_nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES)


def publish(
    store: 'ObjectStore',
    wanted: DefinitionSet,
    expected_generation: int | None,
    publisher: Publisher,
) -> PublishResult:
    """Publishes the definitions as the next generation.

    Raises:
        PublishConflictError: Another operator published first.
        PublishUnsettledError: It is not known whether the head was written.
    """
    stored = read_head(store)
    digest = digest_of(wanted.merged)
    step = decide_publish(stored.head, digest, expected_generation)
    if step is PublishStep.CONFLICT:
        raise _conflict_error(stored.head)
    if step is PublishStep.UNCHANGED:
        generation = stored.head.generation if stored.head else 0
        return PublishResult(generation, changed=False)
    parts = split_parts(wanted.merged)
    written = _write_parts(store, parts, stored.head, publisher)
    head = next_head(stored.head, _draft(publisher, digest, parts))
    _write_head(store, stored, head, publisher)
    return PublishResult(head.generation, changed=True, parts_written=written)


def _draft(publisher: Publisher, digest: str, parts: tuple[Part, ...]) -> Draft:
    now = dt.datetime.fromtimestamp(publisher.now(), dt.UTC)
    return Draft(
        publisher.new_nonce(),
        digest,
        tuple(part.name for part in parts),
        publisher.name,
        now.isoformat(timespec='seconds'),
    )


def _write_parts(
    store: 'ObjectStore',
    parts: tuple[Part, ...],
    current: Head | None,
    publisher: Publisher,
) -> int:
    """Writes the parts that the current head lacks; returns their number."""
    known = frozenset(current.parts if current else ())
    missing = [part for part in parts if part.name not in known]
    for part in missing:
        _write_part(store, part, publisher)
    return len(missing)


def _write_part(store: 'ObjectStore', part: Part, publisher: Publisher) -> None:
    for attempt in range(MAX_ATTEMPTS):
        try:
            store.create(PART_KIND, part.name, part.body())
        except StoreConflictError:
            return  # the name is the digest: equal content exists
        except StoreAnswerLostError:
            publisher.sleep(_backoff_s(attempt))
        else:
            return
    raise StoreUnavailableError(
        'The platform did not confirm the parts; nothing was published.',
        remedy='Publish again when the platform answers.',
    )


def _write_head(
    store: 'ObjectStore',
    stored: StoredHead,
    new_head: Head,
    publisher: Publisher,
) -> None:
    """Writes the head; reads it back whenever an answer is lost."""
    in_doubt = False  # whether a write may have taken effect unconfirmed
    for attempt in range(MAX_ATTEMPTS):
        exc = _put_head(store, stored, new_head)
        if exc is None:
            return
        in_doubt = in_doubt or isinstance(exc, StoreAnswerLostError)
        if not in_doubt:
            raise _definite_error(store, exc)
        publisher.sleep(_backoff_s(attempt))
        if _took_effect(store, new_head):
            return
    raise _unsettled_error(new_head)


def _put_head(
    store: 'ObjectStore', stored: StoredHead, new_head: Head
) -> StoreError | None:
    """Tries to write the head once; returns the error, if any."""
    body = head_body(new_head)
    try:
        if stored.head is None:
            store.create(HEAD_KIND, HEAD_NAME, body)
        else:
            store.update(HEAD_KIND, HEAD_NAME, body, stored.version)
    except StoreError as exc:
        return exc
    return None


def _definite_error(store: 'ObjectStore', exc: StoreError) -> CactusledgeError:
    """Returns the error to raise for a write that had no effect."""
    if isinstance(exc, StoreConflictError):
        return _conflict_error(read_head(store).head)
    return exc


def _took_effect(store: 'ObjectStore', new_head: Head) -> bool:
    """Returns whether the write took effect; False means to repeat it."""
    try:
        found = read_head(store).head
    except StoreError:
        return False
    write_result = resolve_write(new_head, found)
    if write_result is HeadWriteResult.LOST:
        raise _conflict_error(found)
    if write_result is HeadWriteResult.UNDECIDED:
        raise _unsettled_error(new_head)
    return write_result is HeadWriteResult.PUBLISHED


def _backoff_s(attempt: int) -> float:
    return INITIAL_BACKOFF_S * float(2**attempt)


def _conflict_error(winner: Head | None) -> PublishConflictError:
    if winner is None:
        return PublishConflictError(
            'Nothing has been published yet.',
            remedy='Publish with --expect-generation 0.',
        )
    return PublishConflictError(
        f'Generation {winner.generation} was published by'
        f" '{winner.publisher}' at {winner.published_at}; your"
        ' definitions were not published.',
        remedy=(
            'Merge the other change into your files, check `plan`, then'
            f' publish with --expect-generation {winner.generation}.'
        ),
    )


def _unsettled_error(new_head: Head) -> PublishUnsettledError:
    return PublishUnsettledError(
        f'It is not known whether generation {new_head.generation} was'
        ' published: the platform did not answer.',
        remedy=(
            'Run `plan` when the platform answers. If it lists no change,'
            ' the generation was published; else publish again.'
        ),
    )
