"""Test how machines follow demand that peaks by turns.

The pattern: each of four queues in its turn asks for four seconds for about five times its mean,
more than its own six machines hold, and for a twentieth in between; six more machines wait in
standby.
"""

from __future__ import annotations

from vanillawell.state.durations import DurationBook
from vanillawell.state.pool_sizing import (
    ArrivalMeter,
    PoolDemand,
    PoolSizer,
    expected_growth,
    lasting_floor,
)
from vanillawell.state.trial_placement import machines_lacking
from vanillawell.state.work import JobRecord, Resources, Step
from vanillawell.tests.scheduling_builders import Bench, facts, job, step

CORES = 32.0
HOME = 6


def _demand(service: str, cores: float, machines: int = HOME) -> PoolDemand:
    return PoolDemand(service, machines, CORES, cores, floor=HOME)


def test_the_first_sign_of_a_peak_brings_all_that_it_needs() -> None:
    moves = PoolSizer().plan(
        [_demand("a", 280.0), _demand("b", 10.0)], "standby", list("uvwxyz"), {}, 0.0
    )
    assert [(move.pool, move.reason) for move in moves] == [("a", "demand")] * 4


def test_a_pool_in_need_takes_what_another_has_to_spare() -> None:
    pools = [_demand("a", 280.0), _demand("b", 10.0, machines=10)]
    moves = PoolSizer().plan(pools, "standby", ["u"], {"b": ["k", "l"]}, 0.0)
    assert {(move.machine, move.pool) for move in moves} == {("u", "a"), ("k", "a"), ("l", "a")}
    assert [move.machine for move in moves][-1] == "u"


def test_a_machine_leaves_only_when_it_was_not_needed_for_a_while() -> None:
    sizer = PoolSizer()
    busy, calm = _demand("a", 280.0, machines=10), _demand("a", 10.0, machines=10)
    assert sizer.plan([busy], "standby", [], {}, 0.0) == []
    idle = {"a": ["k", "l", "m", "n", "o", "p", "q", "r", "s", "t"]}
    assert sizer.plan([calm], "standby", [], idle, 0.9) == []
    left = sizer.plan([calm], "standby", [], idle, 2.0)
    assert len(left) == 4
    assert {move.pool for move in left} == {"standby"}


def test_a_new_owner_sends_no_machine_away_before_it_knows_the_demand() -> None:
    """After a change of owner nothing is known of the last seconds; machines that a peak has just
    brought must not leave in the middle of it."""
    calm = _demand("a", 10.0, machines=10)
    assert PoolSizer().plan([calm], "standby", [], {"a": ["k", "l"]}, 0.0) == []


def test_nothing_that_runs_is_moved() -> None:
    assert PoolSizer().plan([_demand("a", 1.0, machines=10)], "standby", [], {}, 9.0) == []


def test_a_pool_keeps_just_the_places_that_its_lasting_tasks_need() -> None:
    lasting = JobRecord(job(step(5, long_running=True, most_per_executor=1)), 0.0)
    plain = JobRecord(job(step(20)), 0.0)
    assert lasting_floor([*lasting.open(0), *plain.open(0)]) == 5


def test_a_pool_grows_for_lasting_tasks_that_fit_no_machine_beside_others() -> None:
    """Two lasting jobs of six tasks share a pool, and a machine's memory holds one task of each at
    most. Sized by processors and by the widest step alone, the pool stayed at six machines, and the
    second job waited for ten seconds while standby was full."""
    bench = Bench(*(facts(f"i-{number}") for number in range(HOME)))
    wide = Step(HOME, Resources(1_000, 40_000), 1.0, long_running=True, most_per_executor=1)
    bench.admit(job(wide))
    bench.place()
    bench.admit(job(wide))
    bench.place()
    executors = list(bench.shard.ledger.executors.values())
    steps = list(bench.shard.board.open_steps)
    size = executors[0].facts.capacity
    assert machines_lacking(executors, 0, size, steps) == HOME
    assert machines_lacking(executors, HOME - 1, size, steps) == 1
    assert machines_lacking(executors, HOME, size, steps) == 0


def test_no_machine_is_called_for_a_task_that_fits_none() -> None:
    """A task that asks for more than a machine offers would call one after the other."""
    bench = Bench(facts("i-0"))
    bench.admit(job(step(1, cpu=9_000, long_running=True)))
    bench.place()
    size = facts("i-0").capacity
    assert machines_lacking([], 0, size, list(bench.shard.board.open_steps)) == 0


def test_a_peak_is_seen_before_its_tasks_have_piled_up() -> None:
    """Fourteen jobs a second begin to come where one came before. After a third of a second only a
    few tasks run, and the moves that the peak needs are under way already."""
    meter, durations = ArrivalMeter(), DurationBook()
    item = job(step(6, cpu=1_800, seconds=0.8), step(4, cpu=1_800, seconds=0.8, after=(0,)))
    for number in range(5):
        meter.note("a", item, durations, number / 14)
    assert meter.cores("a", 0.36) > 50
    assert meter.cores("a", 2.0) == 0


def test_a_peak_at_its_height_brings_little_more_than_it_asks_for() -> None:
    """Forty jobs come in each window, as many as in the one before. Room for seventy would bring
    machines that nobody uses, and that the pool whose turn is next would miss."""
    assert expected_growth(40, 40) < 1.4
    assert expected_growth(400, 400) < 1.2


def test_a_peak_that_begins_has_room_for_its_growth() -> None:
    """Jobs have tripled from one window to the next, and a machine takes two more to come."""
    assert expected_growth(12, 4) > 2


def test_one_large_job_is_taken_for_no_peak() -> None:
    """One job of forty times the usual work comes among usual ones, as happens by chance."""
    usual, durations = ArrivalMeter(), DurationBook()
    for number in range(60):
        usual.note("a", job(step(4, seconds=1.0)), durations, number * 0.1)
    before = usual.cores("a", 5.9)
    usual.note("a", job(step(4, seconds=40.0)), durations, 5.95)
    assert usual.cores("a", 6.0) < 3 * before


def test_rotating_peaks_are_met_with_few_moves() -> None:
    """Two turns of four queues: each peak has its room within a tenth of a second after it was
    seen, and no more than six moves in and out are made for each."""
    sizer = PoolSizer()
    machines = dict.fromkeys("abcd", HOME)
    spare, moves, now = list(range(6)), 0, 0.0
    while now < 32.0:
        peak = "abcd"[int(now / 4) % 4]
        pools = [
            _demand(service, 280.0 if service == peak else 12.0, machines[service])
            for service in "abcd"
        ]
        idle = {
            service: [f"{service}{number}" for number in range(machines[service])]
            for service in "abcd"
            if service != peak
        }
        for move in sizer.plan(pools, "standby", [str(item) for item in spare], idle, now):
            moves += 1
            if move.pool == "standby":
                machines[move.machine[0]] -= 1
                spare.append(len(spare))
            else:
                machines[move.pool] += 1
                if move.machine[0] in machines:
                    machines[move.machine[0]] -= 1
                else:
                    spare.pop()
        assert machines[peak] >= 10
        now += 0.1
    assert moves <= 8 * 2 * 6
