"""The fleet's cores: frames, the gate, the clock, registers, members, rights.  No sockets, no processes."""

from __future__ import annotations

import random
from itertools import permutations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowwick.fleet import registers, wire
from snowwick.fleet.clock import LOGICAL_BITS, MAX_AHEAD_MS, HybridClock
from snowwick.fleet.node import Node
from snowwick.fleet.registers import HealthTracker, Revision, stricter_limits
from snowwick.fleet.rights import LEASE_S, MAX_LENT_FRACTION, Budget, Grant
from snowwick.fleet.store import TOMBSTONE_S, Store
from snowwick.fleet.wire import Entry, Frame, FrameDropped, OwnerSummary, Ping, ReplayFilter, ReplayWindow
from snowwick.lab.interleavings import explore
from snowwick.lab.network import FLEET_KEY, LinkFaults, Network
from snowwick.lab.search import run_schedule


def frame(
    seq: int = 1, boot: int = 7, incarnation: int = 1, to_boot: int = 9, body: wire.Body | None = None
) -> Frame:
    return Frame("a", "1.2.3.4:5", incarnation, boot, seq, "b", to_boot, body or wire.Gossip())


# -- frames ----------------------------------------------------------------------------------------------


@given(st.binary(max_size=wire.MAX_FRAME_BYTES + 10))
def test_no_datagram_raises(data: bytes) -> None:
    node = Node("b", "b", [FLEET_KEY], [], random.Random(1), lambda: 1e12)
    node.receive(data, 1.0)
    assert sum(node.counts.dropped.values()) == 1


@given(
    st.recursive(
        st.none() | st.integers() | st.binary(max_size=20) | st.text(max_size=20),
        lambda inner: st.lists(inner, max_size=12),
        max_leaves=40,
    )
)
def test_no_message_under_the_right_key_raises(message: object) -> None:
    node = Node("b", "b", [FLEET_KEY], [], random.Random(1), lambda: 1e12)
    try:
        data = bytes([wire.VERSION]) + msgspec.msgpack.encode(message)
    except OverflowError:
        return
    node.receive(data[:1] + wire.keyed_digest(FLEET_KEY, data) + data[1:], 1.0)
    assert not node.members.records


@given(st.integers(0, 10**6), st.data())
def test_one_changed_bit_drops_the_frame(seed: int, data: st.DataObject) -> None:
    sealed = wire.seal(frame(seq=seed), FLEET_KEY)
    at = data.draw(st.integers(8, 8 * len(sealed) - 1))
    changed = bytearray(sealed)
    changed[at // 8] ^= 1 << at % 8
    with pytest.raises(FrameDropped, match="digest"):
        wire.unseal(bytes(changed), [FLEET_KEY])


def test_old_and_new_key_are_taken_while_keys_change() -> None:
    old, new = b"o" * 32, b"n" * 32
    assert wire.unseal(wire.seal(frame(), old), [new, old]).sender == "a"
    with pytest.raises(FrameDropped, match="digest"):
        wire.unseal(wire.seal(frame(), old), [new])


def test_a_frame_counts_once_and_only_for_this_start() -> None:
    gate = ReplayFilter("b", 9)
    gate.check(frame(5))
    gate.check(frame(3))  # overtaken is no replay
    for again in (frame(5), frame(3), frame(6, to_boot=8), frame(6, boot=6), frame(6, to_boot=0)):
        with pytest.raises(FrameDropped, match="replayed"):
            gate.check(again)
    gate.check(frame(1, boot=8, incarnation=2))  # the sender has started anew
    with pytest.raises(FrameDropped, match="replayed"):
        gate.check(frame(6))


def test_what_comes_with_a_greeting_does_not_count() -> None:
    greeting = frame(to_boot=0, body=Ping(1))
    greeting.members.append(wire.Member("c", "c", 1, 0, 1))
    ReplayFilter("b", 9).check(greeting)
    assert not greeting.members


@given(st.lists(st.integers(1, 600), max_size=60))
def test_no_number_is_taken_twice(numbers: list[int]) -> None:
    window, taken = ReplayWindow(1, 1), set[int]()
    for number in numbers:
        if window.accept(number):
            assert number not in taken
            taken.add(number)


# -- the clock -------------------------------------------------------------------------------------------


def test_a_clock_minutes_ahead_moves_no_other() -> None:
    mine = HybridClock()
    assert not mine.observe((1_000_000 + 600_000) << LOGICAL_BITS, 1_000_000.0)
    assert mine.next_timestamp(1_000_000.0) >> LOGICAL_BITS == 1_000_000
    assert mine.observe((1_000_000 + MAX_AHEAD_MS) << LOGICAL_BITS, 1_000_000.0)
    assert mine.next_timestamp(1_000_000.0) > (1_000_000 + MAX_AHEAD_MS) << LOGICAL_BITS


# -- registers -------------------------------------------------------------------------------------------

ENTRY = st.builds(
    Entry,
    st.sampled_from("xyz"),
    st.integers(1, 2),
    st.integers(1, 6),
    st.just(1),
    st.sampled_from("kl"),
    st.sampled_from([None, b"1", b"2"]),
    st.just(0),
)


def consistent(entries: list[Entry]) -> list[Entry]:
    """An owner writes one entry under one number."""
    return list({(e.owner, e.epoch, e.seq): e for e in entries}.values())


def view(store: Store) -> object:
    return {
        (name, key, held.entry.seq, held.entry.epoch)
        for name, owner in store.owners.items()
        for key, held in owner.entries.items()
        if held.entry.value is not None
    }


@given(st.lists(ENTRY, max_size=5))
@settings(max_examples=150)
def test_merge_is_commutative_and_idempotent(entries: list[Entry]) -> None:
    entries = consistent(entries)
    views = []
    for order in list(permutations(entries))[:24]:
        store = Store("me", 1)
        for entry in [*order, *order]:
            store.merge_entry(entry, 0.0)
        views.append(view(store))
    assert all(one == views[0] for one in views)


@given(st.lists(ENTRY, max_size=6), st.lists(ENTRY, max_size=6))
def test_two_copies_that_pull_from_each_other_become_the_same(
    first: list[Entry], second: list[Entry]
) -> None:
    rows = consistent([*first, *second])
    one, other = Store("me", 1), Store("you", 1)
    for entry in rows:
        (one if entry in first else other).merge_entry(entry, 0.0)
    for _ in range(4):
        for taker, giver in ((one, other), (other, one)):
            for row in giver.summaries():
                pull(taker, giver, row)
    assert {e for e in one.owners if e in "xyz"} == {e for e in other.owners if e in "xyz"}
    assert view(one) == view(other)


def pull(taker: Store, giver: Store, row: OwnerSummary) -> None:
    wanted = taker.pull_start(row)
    if wanted is None:
        return
    after, whole = wanted
    seqs, more = set[int](), True
    while more:
        found = giver.entries_after(row.owner, row.epoch, after, 40, 0.0)
        assert found is not None
        now, upto, more, entries = found
        taker.merge_batch(now, after, upto, entries, 0.0)
        seqs |= {entry.seq for entry in entries}
        after = upto
    if whole:
        taker.keep_only(row.owner, seqs)


def test_what_was_removed_stays_away_when_tombstones_have_expired() -> None:
    owner, away = Store("x", 1), Store("y", 1)
    for key in ("k", "l"):
        owner.write(1, key, b"v", 0, 0.0)
    pull(away, owner, owner.summaries()[0])
    owner.write(1, "k", None, 0, 1.0)
    owner.expire_tombstones(1.0 + TOMBSTONE_S)
    owner.expire_tombstones(2.0 + 2 * TOMBSTONE_S)
    assert len(owner.owners["x"].entries) == 1
    third = Store("z", 1)
    pull(third, owner, owner.summaries()[0])
    pull(third, away, away.owners["x"].summary("x"))  # who was away offers what it still has
    assert [held.entry.key for held in third.live_entries(1)] == ["l"]
    for _ in range(2):
        pull(away, third, third.owners["x"].summary("x"))
    assert [held.entry.key for held in away.live_entries(1)] == ["l"]


def test_a_higher_epoch_voids_what_its_owner_said_before() -> None:
    store = Store("me", 1)
    store.merge_entry(Entry("x", 1, 5, 1, "k", b"v", 0), 0.0)
    store.merge_entry(Entry("x", 2, 1, 1, "l", b"w", 0), 0.0)
    assert not store.merge_entry(Entry("x", 1, 6, 1, "k", b"v", 0), 0.0)
    assert [held.entry.key for held in store.live_entries(1)] == ["l"]


def test_registers_are_bounded() -> None:
    store = Store("me", 1, max_entries=10)
    for n in range(50):
        store.merge_entry(Entry("x", 1, n + 1, 1, f"k{n}", b"v", 0), 0.0)
    assert len(store.owners["x"].entries) == 10 and store.rejected == 40


# -- the simulated network -------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_copies_agree_under_loss_doubling_corruption_and_a_cut(seed: int) -> None:
    net = Network(
        6,
        seed,
        faults=LinkFaults(
            loss_probability=0.1, duplicate_probability=0.1, corruption_probability=0.05, max_delay_s=0.15
        ),
    )
    net.run(10.0, net.has_converged)
    net.partition(["m0", "m1", "m2"])
    for n in range(6):
        net.write(f"m{n}", 1, "k", b"%d" % n)
    net.run(net.now + 12.0)
    net.kill("m4")
    net.run(net.now + 3.0)
    net.start_machine("m4")
    net.write("m4", 1, "k", b"anew")
    net.write("m0", 1, "k", None)
    net.heal()
    healed = net.now
    net.run(healed + 20.0, net.has_converged)
    assert net.has_converged() and net.now < healed + 10.0
    assert all(machine.node.counts.dropped["digest"] for machine in net.running_machines())


def test_a_stopped_machine_is_back_without_harm_and_a_wrong_clock_changes_nothing() -> None:
    net = Network(5, 3)
    net.machines["m1"].skew_ms = 600_000.0
    net.run(8.0, net.has_converged)
    net.pause("m2", 5.0)
    net.write("m1", 1, "k", b"1")
    net.write("m0", 1, "k", b"0")
    net.run(net.now + 12.0)
    assert net.has_converged()
    assert all(
        machine.node.clock.last >> LOGICAL_BITS < 1_700_000_000_000 + 60_000
        for machine in net.running_machines()
        if machine.name != "m1"
    )


def test_a_start_by_a_clock_gone_back_counts_on_from_the_earlier_one() -> None:
    net = Network(4, 5)
    net.run(8.0, net.has_converged)
    net.write("m3", 1, "k", b"before")
    net.run(net.now + 2.0)
    net.kill("m3")
    net.machines["m3"].skew_ms = -3_600_000.0
    net.start_machine("m3")
    net.write("m3", 1, "k", b"after")
    net.run(net.now + 25.0, net.has_converged)
    values = {
        held.entry.value for machine in net.running_machines() for held in machine.node.store.live_entries(1)
    }
    assert net.has_converged() and values == {b"after"}


def test_one_way_cut_and_stops_cause_no_false_death() -> None:
    net = Network(20, 2, faults=LinkFaults(loss_probability=0.05))
    net.run(20.0, net.has_converged)
    net.is_cut = lambda one, other: (one, other) == ("m3", "m4")
    end = net.now + 60.0
    while net.now < end:
        net.pause(f"m{net.rng.randrange(20)}", 0.6)
        net.run(net.now + 5.0)
    assert not [
        news
        for machine in net.running_machines()
        for _, news in machine.node_events
        if getattr(getattr(news, "member", None), "state", 0) >= 2
    ]


# -- what follows from the registers ---------------------------------------------------------------------


def test_one_sick_balancer_cannot_empty_healthy_servers() -> None:
    store = Store("me", 1)
    for n in range(6):
        store.merge_entry(
            Entry("x", 1, n + 1, registers.HEALTH, str(n), registers.pack(registers.HANGING), 0, 6000), 0.0
        )
    node = Node("me", "me", [FLEET_KEY], [], random.Random(1), lambda: 1e12)
    node.members.record_contact("x", "x", 1, 1, 0.0)
    believed = registers.RegisterView(store, node.members)
    assert not believed.verdicts(12, 1.0) and len(believed.verdicts(24, 1.0)) == 6
    assert not believed.verdicts(24, 7.0)  # too old


def test_who_is_served_believes_nobody_and_ends_the_verdict() -> None:
    health, verdicts = HealthTracker("me"), {1: ({"x"}, set[str]()), 2: ({"x"}, {"y"})}
    assert health.update_avoided(verdicts, 10.0) == [1]
    health.record_served(1, 10.0)
    assert health.update_avoided(verdicts, 10.1) == [] and health.verdicts_to_publish(verdicts, 10.1) == {
        1: registers.SERVING
    }


def test_balancers_try_a_bad_server_again_one_after_another() -> None:
    back = []
    for n in range(8):
        health = HealthTracker(f"b{n}")
        health.update_avoided({1: ({"x"}, set())}, 0.0)
        back.append(next(t / 10 for t in range(100) if not health.update_avoided({}, t / 10)))
    assert len(set(back)) >= 6


def test_balancers_with_other_contracts_keep_to_the_stricter() -> None:
    mine = Revision("f", "c1", {"fleet.connections": 100.0, "teams.a.connections": 50.0})
    other = Revision("f", "c2", {"fleet.connections": 80.0, "teams.a.connections": 60.0})
    assert stricter_limits(mine, {"x": other}) == {"fleet.connections": 80.0}
    assert stricter_limits(mine, {"x": Revision("f", "c1", {"fleet.connections": 1.0})}) == {}


# -- rights ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(40))
def test_rights_are_never_used_twice(seed: int) -> None:
    """Three balancers, registers that come late, in any mix, or not for long; crashes and starts anew."""
    rng = random.Random(seed)
    names, part = ["a", "b", "c"], 20.0
    boots = dict.fromkeys(names, 1)
    budgets = {name: Budget(name, part, True, 0.0) for name in names}
    asks: dict[str, tuple[int, object]] = {}
    seen: dict[tuple[str, str], tuple[int, object]] = {}  # (reader, writer): the ask as it has come
    grants: dict[tuple[str, str], tuple[int, Grant]] = {}  # (lender, borrower): boot of the lender, register
    came: dict[tuple[str, str], tuple[int, Grant]] = {}
    used = dict.fromkeys(names, 0.0)
    peak, now = 0.0, 0.0
    cut: set[tuple[str, str]] = set()
    for _ in range(900):
        now += 0.1
        if rng.random() < 0.01:
            cut = {(x, y) for x in names for y in names if x != y and rng.random() < 0.4}
        if rng.random() < 0.004:
            name = rng.choice(names)  # dies, and starts anew knowing nothing
            boots[name] += 1
            budgets[name], used[name] = Budget(name, part, True, now + LEASE_S), 0.0
            seen = {key: row for key, row in seen.items() if key[0] != name}
            came = {key: row for key, row in came.items() if key[1] != name}
            asks.pop(name, None)
            grants = {key: row for key, row in grants.items() if key[0] != name}
        for name in names:
            one = budgets[name]
            wanted = 55.0 if (int(now / 20) + names.index(name)) % 3 == 0 else rng.uniform(0.0, 12.0)
            one.record_demand(wanted, now)
            most = one.target(now)
            used[name] = min(wanted, most) if used[name] <= most else max(most, used[name] - 1.0)
            used[name] = min(used[name], one.limit(now)) if used[name] <= one.limit(now) else used[name]
            for other in names:
                if other != name and (other, name) not in cut and rng.random() < 0.3:
                    if other in asks:
                        seen[name, other] = asks[other]
                    if (other, name) in grants:
                        came[other, name] = grants[other, name]
            for lender in names:
                if (lender, name) in came:
                    boot, grant = came[lender, name]
                    one.receive_grant(lender, boot, grant, boots[name], now)
            if rng.random() < 0.1:
                known = {other: boots[other] for other in names if other != name}
                asks[name] = boots[name], one.make_request(used[name], known, now)
            mine = {other: row for (reader, other), row in seen.items() if reader == name}
            for to, grant in one.grant_requests(mine, used[name], now).items():  # type: ignore[arg-type]
                grants[name, to] = boots[name], grant
        limits = [budgets[name].limit(now) for name in names]
        assert sum(limits) <= 3 * part + 1e-6, (now, limits)
        peak = max(peak, max(limits))
    assert peak > part  # rights did move


def test_a_starting_balancer_is_cautious_until_all_know_of_its_start() -> None:
    budget = Budget("a", 20.0, True, LEASE_S)
    assert budget.limit(1.0) == pytest.approx(20.0 * (1.0 - MAX_LENT_FRACTION))
    other = Budget("b", 20.0, True, 0.0)
    ask = other.make_request(0.0, {"a": 2}, 1.0)
    budget.confirm_start({"b": ask.holdings}, 3, 1)
    assert budget.limit(1.0) < 20.0
    budget.confirm_start({"b": ask.holdings}, 2, 1)
    assert budget.limit(1.0) == 20.0


@pytest.mark.parametrize("first", [0, 27, 120, 1059, 1472])
def test_courses_with_all_faults_at_once_end_in_agreement_on_what_was_written(first: int) -> None:
    """Seeds 8, 27, 120, 1059 and 1472 once did not: members that were never told of each other."""
    assert not [found for seed in range(first, first + 12) if (found := run_schedule(seed))]


def test_no_interleaving_of_two_balancers_uses_a_right_twice() -> None:
    states, depth, broken = explore(2, 6, 100_000)
    assert not broken and depth == 6 and states > 10_000


def heard_from_now(budget: Budget, lender: str, boot: int, grant: Grant, mine: int, now: float) -> None:
    """The lease counted from when its grant came, not from when it was asked for."""
    budget.request_times[grant.request_number] = now
    hear(budget, lender, boot, grant, mine, now)


hear = Budget.receive_grant


@pytest.mark.parametrize(
    "what, broken_by",
    [
        ("receive_grant", heard_from_now),
        ("_settle_grants", lambda budget, name, boot, ask: budget.outstanding.pop((name, boot), None)),
        (
            "lent_amount",
            lambda budget, now: (
                sum(max(one.amount for one in outs) for outs in budget.outstanding.values() if outs)
                if now < 3.0
                else 0.0
            ),
        ),
    ],
)
def test_the_search_finds_a_core_that_is_broken_on_purpose(
    monkeypatch: pytest.MonkeyPatch, what: str, broken_by: object
) -> None:
    monkeypatch.setattr(Budget, what, broken_by)
    assert explore(2, 8, 150_000)[2]
