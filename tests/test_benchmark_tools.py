"""Tables, slopes and meters of the benchmarks."""

import os

import pytest

from benchmarks.capacity_feeder import Feeder
from benchmarks.capacity_members import Rounds
from benchmarks.capacity_series import Series, fitted
from benchmarks.load_client import Timing
from benchmarks.load_page import shown, table
from benchmarks.load_process import ProcessMeter
from benchmarks.load_report import latency_table, outcome_table
from cactusledge.protocol.program import replay


@pytest.mark.parametrize(
    ('cell', 'text'),
    [
        ('name', 'name'),
        (12, '12'),
        (0.12345, '0.123'),
        (1234.5, '1,234'),
        (-2345.0, '-2,345'),
    ],
)
def test_cells_keep_three_significant_digits(cell, text):
    assert shown(cell) == text


def test_a_table_has_a_header_and_a_rule():
    assert table(('a', 'b'), [(1, 0.5)]).splitlines() == [
        '| a | b |',
        '| --- | --- |',
        '| 1 | 0.5 |',
    ]


def test_the_fitted_line_is_that_of_the_points():
    assert fitted([1, 2, 3], [12, 10, 8]) == '14 - 2'


def test_a_slope_needs_three_points():
    two = Series('Title', ('cause', 'cost'), ((1, 1), (2, 2)))
    three = two._replace(rows=(*two.rows, (3, 3)))
    assert ' per cause' not in two.text()
    assert '- cost: 0 + 1 per cause' in three.text()


def test_only_calls_that_ran_count_for_the_latency():
    timings = [
        Timing('model', 0.1, 0.05, tokens=3),
        Timing('model', 9, outcome='overloaded'),
    ]
    rows = latency_table(timings).splitlines()[2:]
    assert [row.split(' | ')[:2] for row in rows] == [
        ['| model', '1'],
        ['| model, first token', '1'],
    ]
    assert '| model | overloaded | 1 |' in outcome_table(timings)


def test_the_meter_sees_processor_time():
    meter = ProcessMeter([os.getpid()])
    while meter.spent().cpu_ms < 20:
        sum(range(10_000))
    assert meter.spent().wall_s > 0


def test_fed_records_form_a_whole_history():
    feeder = Feeder(100)
    records = [*feeder.open('p'), *feeder.turn('p'), *feeder.turn('p')]
    assert replay(records) == feeder.states
    assert len(feeder.states['p'].calls) == 2


def test_every_member_sends_heartbeats_and_gets_replies():
    rounds = Rounds(4)
    rounds.run(0)
    assert rounds.cost.messages == 4 * 3 * 2
    assert rounds.cost.wire_bytes > 0
