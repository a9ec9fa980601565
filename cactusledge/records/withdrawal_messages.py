"""What instances tell each other of the ends of endpoints' entries."""

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """An endpoint's entry that is over: it was removed, or says draining."""

    endpoint_id: str
    version: int  # of the entry; a newer one may be valid
