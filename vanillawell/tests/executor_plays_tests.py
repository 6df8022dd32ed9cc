"""Play a few seeded crashes of executors that start again under their ids.

More seeds by hand: `for seed in ...: anyio.run(run, draw(seed))` of `executor_lives_play`.
"""

from __future__ import annotations

import anyio
import pytest

from vanillawell.tests.executor_lives_play import draw, run

RELAYED_WITH_LOST_OWNER = 10
SILENT = 11
ENDING_WITH_LOST_OWNER = 18


# Guards against overfilling an executor, and against second runs, when it starts again under its id
# as a smaller kind and registers late.
@pytest.mark.parametrize("seed", [RELAYED_WITH_LOST_OWNER, SILENT, ENDING_WITH_LOST_OWNER])
def test_nothing_breaks_when_an_executor_starts_again_under_its_id(seed: int) -> None:
    assert anyio.run(run, draw(seed)) == []
