"""Load reports between processes of this build and of the one before."""

import msgspec

from cactusledge.records.entries import Message
from cactusledge.records.gateway_messages import (
    AccountUse,
    CrashedRun,
    CrashReport,
    LoadReport,
    RequestKeys,
)

RUN = CrashedRun('e1', 1, RequestKeys('body', 'target'), 0.5)


class LoadReportBefore(Message, frozen=True, tag='LoadReport'):
    """The report without its last field."""

    name: str
    in_flight: dict[str, int]
    read: list = msgspec.field(default_factory=list)
    epoch: str = ''
    position: int = 0
    leaving: list = msgspec.field(default_factory=list)
    limits: list = msgspec.field(default_factory=list)
    demands: dict = msgspec.field(default_factory=dict)


def sent(message, received_as):
    """Returns a message as another process decodes it."""
    encoded = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(encoded, type=received_as)


def test_evidence_is_read_as_it_was_sent():
    report = LoadReport('f1', {}, crashes=CrashReport((RUN,)))
    assert sent(report, LoadReport).crashes.runs == (RUN,)


# Old and new processes run side by side during an upgrade.
def test_report_of_the_build_before_is_read():
    read = sent(LoadReportBefore('f1', {'e1': 2}), LoadReport)
    assert read.in_flight == {'e1': 2}
    assert read.crashes == CrashReport()


def test_report_is_read_by_the_build_before():
    report = LoadReport('f1', {'e1': 2}, crashes=CrashReport((RUN,)))
    assert sent(report, LoadReportBefore).in_flight == {'e1': 2}


def test_use_of_accounts_is_read_as_it_was_sent():
    report = LoadReport('f1', {}, quota_uses={'acme': AccountUse(250, 3)})
    assert sent(report, LoadReport) == report
