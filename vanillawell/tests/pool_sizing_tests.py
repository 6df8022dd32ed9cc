"""Test how machines follow demand that peaks by turns.

The pattern: each of four queues in its turn asks for four seconds for about five times its mean,
more than its own six machines hold, and for a twentieth in between; six more machines wait in
standby.
"""

from __future__ import annotations

from vanillawell.state.pool_sizing import PoolDemand, PoolSizer, min_long_running_machines
from vanillawell.state.work import JobRecord
from vanillawell.tests.scheduling_builders import job, step

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
    assert min_long_running_machines([*lasting.open(0), *plain.open(0)]) == 5


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
