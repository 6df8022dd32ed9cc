"""Test how machines are moved between pools whose demand peaks in turn.

Scenario: each of four queues in turn requests about five times its mean for four seconds, more
than its own six machines can serve, and a twentieth of that in between. Six more machines are on
standby.
"""

from __future__ import annotations

from vanillawell.state.pool_sizing import PoolDemand, PoolSizer, min_long_running_machines
from vanillawell.state.progress import JobRecord
from vanillawell.tests.scheduling_builders import job, step

CORES_PER_MACHINE = 32.0
POOL_SIZE = 6


def _demand(service: str, cores: float, machines: int = POOL_SIZE) -> PoolDemand:
    return PoolDemand(service, machines, CORES_PER_MACHINE, cores, floor=POOL_SIZE)


def test_all_machines_needed_for_a_peak_are_moved_at_once() -> None:
    moves = (
        PoolSizer()
        .plan([_demand("a", 280.0), _demand("b", 10.0)], "standby", list("uvwxyz"), {}, 0.0)
        .moves
    )
    assert [(move.pool, move.reason) for move in moves] == [("a", "demand")] * 4


def test_a_pool_takes_surplus_machines_of_another_pool() -> None:
    pools = [_demand("a", 280.0), _demand("b", 10.0, machines=10)]
    moves = PoolSizer().plan(pools, "standby", ["u"], {"b": ["k", "l"]}, 0.0).moves
    assert {(move.machine, move.pool) for move in moves} == {("u", "a"), ("k", "a"), ("l", "a")}
    assert [move.machine for move in moves][-1] == "u"


def test_a_machine_returns_to_standby_only_after_the_hold_time() -> None:
    sizer = PoolSizer()
    high, low = _demand("a", 280.0, machines=10), _demand("a", 10.0, machines=10)
    assert sizer.plan([high], "standby", [], {}, 0.0).moves == []
    idle = {"a": ["k", "l", "m", "n", "o", "p", "q", "r", "s", "t"]}
    assert sizer.plan([low], "standby", [], idle, 0.9).moves == []
    left = sizer.plan([low], "standby", [], idle, 2.0).moves
    assert len(left) == 4
    assert {move.pool for move in left} == {"standby"}


def test_a_new_owner_sends_no_machine_to_standby_before_it_knows_the_demand() -> None:
    """After a change of owner the demand of the last seconds is unknown. Machines that were moved
    in for a peak must not be sent back in the middle of it."""
    low = _demand("a", 10.0, machines=10)
    assert PoolSizer().plan([low], "standby", [], {"a": ["k", "l"]}, 0.0).moves == []


def test_machines_with_running_tasks_are_not_moved() -> None:
    assert PoolSizer().plan([_demand("a", 1.0, machines=10)], "standby", [], {}, 9.0).moves == []


def test_a_pool_keeps_the_machines_that_its_long_running_tasks_need() -> None:
    long_running = JobRecord(job(step(5, long_running=True, most_per_executor=1)), 0.0)
    plain = JobRecord(job(step(20)), 0.0)
    assert min_long_running_machines([*long_running.open(0), *plain.open(0)]) == 5


def test_rotating_peaks_need_few_moves() -> None:
    """Four queues peak in turn, twice. Each peak has its capacity within a tenth of a second after
    it was detected, and with no more than six moves in and six moves out."""
    sizer = PoolSizer()
    machines = dict.fromkeys("abcd", POOL_SIZE)
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
        for move in sizer.plan(pools, "standby", [str(item) for item in spare], idle, now).moves:
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
