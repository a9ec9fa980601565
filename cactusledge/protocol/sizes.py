"""Size limits of requests and program histories."""

from cactusledge.errors import ErrorCode
from cactusledge.protocol import records as rec
from cactusledge.protocol import ring
from cactusledge.protocol.errors import RefusedCallError
from cactusledge.protocol.state import ProgramState


def history_bytes(state: ProgramState) -> int:
    """Returns the size of the program's requests and answers."""
    return sum(len(call.body) + len(call.answer) for call in state.calls)


def check_history(
    state: ProgramState,
    request_bytes: int,
) -> RefusedCallError | None:
    """Returns a refusal if the journal could not store the request."""
    if request_bytes > ring.MAX_REQUEST_BYTES:
        return _too_large(
            f'The request has {request_bytes} bytes.',
            f'Keep requests below {ring.MAX_REQUEST_BYTES} bytes.',
        )
    if history_bytes(state) <= ring.MAX_SNAPSHOT_BYTES:
        return None
    size = len(rec.encode_batch((snapshot_of(state),)))
    if size <= ring.MAX_SNAPSHOT_BYTES:
        return None
    return _too_large(
        f'The compressed history of the program has {size} bytes.',
        'End the program and continue in a new one with a summary.',
    )


def snapshot_of(state: ProgramState) -> rec.ProgramSnapshot:
    """Returns the record of the program's complete state."""
    seq = len(state.calls)
    return rec.ProgramSnapshot(state.program_id, seq, state.digest, state)


def _too_large(message: str, remedy: str) -> RefusedCallError:
    return RefusedCallError(ErrorCode.TOO_LARGE, message, remedy=remedy)
