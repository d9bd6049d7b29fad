"""All interleavings of a few balancers that move rights, breadth first, on the shipped core.

    python -m snowwick.lab.interleavings [--balancers N] [--depth N] [--most STATES]

A step lets time pass, a balancer ask or grant, one register reach one reader (any version newer than what it
has: the others were lost, late or came twice), demand change, or a balancer crash and start anew knowing
nothing (once).  After each the limits together must be within the budget.  Equal states are merged.
"""

from __future__ import annotations

import argparse
import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from snowwick.fleet.rights import Budget, Grant, LeaseRequest

PART, LEASE, STEP = 4.0, 3.0, 1.0  # each one's part; s of a lease here, and of a step of time
WANTED = (0.0, 7.0)  # what is wanted, in turns


@dataclass
class State:
    """Everything that a step can change."""

    budgets: dict[str, Budget]
    boots: dict[str, int]
    wanted: dict[str, int]  # which of WANTED
    now: float = 0.0
    crashes: int = 1
    written: dict[tuple[str, str], list[tuple[int, LeaseRequest | Grant]]] = field(default_factory=dict)
    # By reader, writer and register: the start and the version that has come.
    read: dict[tuple[str, str, str], tuple[int, int]] = field(default_factory=dict)

    def used(self, name: str) -> float:
        """The most that it may: whatever the limit allows."""
        return min(WANTED[self.wanted[name]], self.budgets[name].limit(self.now))


def begin(count: int) -> State:
    names = "abc"[:count]
    state = State(
        {name: Budget(name, PART, True, 0.0, LEASE) for name in names},
        dict.fromkeys(names, 1),
        dict.fromkeys(names, 0),
    )
    state.wanted["a"] = 1
    return state


def steps(state: State) -> Iterator[tuple[str, tuple[str, ...]]]:
    yield "time", ()
    for name in state.budgets:
        yield "ask", (name,)
        yield "grant", (name,)
        if state.crashes:
            yield "crash", (name,)
        if name != "a":
            yield "want", (name,)
    for (writer, register), versions in state.written.items():
        for reader in state.budgets:
            if reader == writer or (register.startswith("grant") and register != f"grant {reader}"):
                continue
            last = state.read.get((reader, writer, register), (0, -1))
            for at, (boot, _) in enumerate(versions):
                if (boot, at) > last:
                    yield "read", (reader, writer, register, str(at))


def carry_out(state: State, what: str, of: tuple[str, ...]) -> None:
    if what == "time":
        state.now += STEP
        return
    name = of[0]
    budget = state.budgets[name]
    if what == "want":
        state.wanted[name] = 1 - state.wanted[name]
    elif what == "ask":
        budget.peak_demand, budget.peak_at = WANTED[state.wanted[name]], state.now
        boots = {one: boot for one, boot in state.boots.items() if one != name}
        ask = budget.make_request(state.used(name), boots, state.now)
        state.written.setdefault((name, "ask"), []).append((state.boots[name], ask))
    elif what == "grant":
        budget.peak_demand, budget.peak_at = WANTED[state.wanted[name]], state.now
        asks = {}
        for (reader, writer, register), (boot, version) in state.read.items():
            _, told = state.written[writer, register][version]
            if reader == name and isinstance(told, LeaseRequest):
                asks[writer] = boot, told
        for to, grant in budget.grant_requests(asks, state.used(name), state.now).items():
            state.written.setdefault((name, f"grant {to}"), []).append((state.boots[name], grant))
    elif what == "crash":
        state.crashes -= 1
        state.boots[name] += 1
        state.budgets[name] = Budget(name, PART, True, state.now + LEASE, LEASE)
        state.read = {key: row for key, row in state.read.items() if key[0] != name}
    else:
        reader, writer, register, at = of
        boot, value = state.written[writer, register][int(at)]
        state.read[reader, writer, register] = boot, int(at)
        if isinstance(value, Grant):
            budget.receive_grant(writer, boot, value, state.boots[reader], state.now)
    for one in state.budgets.values():
        one.lent_amount(state.now)  # drops what has run out, so that equal states look equal


def explore(count: int, depth: int, most: int) -> tuple[int, int, list[str]]:
    """States seen, the depth that was searched whole, and the steps to the first that breaks the budget."""
    frontier: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(begin(count)), ())]
    seen = {frontier[0][0]}
    for level in range(depth):
        after: list[tuple[bytes, tuple[str, ...]]] = []
        for data, path in frontier:
            for what, of in list(steps(pickle.loads(data))):
                state: State = pickle.loads(data)
                carry_out(state, what, of)
                here = (*path, " ".join((what, *of)))
                limits = sum(one.limit(state.now) for one in state.budgets.values())
                if limits > count * PART + 1e-9:
                    return len(seen), level, [*here, f"limits together {limits}"]
                packed = pickle.dumps(state)
                if packed not in seen:
                    seen.add(packed)
                    after.append((packed, here))
                    if len(seen) >= most:
                        return len(seen), level, []
        frontier = after
    return len(seen), depth, []


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--balancers", type=int, default=2, choices=[2, 3])
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--most", type=int, default=300_000)
    given = parser.parse_args()
    states, depth, broken = explore(given.balancers, given.depth, given.most)
    print(f"{states} states, whole to depth {depth}", *broken, sep="\n")
    raise SystemExit(bool(broken))


if __name__ == "__main__":
    main()
