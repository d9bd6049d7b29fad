"""The fleet protocol without sockets: frames, replay filter, clock, registers, members and rights."""

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
    seq: int = 1, boot: int = 7, incarnation: int = 1, receiver_boot: int = 9, body: wire.Body | None = None
) -> Frame:
    """A frame from member a to member b."""
    return Frame("a", "1.2.3.4:5", incarnation, boot, seq, "b", receiver_boot, body or wire.Gossip())


# -- frames ----------------------------------------------------------------------------------------------


@given(st.binary(max_size=wire.MAX_FRAME_BYTES + 10))
def test_no_datagram_raises_an_exception(data: bytes) -> None:
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
def test_no_message_under_a_valid_key_raises_an_exception(message: object) -> None:
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
    bit = data.draw(st.integers(8, 8 * len(sealed) - 1))
    changed = bytearray(sealed)
    changed[bit // 8] ^= 1 << bit % 8
    with pytest.raises(FrameDropped, match="digest"):
        wire.unseal(bytes(changed), [FLEET_KEY])


def test_old_and_new_key_are_accepted_while_keys_are_replaced() -> None:
    old, new = b"o" * 32, b"n" * 32
    assert wire.unseal(wire.seal(frame(), old), [new, old]).sender == "a"
    with pytest.raises(FrameDropped, match="digest"):
        wire.unseal(wire.seal(frame(), old), [new])


def test_a_frame_is_accepted_once_and_only_for_this_start() -> None:
    replay_filter = ReplayFilter("b", 9)
    replay_filter.check(frame(5))
    replay_filter.check(frame(3))  # a frame out of order is no replay
    for replayed in (
        frame(5),
        frame(3),
        frame(6, receiver_boot=8),
        frame(6, boot=6),
        frame(6, receiver_boot=0),
    ):
        with pytest.raises(FrameDropped, match="replayed"):
            replay_filter.check(replayed)
    replay_filter.check(frame(1, boot=8, incarnation=2))  # the sender has restarted
    with pytest.raises(FrameDropped, match="replayed"):
        replay_filter.check(frame(6))


def test_updates_in_a_ping_without_a_boot_number_are_ignored() -> None:
    ping = frame(receiver_boot=0, body=Ping(1))
    ping.members.append(wire.Member("c", "c", 1, 0, 1))
    ReplayFilter("b", 9).check(ping)
    assert not ping.members


@given(st.lists(st.integers(1, 600), max_size=60))
def test_no_sequence_number_is_accepted_twice(numbers: list[int]) -> None:
    window, accepted = ReplayWindow(1, 1), set[int]()
    for number in numbers:
        if window.accept(number):
            assert number not in accepted
            accepted.add(number)


# -- the clock -------------------------------------------------------------------------------------------


def test_a_clock_minutes_ahead_advances_no_other_clock() -> None:
    clock = HybridClock()
    assert not clock.observe((1_000_000 + 600_000) << LOGICAL_BITS, 1_000_000.0)
    assert clock.next_timestamp(1_000_000.0) >> LOGICAL_BITS == 1_000_000
    assert clock.observe((1_000_000 + MAX_AHEAD_MS) << LOGICAL_BITS, 1_000_000.0)
    assert clock.next_timestamp(1_000_000.0) > (1_000_000 + MAX_AHEAD_MS) << LOGICAL_BITS


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
    """The entries with one entry for each sequence number, as an owner writes them."""
    return list({(entry.owner, entry.epoch, entry.seq): entry for entry in entries}.values())


def live(store: Store) -> object:
    """The live entries of a store."""
    return {
        (name, key, stored.entry.seq, stored.entry.epoch)
        for name, owner in store.owners.items()
        for key, stored in owner.entries.items()
        if stored.entry.value is not None
    }


@given(st.lists(ENTRY, max_size=5))
@settings(max_examples=150)
def test_merge_is_commutative_and_idempotent(entries: list[Entry]) -> None:
    entries = consistent(entries)
    results = []
    for order in list(permutations(entries))[:24]:
        store = Store("me", 1)
        for entry in [*order, *order]:
            store.merge_entry(entry, 0.0)
        results.append(live(store))
    assert all(result == results[0] for result in results)


@given(st.lists(ENTRY, max_size=6), st.lists(ENTRY, max_size=6))
def test_two_stores_that_pull_from_each_other_become_equal(first: list[Entry], second: list[Entry]) -> None:
    entries = consistent([*first, *second])
    one, other = Store("me", 1), Store("you", 1)
    for entry in entries:
        (one if entry in first else other).merge_entry(entry, 0.0)
    for _ in range(4):
        for target, source in ((one, other), (other, one)):
            for summary in source.summaries():
                pull(target, source, summary)
    assert {owner for owner in one.owners if owner in "xyz"} == {
        owner for owner in other.owners if owner in "xyz"
    }
    assert live(one) == live(other)


def pull(target: Store, source: Store, summary: OwnerSummary) -> None:
    """Pull an owner's missing entries from one store into another, in small batches."""
    start = target.pull_start(summary)
    if start is None:
        return
    after, full = start
    seqs, more = set[int](), True
    while more:
        found = source.entries_after(summary.owner, summary.epoch, after, 40, 0.0)
        assert found is not None
        current, up_to, more, entries = found
        target.merge_batch(current, after, up_to, entries, 0.0)
        seqs |= {entry.seq for entry in entries}
        after = up_to
    if full:
        target.keep_only(summary.owner, seqs)


def test_a_removed_register_does_not_come_back_after_its_tombstone_has_expired() -> None:
    owner, absent = Store("x", 1), Store("y", 1)
    for key in ("k", "l"):
        owner.write(1, key, b"v", 0, 0.0)
    pull(absent, owner, owner.summaries()[0])
    owner.write(1, "k", None, 0, 1.0)
    owner.expire_tombstones(1.0 + TOMBSTONE_S)
    owner.expire_tombstones(2.0 + 2 * TOMBSTONE_S)
    assert len(owner.owners["x"].entries) == 1
    third = Store("z", 1)
    pull(third, owner, owner.summaries()[0])
    pull(third, absent, absent.owners["x"].summary("x"))  # the absent member still has the removed register
    assert [stored.entry.key for stored in third.live_entries(1)] == ["l"]
    for _ in range(2):
        pull(absent, third, third.owners["x"].summary("x"))
    assert [stored.entry.key for stored in absent.live_entries(1)] == ["l"]


def test_a_higher_epoch_replaces_all_entries_of_its_owner() -> None:
    store = Store("me", 1)
    store.merge_entry(Entry("x", 1, 5, 1, "k", b"v", 0), 0.0)
    store.merge_entry(Entry("x", 2, 1, 1, "l", b"w", 0), 0.0)
    assert not store.merge_entry(Entry("x", 1, 6, 1, "k", b"v", 0), 0.0)
    assert [stored.entry.key for stored in store.live_entries(1)] == ["l"]


def test_the_number_of_registers_of_an_owner_is_limited() -> None:
    store = Store("me", 1, max_entries=10)
    for n in range(50):
        store.merge_entry(Entry("x", 1, n + 1, 1, f"k{n}", b"v", 0), 0.0)
    assert len(store.owners["x"].entries) == 10 and store.rejected == 40


# -- the simulated network -------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_copies_agree_after_loss_duplication_corruption_and_a_partition(seed: int) -> None:
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
    healed_at = net.now
    net.run(healed_at + 20.0, net.has_converged)
    assert net.has_converged() and net.now < healed_at + 10.0
    assert all(machine.node.counts.dropped["digest"] for machine in net.running_machines())


def test_a_stopped_machine_recovers_and_a_wrong_clock_has_no_effect() -> None:
    net = Network(5, 3)
    net.machines["m1"].skew_ms = 600_000.0
    net.run(8.0, net.has_converged)
    net.pause("m2", 5.0)
    net.write("m1", 1, "k", b"1")
    net.write("m0", 1, "k", b"0")
    net.run(net.now + 12.0)
    assert net.has_converged()
    assert all(
        machine.node.hybrid_clock.highest_timestamp >> LOGICAL_BITS < 1_700_000_000_000 + 60_000
        for machine in net.running_machines()
        if machine.name != "m1"
    )


def test_a_restart_after_the_clock_went_back_continues_from_the_earlier_start() -> None:
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
        stored.entry.value
        for machine in net.running_machines()
        for stored in machine.node.store.live_entries(1)
    }
    assert net.has_converged() and values == {b"after"}


def test_a_one_way_cut_and_short_stops_cause_no_false_death() -> None:
    net = Network(20, 2, faults=LinkFaults(loss_probability=0.05))
    net.run(20.0, net.has_converged)
    net.is_cut = lambda one, other: (one, other) == ("m3", "m4")
    end = net.now + 60.0
    while net.now < end:
        net.pause(f"m{net.rng.randrange(20)}", 0.6)
        net.run(net.now + 5.0)
    assert not [
        event
        for machine in net.running_machines()
        for _, event in machine.node_events
        if getattr(getattr(event, "member", None), "state", 0) >= 2
    ]


# -- reading the registers -------------------------------------------------------------------------------


def test_verdicts_of_a_balancer_that_reports_many_destinations_are_ignored() -> None:
    store = Store("me", 1)
    for n in range(6):
        store.merge_entry(
            Entry("x", 1, n + 1, registers.HEALTH, str(n), registers.pack(registers.HANGING), 0, 6000), 0.0
        )
    node = Node("me", "me", [FLEET_KEY], [], random.Random(1), lambda: 1e12)
    node.members.record_contact("x", "x", 1, 1, 0.0)
    register_view = registers.RegisterView(store, node.members)
    assert not register_view.verdicts(12, 1.0) and len(register_view.verdicts(24, 1.0)) == 6
    assert not register_view.verdicts(24, 7.0)  # expired


def test_a_balancer_that_is_served_ignores_and_contradicts_a_verdict() -> None:
    health, verdicts = HealthTracker("me"), {1: ({"x"}, set[str]()), 2: ({"x"}, {"y"})}
    assert health.update_avoided(verdicts, 10.0) == [1]
    health.record_served(1, 10.0)
    assert health.update_avoided(verdicts, 10.1) == [] and health.verdicts_to_publish(verdicts, 10.1) == {
        1: registers.SERVING
    }


def test_balancers_retry_a_bad_destination_at_different_times() -> None:
    retried_at = []
    for n in range(8):
        health = HealthTracker(f"b{n}")
        health.update_avoided({1: ({"x"}, set())}, 0.0)
        retried_at.append(next(t / 10 for t in range(100) if not health.update_avoided({}, t / 10)))
    assert len(set(retried_at)) >= 6


def test_the_stricter_limits_apply_between_balancers_with_other_contracts() -> None:
    own = Revision("f", "c1", {"fleet.connections": 100.0, "teams.a.connections": 50.0})
    other = Revision("f", "c2", {"fleet.connections": 80.0, "teams.a.connections": 60.0})
    assert stricter_limits(own, {"x": other}) == {"fleet.connections": 80.0}
    assert stricter_limits(own, {"x": Revision("f", "c1", {"fleet.connections": 1.0})}) == {}


# -- rights ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(40))
def test_rights_are_never_used_twice(seed: int) -> None:
    """Three balancers whose registers arrive late, in any combination or not for a while, and that crash.

    At each step the limits of all three together must be within the budget.
    """
    rng = random.Random(seed)
    names, share = ["a", "b", "c"], 20.0
    epochs = dict.fromkeys(names, 1)
    budgets = {name: Budget(name, share, True, 0.0) for name in names}
    requests: dict[str, tuple[int, object]] = {}
    read_requests: dict[tuple[str, str], tuple[int, object]] = {}  # by (reader, writer)
    grants: dict[tuple[str, str], tuple[int, Grant]] = {}  # by (lender, borrower): lender's epoch and grant
    read_grants: dict[tuple[str, str], tuple[int, Grant]] = {}  # the same, as read by the borrower
    used = dict.fromkeys(names, 0.0)
    highest_limit, now = 0.0, 0.0
    cut: set[tuple[str, str]] = set()
    for _ in range(900):
        now += 0.1
        if rng.random() < 0.01:
            cut = {
                (sender, reader)
                for sender in names
                for reader in names
                if sender != reader and rng.random() < 0.4
            }
        if rng.random() < 0.004:
            name = rng.choice(names)  # crashes and restarts without any state
            epochs[name] += 1
            budgets[name], used[name] = Budget(name, share, True, now + LEASE_S), 0.0
            read_requests = {key: row for key, row in read_requests.items() if key[0] != name}
            read_grants = {key: row for key, row in read_grants.items() if key[1] != name}
            requests.pop(name, None)
            grants = {key: row for key, row in grants.items() if key[0] != name}
        for name in names:
            budget = budgets[name]
            wanted = 55.0 if (int(now / 20) + names.index(name)) % 3 == 0 else rng.uniform(0.0, 12.0)
            budget.record_demand(wanted, now)
            target = budget.target(now)
            used[name] = min(wanted, target) if used[name] <= target else max(target, used[name] - 1.0)
            used[name] = min(used[name], budget.limit(now)) if used[name] <= budget.limit(now) else used[name]
            for other in names:
                if other != name and (other, name) not in cut and rng.random() < 0.3:
                    if other in requests:
                        read_requests[name, other] = requests[other]
                    if (other, name) in grants:
                        read_grants[other, name] = grants[other, name]
            for lender in names:
                if (lender, name) in read_grants:
                    epoch, grant = read_grants[lender, name]
                    budget.receive_grant(lender, epoch, grant, epochs[name], now)
            if rng.random() < 0.1:
                other_epochs = {other: epochs[other] for other in names if other != name}
                requests[name] = epochs[name], budget.make_request(used[name], other_epochs, now)
            known = {other: row for (reader, other), row in read_requests.items() if reader == name}
            for borrower, grant in budget.grant_requests(known, used[name], now).items():  # type: ignore[arg-type]
                grants[name, borrower] = epochs[name], grant
        limits = [budgets[name].limit(now) for name in names]
        assert sum(limits) <= 3 * share + 1e-6, (now, limits)
        highest_limit = max(highest_limit, max(limits))
    assert highest_limit > share  # rights have moved


def test_a_starting_balancer_assumes_most_is_lent_until_all_confirm_its_start() -> None:
    budget = Budget("a", 20.0, True, LEASE_S)
    assert budget.limit(1.0) == pytest.approx(20.0 * (1.0 - MAX_LENT_FRACTION))
    other = Budget("b", 20.0, True, 0.0)
    request = other.make_request(0.0, {"a": 2}, 1.0)
    budget.confirm_start({"b": request.holdings}, 3, 1)
    assert budget.limit(1.0) < 20.0
    budget.confirm_start({"b": request.holdings}, 2, 1)
    assert budget.limit(1.0) == 20.0


@pytest.mark.parametrize("first", [0, 27, 120, 1059, 1472])
def test_runs_with_all_faults_at_once_end_in_agreement_on_what_was_written(first: int) -> None:
    """With seeds 8, 27, 120, 1059 and 1472 some members never learned of each other in earlier versions."""
    assert not [fault for seed in range(first, first + 12) if (fault := run_schedule(seed))]


def test_no_interleaving_of_two_balancers_uses_a_right_twice() -> None:
    states, depth, broken = explore(2, 6, 100_000)
    assert not broken and depth == 6 and states > 10_000


def lease_from_arrival(
    budget: Budget, lender: str, lender_epoch: int, grant: Grant, epoch: int, now: float
) -> None:
    """Counts the lease from when its grant arrived, not from when it was requested."""
    budget.request_times[grant.request_number] = now
    receive_grant(budget, lender, lender_epoch, grant, epoch, now)


receive_grant = Budget.receive_grant


@pytest.mark.parametrize(
    "method, replacement",
    [
        ("receive_grant", lease_from_arrival),
        ("_settle_grants", lambda budget, name, epoch, request: budget.outstanding.pop((name, epoch), None)),
        (
            "lent_amount",
            lambda budget, now: (
                sum(max(grant.amount for grant in grants) for grants in budget.outstanding.values() if grants)
                if now < 3.0
                else 0.0
            ),
        ),
    ],
)
def test_the_search_finds_a_deliberately_broken_budget(
    monkeypatch: pytest.MonkeyPatch, method: str, replacement: object
) -> None:
    monkeypatch.setattr(Budget, method, replacement)
    assert explore(2, 8, 150_000)[2]
