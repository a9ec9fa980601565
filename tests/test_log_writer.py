"""The log writer under load and with a blocked reader."""

import io
import json
import threading

from cactusledge.telemetry.log_writer import MAX_QUEUED_LINES, LogWriter


class BlockedStream(io.StringIO):
    """A stream that blocks writes until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return super().write(text)


def emit(writer, line):
    writer.write(f'{line}\n')
    writer.flush()


def test_lines_are_written_in_order():
    stream = io.StringIO()
    writer = LogWriter(stream)
    for number in range(50):
        emit(writer, number)
    writer.close()
    assert stream.getvalue().split() == [str(one) for one in range(50)]


def test_lines_over_the_budget_are_counted_and_errors_kept():
    stream = BlockedStream()
    writer = LogWriter(stream, lines_per_s=0, burst_lines=10)
    for _ in range(30):
        emit(writer, '{"level": "info"}')
    emit(writer, '{"level": "error"}')
    stream.released.set()
    writer.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    levels = [line.get('level') for line in lines]
    assert levels.count('info') == 10
    assert levels.count('error') == 1
    assert sum(line.get('count', 0) for line in lines) == 20


def test_full_pipe_does_not_block_the_caller():
    stream = BlockedStream()
    writer = LogWriter(stream, burst_lines=10 * MAX_QUEUED_LINES)
    for _ in range(2 * MAX_QUEUED_LINES):
        emit(writer, '{"level": "info"}')
    stream.released.set()
    writer.close()
    assert '"count":' in stream.getvalue()
