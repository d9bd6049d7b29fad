"""Makes property tests deterministic, marks known failures, and holds the fixtures of the network tests."""

from collections.abc import Iterator

import pytest
from hypothesis import settings
from known_red import pytest_configure
from wire import World

__all__ = ["pytest_configure"]

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")


@pytest.fixture
def world() -> Iterator[World]:
    scenario_world = World()
    yield scenario_world
    scenario_world.close()


@pytest.fixture(autouse=True)
def close_worlds() -> Iterator[None]:
    """Close the worlds that a failing test has left open.

    Collected later, their actors end in the middle of another test, or of pytest's report, which then fails.
    """
    yield
    for open_world in list(World.not_closed):
        open_world.close()
