"""Nothing of one configuration, pool or customer is seen by another."""

from __future__ import annotations

import json
import math
from typing import Any

from harness import BASE_SETTINGS, BalancerHarness, ready_entries
from test_contracts_net import POOLS
from wire import SETTINGS, World

from crowgap import interface as i
from crowgap.benchlink import Adapter

QUOTAS: dict[str, Any] = {
    **SETTINGS,
    "tenants": [{"name": name} for name in ("n", "m", "free")],
    "familyInfo": {"groups": True, "messageAim": [50.0], "tenantQuotaConnections": [100.0, 30.0, 7.0]},
}


def test_pool_that_a_reload_gives_other_tenants_counts_their_quotas_from_then_on() -> None:
    """Its module kept the quotas of the former contract, and so its guess of what servers hold."""
    world = World(POOLS, settings=QUOTAS)
    rows = [
        world.list_entry("s-1", world.destination_listener, kind="k1"),
        world.list_entry("s-2", world.destination_listener, kind="k2"),
    ]
    world.service.pool_deciders.apply_update(
        world.service.pool.config.apply({"version": 2, "full": True, "servers": rows})
    )
    world.run_turns()
    modules = {name: one.balancer for name, one in world.service.pool_deciders.by_pool.items()}
    assert {name: one.total_quota for name, one in modules.items()} == {"all": 100.0, "b": 30.0}
    unit = modules["b"].capacity_per_weight
    assert unit < math.inf
    world.contracts_text = POOLS.replace('["m"]', '["m", "free"]')
    world.service.reload()
    world.run_turns()
    assert {name: one.total_quota for name, one in modules.items()} == {"all": 100.0, "b": 37.0}
    assert {one.name for one in modules["b"].settings.tenants} == {"m", "free"}
    assert modules["b"].capacity_per_weight == unit * 37.0 / 30.0
    world.close()


def test_two_programs_in_one_process_see_only_their_own_settings() -> None:
    """Tenants, classes and lists of one customer, and the caches behind them, are its own."""
    one, other = (
        World(),
        World(
            settings={
                **SETTINGS,
                "classes": [{"name": "tv", "aim": 500.0, "deadline": 900.0, "effect": "non_idempotent"}],
                "tenants": [{"name": "z"}],
            }
        ),
    )
    one.play(
        "c1 send OPEN 1 k1 d=1200,c=feed,t=n,g=g1\nd1 expect OPEN 1 *\nd1 send UP r\nc1 expect UP r\n"
        "c2 send OPEN 2 k1 d=900,c=tv,t=z\nc2 expect ERR"
    )
    other.play(
        "c1 send OPEN 1 k1 d=900,c=tv,t=z,g=g1\nd1 expect OPEN 1 *\nd1 send UP r\nc1 expect UP r\n"
        "c2 send OPEN 2 k1 d=900,c=feed,t=n\nc2 expect ERR"
    )
    mine, theirs = one.service.decider.balancer, other.service.decider.balancer
    assert mine.classes.keys() == {"feed"} and theirs.classes.keys() == {"tv"}
    assert not {id(x) for x in mine.groups.values()} & {id(x) for x in theirs.groups.values()}
    one.close()
    other.close()


def test_instance_that_is_attached_again_with_other_settings_keeps_nothing() -> None:
    adapter = Adapter()

    def attach(name: str, effect: str) -> None:
        setup = {"classes": [{"name": name, "deadline": 1000.0, "effect": effect}]}
        event = {"verb": "ATTACH", "i": 1, "salt": 5, "setup": setup}
        adapter.answer_batch(json.dumps({"moment": 1, "input": [event]}))

    attach("a", "read_like")
    first = adapter.balancers[1]
    attach("b", "non_idempotent")
    second = adapter.balancers[1]
    assert first is not None and second is not None and second is not first
    assert second.classes.keys() == {"b"} and second.classes["b"].effect is i.Effect.UNSAFE
    assert first.classes.keys() == {"a"}


def test_balancers_share_no_mutable_state() -> None:
    """Defaults and class attributes: what one learns must not show in the next."""
    one = BalancerHarness()
    for n in range(20):
        for send in one.send_request(n, f"g{n}"):
            if isinstance(send, i.Send):
                one.establish(send)
    two = BalancerHarness()
    assert not two.balancer.flows and not two.balancer.groups and two.balancer.open_connections == 0
    assert all(not b.flows for b in two.balancer.backends.values())
    assert BASE_SETTINGS.tenants == () and [b.backend for b in ready_entries(1)] == [1]
