"""Explores all interleavings of a few balancers that lend each other rights, breadth first.

    python -m snowwick.lab.interleavings [--balancers N] [--depth N] [--most STATES]

Runs the production code of ``snowwick.fleet.rights``.  In each step time passes, a balancer writes a request
or grants, one reader receives a register, the demand changes, or a balancer crashes and restarts without its
state (at most once).  A reader can receive any version newer than the one that it has, which covers versions
that are lost, late or duplicated.  After each step the sum of all limits must be within the budget.  Equal
states are merged.
"""

from __future__ import annotations

import argparse
import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from snowwick.fleet.rights import Budget, Grant, LeaseRequest

STATIC_SHARE = 4.0  # each balancer's part of the budget before any lending
LEASE_S = 3.0
TIME_STEP_S = 1.0
DEMANDS = (0.0, 7.0)  # a balancer's demand is one or the other


@dataclass
class State:
    """Everything that a step can change."""

    budgets: dict[str, Budget]
    epochs: dict[str, int]  # by balancer; a restart increments it
    demand_indexes: dict[str, int]  # into DEMANDS
    now: float = 0.0
    crashes_left: int = 1
    # By writer and register: the epoch of the writer and the value of each version
    written: dict[tuple[str, str], list[tuple[int, LeaseRequest | Grant]]] = field(default_factory=dict)
    # By reader, writer and register: the epoch of the writer and the version that was received last
    received: dict[tuple[str, str, str], tuple[int, int]] = field(default_factory=dict)

    def used_amount(self, name: str) -> float:
        """The amount that a balancer may use now: its demand, at most its limit."""
        return min(DEMANDS[self.demand_indexes[name]], self.budgets[name].limit(self.now))


def initial_state(balancer_count: int) -> State:
    names = "abc"[:balancer_count]
    state = State(
        {name: Budget(name, STATIC_SHARE, True, 0.0, LEASE_S) for name in names},
        dict.fromkeys(names, 1),
        dict.fromkeys(names, 0),
    )
    state.demand_indexes["a"] = 1
    return state


def possible_steps(state: State) -> Iterator[tuple[str, tuple[str, ...]]]:
    """The steps that are possible in a state: the action and its arguments."""
    yield "time", ()
    for name in state.budgets:
        yield "request", (name,)
        yield "grant", (name,)
        if state.crashes_left:
            yield "crash", (name,)
        if name != "a":
            yield "demand", (name,)
    for (writer, register), versions in state.written.items():
        for reader in state.budgets:
            if reader == writer or (register.startswith("grant") and register != f"grant {reader}"):
                continue
            last_received = state.received.get((reader, writer, register), (0, -1))
            for version, (epoch, _) in enumerate(versions):
                if (epoch, version) > last_received:
                    yield "receive", (reader, writer, register, str(version))


def apply_step(state: State, action: str, arguments: tuple[str, ...]) -> None:
    """Applies a step of ``possible_steps`` to a state in place."""
    if action == "time":
        state.now += TIME_STEP_S
        return
    name = arguments[0]
    budget = state.budgets[name]
    if action == "demand":
        state.demand_indexes[name] = 1 - state.demand_indexes[name]
    elif action == "request":
        budget.peak_demand, budget.peak_at = DEMANDS[state.demand_indexes[name]], state.now
        epochs = {other: epoch for other, epoch in state.epochs.items() if other != name}
        request = budget.make_request(state.used_amount(name), epochs, state.now)
        state.written.setdefault((name, "request"), []).append((state.epochs[name], request))
    elif action == "grant":
        budget.peak_demand, budget.peak_at = DEMANDS[state.demand_indexes[name]], state.now
        requests = {}
        for (reader, writer, register), (epoch, version) in state.received.items():
            _, value = state.written[writer, register][version]
            if reader == name and isinstance(value, LeaseRequest):
                requests[writer] = epoch, value
        for borrower, grant in budget.grant_requests(requests, state.used_amount(name), state.now).items():
            state.written.setdefault((name, f"grant {borrower}"), []).append((state.epochs[name], grant))
    elif action == "crash":
        state.crashes_left -= 1
        state.epochs[name] += 1
        state.budgets[name] = Budget(name, STATIC_SHARE, True, state.now + LEASE_S, LEASE_S)
        state.received = {key: version for key, version in state.received.items() if key[0] != name}
    else:
        reader, writer, register, version_text = arguments
        epoch, value = state.written[writer, register][int(version_text)]
        state.received[reader, writer, register] = epoch, int(version_text)
        if isinstance(value, Grant):
            budget.receive_grant(writer, epoch, value, state.epochs[reader], state.now)
    for each_budget in state.budgets.values():
        each_budget.lent_amount(state.now)  # removes expired grants, so that equal states are equal bytes


def explore(balancer_count: int, max_depth: int, max_states: int) -> tuple[int, int, list[str]]:
    """Explores breadth first, up to a depth and a number of states.

    Returns the number of distinct states, the depth to which all interleavings were explored, and the steps
    to the first state that exceeds the budget, or an empty list.
    """
    frontier: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(initial_state(balancer_count)), ())]
    seen = {frontier[0][0]}
    for depth in range(max_depth):
        next_frontier: list[tuple[bytes, tuple[str, ...]]] = []
        for data, path in frontier:
            for action, arguments in list(possible_steps(pickle.loads(data))):
                state: State = pickle.loads(data)
                apply_step(state, action, arguments)
                next_path = (*path, " ".join((action, *arguments)))
                total_limit = sum(budget.limit(state.now) for budget in state.budgets.values())
                if total_limit > balancer_count * STATIC_SHARE + 1e-9:
                    return len(seen), depth, [*next_path, f"sum of limits {total_limit}"]
                packed = pickle.dumps(state)
                if packed not in seen:
                    seen.add(packed)
                    next_frontier.append((packed, next_path))
                    if len(seen) >= max_states:
                        return len(seen), depth, []
        frontier = next_frontier
    return len(seen), max_depth, []


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--balancers", type=int, default=2, choices=[2, 3])
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--most", type=int, default=300_000)
    flags = parser.parse_args()
    states, depth, steps = explore(flags.balancers, flags.depth, flags.most)
    print(f"{states} states, all interleavings explored to depth {depth}", *steps, sep="\n")
    raise SystemExit(bool(steps))


if __name__ == "__main__":
    main()
