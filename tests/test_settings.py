"""Services, pools and decision modules in one process share no settings and no state."""

from __future__ import annotations

import json
import math
from typing import Any

from harness import BASE_SETTINGS, BalancerHarness, ready_entries
from test_contracts_net import TWO_POOL_CONTRACTS
from wire import SETTINGS, World

from crowgap import interface
from crowgap.benchlink import Adapter

QUOTAS: dict[str, Any] = {
    **SETTINGS,
    "tenants": [{"name": name} for name in ("n", "m", "free")],
    "familyInfo": {"groups": True, "messageAim": [50.0], "tenantQuotaConnections": [100.0, 30.0, 7.0]},
}


def test_reload_that_changes_the_tenants_of_a_pool_updates_its_quotas() -> None:
    """The pool's module kept the old tenants' quotas, and with them its estimate of the servers' capacity."""
    world = World(TWO_POOL_CONTRACTS, settings=QUOTAS)
    servers = [
        world.list_entry("s-1", world.destination_listener, kind="k1"),
        world.list_entry("s-2", world.destination_listener, kind="k2"),
    ]
    world.service.pool_deciders.apply_update(
        world.service.pool.config.apply({"version": 2, "full": True, "servers": servers})
    )
    world.run_turns()
    modules = {name: decider.balancer for name, decider in world.service.pool_deciders.by_pool.items()}
    assert {name: module.total_quota for name, module in modules.items()} == {"all": 100.0, "b": 30.0}
    capacity = modules["b"].capacity_per_weight
    assert capacity < math.inf
    world.contracts_text = TWO_POOL_CONTRACTS.replace('["m"]', '["m", "free"]')
    world.service.reload()
    world.run_turns()
    assert {name: module.total_quota for name, module in modules.items()} == {"all": 100.0, "b": 37.0}
    assert {tenant.name for tenant in modules["b"].settings.tenants} == {"m", "free"}
    assert modules["b"].capacity_per_weight == capacity * 37.0 / 30.0
    world.close()


def test_two_services_in_one_process_use_only_their_own_settings() -> None:
    """Tenants, classes, lists and caches are not shared."""
    first, second = (
        World(),
        World(
            settings={
                **SETTINGS,
                "classes": [{"name": "tv", "aim": 500.0, "deadline": 900.0, "effect": "non_idempotent"}],
                "tenants": [{"name": "z"}],
            }
        ),
    )
    first.play(
        "c1 send OPEN 1 k1 d=1200,c=feed,t=n,g=g1\nd1 expect OPEN 1 *\nd1 send UP r\nc1 expect UP r\n"
        "c2 send OPEN 2 k1 d=900,c=tv,t=z\nc2 expect ERR"
    )
    second.play(
        "c1 send OPEN 1 k1 d=900,c=tv,t=z,g=g1\nd1 expect OPEN 1 *\nd1 send UP r\nc1 expect UP r\n"
        "c2 send OPEN 2 k1 d=900,c=feed,t=n\nc2 expect ERR"
    )
    first_module, second_module = first.service.decider.balancer, second.service.decider.balancer
    assert first_module.classes.keys() == {"feed"} and second_module.classes.keys() == {"tv"}
    assert not {id(group) for group in first_module.groups.values()} & {
        id(group) for group in second_module.groups.values()
    }
    first.close()
    second.close()


def test_instance_attached_again_with_other_settings_keeps_no_state() -> None:
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
    assert second.classes.keys() == {"b"} and second.classes["b"].effect is interface.Effect.UNSAFE
    assert first.classes.keys() == {"a"}


def test_balancers_share_no_mutable_state() -> None:
    """Guards against mutable defaults and class attributes: one balancer's state must not reach another."""
    first = BalancerHarness()
    for n in range(20):
        for action in first.send_request(n, f"g{n}"):
            if isinstance(action, interface.Send):
                first.establish(action)
    second = BalancerHarness()
    assert not second.balancer.flows and not second.balancer.groups and second.balancer.open_connections == 0
    assert all(not backend.flows for backend in second.balancer.backends.values())
    assert BASE_SETTINGS.tenants == () and [entry.backend for entry in ready_entries(1)] == [1]
