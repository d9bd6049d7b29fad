"""The capacity model: what a balancer costs at the size of the target, from slopes that were measured.

Pure: no I/O, no clock, no chance.  Each quantity has one form, in ``GROWTH_MODELS`` with its reason before
anything is fitted.  A larger size is left out of a first fit, which has to predict it (``Validation``); the
figures at the target come from a second fit of the same form over all sizes.  Quantities are in the units
of ``GROWTH_MODELS``: bytes (1 KB is 1,000), s, and parts of a core of the machine that measured them.

What was measured at one rate of telling loads (``load_writes``) is a *series*; series are fitted each on its
own.  There are two *regimes*: while frames are not full, rumours carry all (RETRANSMIT_FACTOR times log2 N
tellings of each register, Demers et al. 1987); once they are, comparison pulls the rest, by another law.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np

from snowwick.fleet import members, node, registers, store, wire
from snowwick.fleet.rights import Holding, LeaseRequest

Row = Mapping[str, Any]

MIN_FIT_SIZES, MIN_FIT_SIZE_RATIO = 4, 16.0  # of a fit: sizes, and the largest over the smallest
VALIDATION_TOLERANCE_FRACTION = 0.15  # relative error of the size that was left out
# Of the room of the frames sent, from which on they count as full: pieces carry no news, and the last entry
# that does not fit leaves a rest
FULL_FRAME_FRACTION = 0.75

BASIS_FUNCTIONS: dict[str, Callable[[float], float]] = {
    "1": lambda n: 1.0,
    "1/N": lambda n: 1.0 / n,
    "log2 N": lambda n: math.log2(max(2.0, n)),
    "N": lambda n: n,
    "N log2 N": lambda n: n * math.log2(max(2.0, n)),
}


@dataclass(slots=True, frozen=True)
class ModelInput:
    """A figure that no run of ours gives; ``reason`` says where it is from."""

    name: str
    value: float
    unit: str
    reason: str


TARGETS = {
    one.name: one
    for one in (
        ModelInput("balancers", 5_700, "", "the target"),
        ModelInput("connections", 530e6, "", "the target"),
        ModelInput("shards", 840_000, "", "the target: shards of topics"),
        ModelInput("listeners", 350_000, "", "the target: of the largest topic"),
        ModelInput("deliveries", 36e6, "/s", "the target"),
        ModelInput("delivered within", 0.39, "s", "the target: 99 in 100 deliveries"),
        ModelInput("regions", 2, "", "the target"),
        ModelInput("zones", 5, "", "the target: of both regions, as one zone is a fifth of the balancers"),
        ModelInput("changes of configuration", 26_000, "/day", "the target"),
        ModelInput("in force everywhere", 8.0, "s", "the target"),
        ModelInput("control core", 0.028, "core", "the target: of a balancer, for control"),
        ModelInput("control memory", 32e6, "bytes", "the target: of a balancer, for control"),
        ModelInput(
            "control bytes",
            21e3,
            "bytes/s",
            "the target: of a balancer, for control; read as a bound on "
            "what goes out and another on what comes in",
        ),
        ModelInput("control machines", 5, "", "the target"),
        ModelInput("failures", 36, "/day", "the target: machines on an ordinary day"),
        ModelInput("restarts", 2_800, "/day", "the target: restarted or replaced"),
        ModelInput("connections that come back", 106e6, "", "the target: a zone lost"),
    )
}

ASSUMPTIONS = {
    one.name: one
    for one in (
        ModelInput(
            "cores of the data path",
            1.0,
            "core",
            "the program is one loop on one thread; a machine may run several, each a balancer of its own",
        ),
        ModelInput(
            "bytes a member's news", 48.0, "bytes", "a `wire.Member` in msgpack, names of 13 characters"
        ),
        ModelInput(
            "bytes an entry",
            75.0,
            "bytes",
            "a load register of 12 destinations in msgpack; 67 where no count is over 127, 79 where all are",
        ),
        ModelInput("register writes of a member", 1.0, "/s", "loads, as the simulated workload writes them"),
        ModelInput(
            "bytes a shard's place",
            16.0,
            "bytes",
            "id and index in a flat table; what Python objects would take is some ten times that",
        ),
        ModelInput(
            "processor a shard's score",
            2e-6,
            "s",
            "one keyed 64-bit hash and a comparison in Python; to be measured when it is built",
        ),
        ModelInput(
            "members of a cell",
            57.0,
            "",
            "a twentieth of a zone; for the estimates of the roles, the options compare several",
        ),
        ModelInput(
            "listeners of a shard at a balancer",
            4.0,
            "",
            "36 million deliveries a second say nothing of "
            "how listeners cluster; it sets how many frames between balancers a delivery costs",
        ),
        ModelInput(
            "bytes a delivery between balancers", 300.0, "bytes", "a line of 200 bytes, a frame's head"
        ),
        ModelInput(
            "processor a frame in or out",
            50e-6,
            "s",
            "sealing, msgpack and the system call, as "
            "`snowwick/fleet` has them; to be measured when it is built",
        ),
        ModelInput(
            "bytes a change of configuration",
            2_000.0,
            "bytes",
            "a team's contract; a whole file is sent by digest and in pieces",
        ),
        ModelInput("bytes a sum", 900.0, "bytes", "the room of one register (`store.MAX_VALUE_BYTES`)"),
        ModelInput(
            "s between sums", 1.0, "s", "a load that is a second old is within the age that is stated"
        ),
        ModelInput(
            "sums a member hears",
            5.0,
            "",
            "one a zone, whatever the number of cells: delegates add up those of their zone",
        ),
        ModelInput(
            "processor a held call at discovery",
            0.010,
            "s",
            "8 to 12 ms, docs/fleet.md: of the platform's discovery, not of ours",
        ),
        ModelInput("processor a new watch at discovery", 0.129, "s", "docs/fleet.md, the same"),
        ModelInput("held calls a second a balancer", 1.0, "/s", "`net/pool.py`, WATCH"),
    )
}


def target_value(name: str) -> float:
    return TARGETS[name].value


def assumed_value(name: str) -> float:
    return ASSUMPTIONS[name].value


# -- forms and fits ------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class GrowthModel:
    """How a quantity grows with the members, by what the mechanism does; ``full`` once frames are full.

    Whether they are is read from the sizes of the fit alone.  None in ``full``: the same law in both regimes.
    """

    quantity: str
    title: str
    unit: str
    basis: tuple[str, ...]
    reason: str
    full_frames_basis: tuple[str, ...] | None = None


GROWTH_MODELS = {
    one.quantity: one
    for one in (
        GrowthModel(
            "bytes_out",
            "control bytes out",
            "bytes/s",
            ("1", "log2 N", "N log2 N"),
            "probes and roots are a fixed number a period (1); the fleet's changes, verdicts and "
            "rights come at "
            "one rate at any size, each told 3 log2 N times (log2 N); each of N writers' loads "
            "is told 3 log2 N "
            "times by each that hears of it (N log2 N). A range's hash for each eight owners is some 4% of "
            "that at 100 and at 200 writers of an eighth a second, and is left out. With full "
            "frames the rest "
            "is pulled, in frames whose number grows with the writers (1, log2 N, N), up to what "
            "comparison can "
            "start a period (a ceiling that is counted)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "bytes_in",
            "control bytes in",
            "bytes/s",
            ("1", "log2 N", "N log2 N"),
            "what all send is what all are sent, less what links lose",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "datagrams_out",
            "datagrams out",
            "/s",
            ("1", "log2 N"),
            "a probe, its answer, two with news and a comparison a period, whatever the size; "
            "further steps of "
            "comparison where members differ, which lasts as long as news takes to spread. With full frames "
            "what "
            "is written beyond their room is pulled, in proportion to the writers (N)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "datagrams_in",
            "datagrams in",
            "/s",
            ("1", "log2 N"),
            "as out",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "core",
            "processor of the protocol",
            "core",
            ("1", "N", "N log2 N"),
            "frames a period are fixed (1); roots and ranges are summed over all owners (N); "
            "each entry that is "
            "told is packed, unpacked and taken or known already (N log2 N); what waits to be passed on, the "
            "writers' registers for as long as news spreads, is sorted for each frame (N log2 N, up to "
            f"{node.MAX_QUEUED_ENTRIES}). Nothing in a period goes over pairs of owners. Once frames "
            f"are full 1, log2 "
            "N and N are left",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "reference",
            "the protocol's, in reference frames",
            "/s",
            ("1", "N", "N log2 N"),
            "as the processor of the protocol, over what a full frame took on the machine in the same run",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "heed_core",
            "processor of reading the registers",
            "core",
            ("1", "N"),
            "all registers are read at each look, four times a second, by kinds, however rarely they are "
            "written",
        ),
        GrowthModel(
            "control_core",
            "control processor",
            "core",
            ("1", "N", "N log2 N"),
            "the protocol's and that of reading the registers, added up a size",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "memory",
            "control memory",
            "bytes",
            ("1", "1/N", "N"),
            "a copy of each owner's registers, its record and its window of numbers (N); what "
            "the process that "
            "plays the fleet takes once is shared out over its members (1/N)",
        ),
        GrowthModel(
            "idle_bytes_out",
            "bytes out when nothing changes",
            "bytes/s",
            ("1", "log2 N"),
            "probes, answers and one root a period",
        ),
        GrowthModel(
            "idle_core",
            "processor when nothing changes",
            "core",
            ("1", "N"),
            "the root over all owners, twice a period",
        ),
        GrowthModel(
            "everywhere_p50_s",
            "a change everywhere, half",
            "s",
            ("1", "log2 N"),
            "rounds of spreading (log2 N); with full frames what is left is found by comparison, eight "
            "owners at a time (N)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "everywhere_p99_s",
            "a change everywhere, 99 in 100",
            "s",
            ("1", "log2 N"),
            "as the half",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "everywhere_worst_s",
            "a change everywhere, the slowest",
            "s",
            ("1", "log2 N"),
            "as the half",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "start_bytes",
            "bytes of a start",
            "bytes",
            ("1", "N"),
            "a copy of each owner's registers. With full frames the same terms, and others' news and pieces "
            "that come meanwhile",
            full_frames_basis=("1", "N"),
        ),
        GrowthModel(
            "start_s",
            "s until caught up",
            "s",
            ("1", "N"),
            "pieces are asked for one at a time, eight owners at once. With full frames the same "
            "terms, while "
            "what was written since is pulled too",
            full_frames_basis=("1", "N"),
        ),
        GrowthModel(
            "load_age_p99_s",
            "age of a load that is held, 99 in 100",
            "s",
            ("1", "log2 N"),
            "as a change everywhere, beside the time between two of a writer",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "load_late_p99_s",
            "a load that is not held yet is late by, 99 in 100",
            "s",
            ("1", "log2 N"),
            "as a change everywhere",
            full_frames_basis=("1", "log2 N", "N"),
        ),
    )
}


@dataclass(slots=True, frozen=True)
class Fit:
    """Coefficients of a basis, at least 0 each."""

    basis: tuple[str, ...]
    coefficients: tuple[float, ...]
    sizes: tuple[float, ...]

    def value_at(self, n: float) -> float:
        return sum(
            c * BASIS_FUNCTIONS[name](n) for name, c in zip(self.basis, self.coefficients, strict=True)
        )

    def formula_text(self, n: float) -> str:
        """The coefficients of what counts at that size, a thousandth of the whole at least."""
        some = [
            f"{c:.3g} {'' if name == '1' else name}".strip()
            for name, c in zip(self.basis, self.coefficients, strict=True)
            if c * BASIS_FUNCTIONS[name](n) > 1e-3 * self.value_at(n)
        ]
        return " + ".join(some) or "0"


def fit(sizes: Sequence[float], values: Sequence[float], basis: Sequence[str]) -> Fit:
    """Non-negative least squares of the relative errors.

    Exact: of all parts of the basis whose plain least squares have no negative coefficient, the best; the
    optimum is one of those, as its positive coefficients solve their own normal equations.
    """
    x = np.array([[BASIS_FUNCTIONS[name](n) for name in basis] for n in sizes], dtype=np.float64)
    y = np.array(values, dtype=np.float64)
    best = tuple(0.0 for _ in basis)
    if not y.any():
        return Fit(tuple(basis), best, tuple(sizes))
    weight = 1.0 / np.maximum(np.abs(y), np.min(np.abs(y[y != 0.0])))  # a nought weighs as the smallest
    least = float(np.sum((y * weight) ** 2))
    for size in range(1, len(basis) + 1):
        for part in itertools.combinations(range(len(basis)), size):
            columns = x[:, part] * weight[:, None]
            norm = np.linalg.norm(columns, axis=0)
            found = np.linalg.lstsq(columns / norm, y * weight, rcond=None)[0] / norm
            rest = float(np.sum((columns @ found - y * weight) ** 2))
            if float(np.min(found)) >= 0.0 and rest < least * (1.0 - 1e-9):
                least = rest
                row = [0.0] * len(basis)
                for at, value in zip(part, found, strict=True):
                    row[at] = float(value)
                best = tuple(row)
    return Fit(tuple(basis), best, tuple(sizes))


def enough_sizes(sizes: Sequence[float]) -> bool:
    return len(sizes) >= MIN_FIT_SIZES and max(sizes) >= MIN_FIT_SIZE_RATIO * min(sizes)


def row_value(row: Row, quantity: str) -> float | None:
    """A finite number of a row; ``zone_lost.core`` is the core of the part ``zone_lost``."""
    part, _, name = quantity.rpartition(".")
    inner = row.get(part) if part else row
    value = inner.get(name) if isinstance(inner, Mapping) else None
    return float(value) if isinstance(value, int | float) and math.isfinite(value) else None


def sizes_and_values(
    rows: Sequence[Row], quantity: str, size: str = "members"
) -> tuple[list[float], list[float]]:
    """Sizes and values of the rows that have the quantity, by size."""
    some = sorted(
        (float(row[size]), value) for row in rows if (value := row_value(row, quantity)) is not None
    )
    return [one for one, _ in some], [one for _, one in some]


def frames_are_full(row: Row, part: str = "") -> bool:
    """Are the frames that were sent full?"""
    sent, frames = row_value(row, f"{part}bytes_out"), row_value(row, f"{part}datagrams_out")
    return bool(sent and frames) and (sent or 0.0) >= FULL_FRAME_FRACTION * wire.MAX_FRAME_BYTES * (
        frames or 0.0
    )


def part_prefix(quantity: str) -> str:
    """The part of the run that a quantity is of, with its dot; "" for the ordinary day."""
    part = quantity.rpartition(".")[0]
    return f"{part}." if part else ""


def first_full_size(rows: Sequence[Row], part: str = "") -> float | None:
    """The smallest size whose frames are full; None where none are.

    Larger ones are in that regime too, though the small frames that ask for pieces make their mean smaller.
    """
    return min(
        (float(row["members"]) for row in rows if "members" in row and frames_are_full(row, part)),
        default=None,
    )


def select_regime(
    form: GrowthModel, quantity: str, rows: Sequence[Row]
) -> tuple[tuple[str, ...], Sequence[Row]]:
    """The basis and the rows to fit, by whether frames are full at any of these sizes.

    Where they are, the sizes at which they are not obey another law: they are left out where the others are
    enough for a fit.
    """
    start = first_full_size(rows, part_prefix(quantity))
    if form.full_frames_basis is None or start is None:
        return form.basis, rows
    some = [row for row in rows if float(row["members"]) >= start]
    return form.full_frames_basis, some if enough_sizes(sizes_and_values(some, quantity)[0]) else rows


def regime_text(start: float | None) -> str:
    return "frames not full" if start is None else f"full from {format_number(start)} on"


@dataclass(slots=True, frozen=True)
class Validation:
    """What the fit of the smaller sizes says of a larger one, and what was measured there.

    ``start`` is the size of the fit's from which on frames are full; ``filled`` the part of the frames' room
    that the fits of the smaller sizes expect to be used at the size left out.  Neither looks at that size.
    """

    fit: Fit
    size: float
    predicted: float
    measured: float
    first_full_size: float | None = None
    expected_frame_fill: float | None = None

    @property
    def crosses_regimes(self) -> bool:
        """Across the change of regime: frames are full within the fit, or would be overfull by its law."""
        return self.first_full_size is not None or (
            self.expected_frame_fill is not None and self.expected_frame_fill > 1.0
        )

    @property
    def error(self) -> float:
        """Relative, signed."""
        if self.measured == 0.0:
            return 0.0 if abs(self.predicted) < 1e-12 else math.inf
        return self.predicted / self.measured - 1.0

    @property
    def passed(self) -> bool:
        return abs(self.error) <= VALIDATION_TOLERANCE_FRACTION


def growth_model_of(quantity: str) -> GrowthModel:
    """A part of the run grows by the same law as the ordinary day."""
    return GROWTH_MODELS[quantity.rpartition(".")[2]]


def fit_quantity(
    form: GrowthModel, rows: Sequence[Row], quantity: str = "", size: str = "members"
) -> Fit | None:
    """The fit over all these sizes; None where they are too few or too near each other."""
    quantity = quantity or form.quantity
    if not enough_sizes(sizes_and_values(rows, quantity, size)[0]):
        return None
    basis, some = select_regime(form, quantity, rows)
    return fit(*sizes_and_values(some, quantity, size), basis)


def expected_frame_fill(rows: Sequence[Row], at: float, part: str = "") -> float | None:
    """The part of the frames' room that these sizes' fits expect to be used at a size; None without fits."""
    sent, frames = (
        fit_quantity(GROWTH_MODELS[name], rows, part + name) for name in ("bytes_out", "datagrams_out")
    )
    many = frames.value_at(at) if frames is not None else 0.0
    return sent.value_at(at) / (many * wire.MAX_FRAME_BYTES) if sent is not None and many > 0.0 else None


def validations(
    form: GrowthModel, rows: Sequence[Row], quantity: str = "", size: str = "members"
) -> list[Validation]:
    """Each size that has enough smaller ones, by the fit of all that are smaller; by size."""
    quantity, found = quantity or form.quantity, list[Validation]()
    part = part_prefix(quantity)
    for at, value in zip(*sizes_and_values(rows, quantity, size), strict=True):
        smaller = [row for row in rows if float(row[size]) < at]
        one = fit_quantity(form, smaller, quantity, size)
        if one is not None:
            fleet = size == "members" and form.full_frames_basis is not None
            found.append(
                Validation(
                    one,
                    at,
                    one.value_at(at),
                    value,
                    first_full_size(smaller, part) if fleet else None,
                    expected_frame_fill(smaller, at, part) if fleet else None,
                )
            )
    return found


def validate_largest(
    form: GrowthModel, rows: Sequence[Row], quantity: str = "", size: str = "members"
) -> Validation | None:
    """The largest size by the fit of all smaller ones; None where those are not enough for one."""
    sizes = sizes_and_values(rows, quantity or form.quantity, size)[0]
    some = [one for one in validations(form, rows, quantity, size) if one.size == sizes[-1]]
    return some[0] if some else None


DATA_PATH_GROWTH_MODELS = {
    one.quantity: one
    for one in (
        GrowthModel(
            "memory",
            "memory with standing connections",
            "bytes",
            ("1", "N"),
            "the program itself, and each connection's objects and buffers; N is connections",
        ),
        GrowthModel(
            "line_s",
            "processor a line",
            "s",
            ("1", "log2 N"),
            "a fixed number of turns and calls; what is touched more rarely leaves the caches, by levels",
        ),
        GrowthModel("setup_s", "processor a setup", "s", ("1", "log2 N"), "as a line"),
    )
}


# -- what was measured ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Measurements:
    """The committed files by form, each file's ``rows`` put together; empty where there is none."""

    series: Mapping[float, Sequence[Row]] = field(default_factory=dict)  # simulated, by loads told a second
    real: Sequence[Row] = ()
    data_path: Sequence[Row] = ()
    runs: Sequence[tuple[str, Mapping[str, Any]]] = ()  # (file's name, the file), for what each was run by

    @property
    def simulated(self) -> Sequence[Row]:
        """The series of the rate that the target is reckoned with."""
        return self.series.get(assumed_value("register writes of a member"), ())


def load_rate_of(name: str, file: Mapping[str, Any]) -> float:
    """Load registers that each member told a second in a run; raises ValueError where it is no number."""
    workload = file.get("workload")
    value = workload.get("load_writes") if isinstance(workload, Mapping) else None
    value = assumed_value("register writes of a member") if value is None else value
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{name}: workload.load_writes: {value!r} is no number")
    return float(value)


def with_control_core(row: Row) -> Row:
    """The row with ``control_core`` in each part that has what it is of."""
    found = {
        name: with_control_core(part) if isinstance(part, Mapping) else part for name, part in row.items()
    }
    core, heed = row_value(row, "core"), row_value(row, "heed_core")
    return {**found, "control_core": core + heed} if core is not None and heed is not None else found


def merge_results(files: Sequence[tuple[str, Mapping[str, Any]]]) -> Measurements:
    """Rows by form and size, those of the simulated network by series too.  Raises ValueError.

    A later name goes over an earlier one within a series; series are never mixed.  Rows marked ``partial``,
    of sizes that were not played to their end, are left out.
    """
    rows: dict[tuple[str, float], dict[float, Row]] = {}
    runs = sorted(files, key=lambda one: one[0].removesuffix(".json"))  # simulated before simulated-2
    known = "simulated", "real", "data-path"
    for name, file in runs:
        form = file.get("form")
        if form not in known:
            raise ValueError(f"{name}: form: {form!r} is none of {', '.join(known)}")
        into = rows.setdefault((form, load_rate_of(name, file) if form == "simulated" else 0.0), {})
        key = "connections" if form == "data-path" else "members"
        for row in file.get("rows", ()):
            if not isinstance(row, Mapping) or not isinstance(row.get(key), int | float):
                raise ValueError(f"{name}: a row without {key}")
            if not row.get("partial"):
                into[float(row[key])] = with_control_core(row)
    found = {key: [one for _, one in sorted(some.items())] for key, some in rows.items()}
    return Measurements(
        {writes: some for (form, writes), some in sorted(found.items()) if form == "simulated"},
        found.get(("real", 0.0), ()),
        found.get(("data-path", 0.0), ()),
        runs,
    )


PERIOD_S = 0.2  # s: the protocol's, as shipped
DAY_S = 86_400.0  # s


# -- what the shipped code bounds ----------------------------------------------------------------------------


def range_hashes_frame_bytes(n: int) -> int:
    """Bytes of the frame with the hashes of the ranges at so many owners, names as on the platform."""
    count = 1 << max(0, math.ceil(math.log2(max(1, n / store.OWNERS_PER_RANGE))))
    hashes = [(1 << 63) + 1] * count
    frame = wire.Frame(
        "balancer-0000",
        "10.0.0.1:7946",
        1_700_000_000_000,
        1 << 62,
        1 << 20,
        "balancer-0001",
        1 << 62,
        wire.RangeHashes(hashes),
    )
    return 1 + wire.DIGEST_BYTES + wire.encoded_size(frame)


def transmissions_per_entry(n: float) -> float:
    """How often each that hears of a change passes it on, and so about how often each hears of it."""
    return members.RETRANSMIT_FACTOR * math.log2(max(2.0, n))


# Owners from which on the ranges' frame is too long, and comparison ends
RANGE_HASHES_OVERFLOW_OWNERS = next(
    n for n in itertools.count(8) if range_hashes_frame_bytes(n) > wire.MAX_FRAME_BYTES
)


def lease_request_bytes(others: int, letters: int = 13) -> int:
    """Bytes of the register of an ask that names so many others, with names of so many characters."""
    holds = {f"{n:0{letters}}": Holding(0.0, 0, 1_700_000_000_000) for n in range(others)}
    return len(registers.pack(LeaseRequest(1, 10.0, 0.0, holds)))


def lease_request_overflow_members(letters: int = 13) -> int:
    """Members from which on no ask for rights is told: ``net/fleet.py`` passes over what no frame holds."""
    return next(n for n in itertools.count(2) if lease_request_bytes(n - 1, letters) > store.MAX_VALUE_BYTES)


# The most that a member sends a period, the mean over members, without probes for others: a probe and an
# answer, news, a root; its receiver answers with ranges, those are answered with rows, and rows with rows;
# each of the two vectors that a member gets so may start pulls, sent and received, and as many pieces
MAX_FRAMES_PER_PERIOD = 2 + node.GOSSIP_FANOUT + 1 + 1 + 2 + 2 * node.MAX_PULLS + 2 * node.MAX_PULLS


def max_bytes_per_s(n: int) -> float:
    """Bytes a second that a member sends at the most, were the ranges' frame taken at any size."""
    return (
        MAX_FRAMES_PER_PERIOD * wire.MAX_FRAME_BYTES
        + max(0, range_hashes_frame_bytes(n) - wire.MAX_FRAME_BYTES)
    ) / PERIOD_S


def full_propagation_bytes_per_s(n: float, writes: float, size: float) -> float:
    """Bytes a second that a member has to send so that all of its N members' writes are told in full.

    ``writes`` are of each member a second, ``size`` bytes each.  What frames have no room for waits, and is
    shed.
    """
    return n * writes * size * transmissions_per_entry(n)


# -- how figures are written ---------------------------------------------------------------------------------

NOT_MEASURED = "not measured"
NOT_FITTED = "not fitted"


def format_number(value: float) -> str:
    """Three digits, thousands apart; whole numbers under a million as they are."""
    if not math.isfinite(value):
        return "unbounded"
    if value == int(value) and abs(value) < 1e6:
        return f"{int(value):,}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else f"{float(f'{value:.3g}'):,.0f}"


def format_value(value: float | None, unit: str) -> str:
    """With its unit, by powers of a thousand."""
    if value is None:
        return NOT_MEASURED
    if unit in ("bytes", "bytes/s"):
        for step, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= step:
                return f"{format_number(value / step)} {name}{unit[5:]}"
    if unit == "s" and 0.0 < abs(value) < 1.0:
        return (
            f"{format_number(1e3 * value)} ms" if abs(value) >= 1e-3 else f"{format_number(1e6 * value)} us"
        )
    if unit == "core":
        return f"{format_number(value)} core" + ("s" if value > 1.0 else "")
    return f"{format_number(value)}{'' if unit.startswith('/') or not unit else ' '}{unit}"


def markdown_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


# -- estimates -----------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Estimate:
    """A quantity at the target, or why there is none."""

    value: float | None
    fit: Fit | None
    validation: Validation | None
    sizes: tuple[float, ...]
    extrapolation_factor: float | None  # the target over the largest size measured
    missing_reason: str  # "" where there is a value
    capped: bool = False  # the fit is over what the code can send; the value is that
    past_bound: bool = False  # a bound of the code lies between the sizes measured and the target
    regime_end: int | None = None  # members at which the frames of the series would be full by its own fits

    @property
    def status_text(self) -> str:
        """What the size that was left out says of the figure."""
        if self.value is None:
            return self.missing_reason
        said = "not tested" if self.validation is None else "held" if self.validation.passed else "MISSED"
        said += (
            " across the change of regime"
            if self.validation is not None and self.validation.crosses_regimes
            else ""
        )
        said += "; cut to what frames hold, counted" if self.capped else ""
        said += (
            f"; past its regime, which by the fit ends at {format_number(self.regime_end)}"
            if self.regime_end
            else ""
        )
        return said + ("; past a bound" if self.past_bound else "")

    def text(self, unit: str) -> str:
        if self.value is None:
            return self.missing_reason
        return format_value(self.value, unit) + (", counted ceiling" if self.capped else "")


# What no fit goes beyond
UPPER_BOUNDS: dict[str, Callable[[int], float]] = {
    "bytes_out": max_bytes_per_s,
    "bytes_in": max_bytes_per_s,
    "datagrams_out": lambda n: MAX_FRAMES_PER_PERIOD / PERIOD_S,
    "datagrams_in": lambda n: MAX_FRAMES_PER_PERIOD / PERIOD_S,
}


def upper_bound(quantity: str, at: float) -> float:
    """What the code can come to at most, infinite where nothing bounds it."""
    return UPPER_BOUNDS[quantity](int(at)) if quantity in UPPER_BOUNDS else math.inf


def estimate(
    form: GrowthModel, rows: Sequence[Row], at: float, quantity: str = "", size: str = "members"
) -> Estimate:
    """The quantity at a size, by the fit over all that were measured.

    Where the series has come to full frames, what frames bound is the counted ceiling: no law of the regime
    before holds beyond, and the one after ends there.
    """
    quantity = quantity or form.quantity
    sizes = tuple(sizes_and_values(rows, quantity, size)[0])
    one = fit_quantity(form, rows, quantity, size)
    why = "" if one is not None else NOT_FITTED if sizes else NOT_MEASURED
    value = one.value_at(at) if one is not None else None
    most = upper_bound(form.quantity, at)
    left, factor = validate_largest(form, rows, quantity, size), at / sizes[-1] if sizes else None
    if value is None:
        return Estimate(None, one, left, sizes, factor, why)
    over = value > most or (math.isfinite(most) and first_full_size(rows, part_prefix(quantity)) is not None)
    return Estimate(most if over else value, one, left, sizes, factor, why, over)


# -- the law while frames are not full -----------------------------------------------------------------------


def fit_below_full_frames(form: GrowthModel, rows: Sequence[Row]) -> Fit | None:
    """The fit over the sizes whose frames are not full; None where they are too few or too near."""
    start = first_full_size(rows)
    some = [row for row in rows if start is None or float(row["members"]) < start]
    sizes, values = sizes_and_values(some, form.quantity)
    return fit(sizes, values, form.basis) if enough_sizes(sizes) else None


def scale_to_load_rate(one: Fit, times: float) -> Fit:
    """The law where loads are told so many times as often.

    What is told of loads is the term N log2 N and goes with their rate; the others come at the same rate
    whatever it is.  What the process that plays the fleet takes once (1/N) is no member's and falls away.
    """
    factor = {"N log2 N": times, "1/N": 0.0}
    return replace(
        one,
        coefficients=tuple(
            c * factor.get(name, 1.0) for name, c in zip(one.basis, one.coefficients, strict=True)
        ),
    )


def sum_of_fits(one: Fit, other: Fit) -> Fit:
    """The sum of two laws."""
    names = tuple(dict.fromkeys((*one.basis, *other.basis)))
    parts = [dict(zip(some.basis, some.coefficients, strict=True)) for some in (one, other)]
    return Fit(
        names,
        tuple(sum(part.get(name, 0.0) for part in parts) for name in names),
        tuple(sorted({*one.sizes, *other.sizes})),
    )


MAX_FLEET_MEMBERS = 10_000_000


def largest_fleet_below_full_frames(sent: Fit, frames: Fit) -> int:
    """The largest fleet whose frames have room for what they carry, by the laws of bytes and datagrams
    out.
    """
    low, high = 2, MAX_FLEET_MEMBERS
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (
            (middle, high)
            if sent.value_at(middle) <= frames.value_at(middle) * wire.MAX_FRAME_BYTES
            else (low, middle)
        )
    return low


def largest_fleet_within(one: Fit, budget: float) -> int:
    """The largest fleet whose law is within the budget; 0 where two members are over it."""
    if one.value_at(2) > budget:
        return 0
    low, high = 2, MAX_FLEET_MEMBERS
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if one.value_at(middle) <= budget else (low, middle)
    return low


# -- budgets -------------------------------------------------------------------------------------------------

RUN_PARTS = {
    "": "an ordinary day",
    "burst.": "a burst of changes",
    "zone_lost.": "a zone lost",
    "region_cut.": "a region cut",
}
CONTROL_BUDGETS = {
    "bytes_out": "control bytes",
    "bytes_in": "control bytes",
    "control_core": "control core",
    "memory": "control memory",
    "zone_lost.bytes_out": "control bytes",
    "zone_lost.bytes_in": "control bytes",
    "zone_lost.control_core": "control core",
    "everywhere_p99_s": "in force everywhere",
    "burst.everywhere_p99_s": "in force everywhere",
    "zone_lost.everywhere_p99_s": "in force everywhere",
}


def budget_verdict(over: float) -> str:
    """How a figure stands by its budget, of which it is ``over`` times."""
    if over <= 1.0:
        return f"within, {format_number(over)} of it"
    return f"**over {format_number(over)} times**" if math.isfinite(over) else "**over: none is allowed**"


def total_false_deaths(row: Row) -> float | None:
    """Over all parts of a run."""
    if (every := row_value(row, "false_deaths_all")) is not None:
        return every
    some = [value for part in RUN_PARTS if (value := row_value(row, f"{part}false_deaths")) is not None]
    return sum(some) if some else None


class Model:
    """What was measured, beside the target; figures a balancer."""

    def __init__(self, measured: Measurements) -> None:
        self.measurements = measured
        self.load_rate = assumed_value("register writes of a member")
        # Who tells loads most rarely, of those that were measured; None where nobody does so more rarely
        self.slowest_load_rate = min((one for one in measured.series if one < self.load_rate), default=None)
        self.balancers = target_value("balancers")
        self.balancers_per_zone = self.balancers / target_value("zones")
        self.connections = target_value("connections") / self.balancers
        self.lines_per_s = target_value("deliveries") / self.balancers
        self.connections_zone_lost = target_value("connections") / (self.balancers - self.balancers_per_zone)
        self.lines_per_s_zone_lost = target_value("deliveries") / (self.balancers - self.balancers_per_zone)

    def control_estimate(self, quantity: str, writes: float | None = None) -> Estimate:
        """Of control at the target's balancers; ``zone_lost.core`` and the like for parts of the run.

        ``writes`` names a series by its rate, the target's where it is None.  Reading costs the same however
        rarely is written: where a series has it not, the control processor is its protocol's and the reading
        of the target's series.
        """
        rows = self.measurements.series.get(self.load_rate if writes is None else writes, ())
        one = estimate(growth_model_of(quantity), rows, self.balancers, quantity)
        if quantity == "control_core" and one.value is None:
            core, heed = (
                estimate(GROWTH_MODELS["core"], rows, self.balancers),
                self.control_estimate("heed_core") if rows else one,
            )
            if core.value is not None and heed.value is not None:
                worse = max(
                    (some.validation for some in (core, heed) if some.validation is not None),
                    key=lambda left: abs(left.error),
                    default=None,
                )
                one = replace(core, value=core.value + heed.value, validation=worse, fit=None)
        ends = None
        if (
            growth_model_of(quantity).full_frames_basis is not None
            and not one.capped
            and first_full_size(rows, part_prefix(quantity)) is None
        ):
            sent, frames = (
                fit_below_full_frames(GROWTH_MODELS["bytes_out"], rows),
                fit_below_full_frames(GROWTH_MODELS["datagrams_out"], rows),
            )
            if (
                sent is not None
                and frames is not None
                and sent.value_at(self.balancers) > frames.value_at(self.balancers) * wire.MAX_FRAME_BYTES
            ):
                ends = largest_fleet_below_full_frames(sent, frames)
        return replace(
            one,
            past_bound=bool(one.sizes) and one.sizes[-1] < RANGE_HASHES_OVERFLOW_OWNERS <= self.balancers,
            regime_end=ends,
        )

    def fit_below_full_frames(self, quantity: str) -> Fit | None:
        """Of the slow series while frames are not full; the control processor's is with the reading's."""
        rows = (
            self.measurements.series.get(self.slowest_load_rate, ())
            if self.slowest_load_rate is not None
            else ()
        )
        if quantity == "control_core":
            core, heed = (
                fit_below_full_frames(GROWTH_MODELS["core"], rows),
                fit_quantity(GROWTH_MODELS["heed_core"], self.measurements.simulated),
            )
            return sum_of_fits(core, heed) if core is not None and heed is not None else None
        return fit_below_full_frames(GROWTH_MODELS[quantity], rows)

    def regime_end(self, writes: float) -> int | None:
        """Members at which frames are full at that rate, by the slow series' laws."""
        sent, frames = self.fit_below_full_frames("bytes_out"), self.fit_below_full_frames("datagrams_out")
        if sent is None or frames is None or not self.slowest_load_rate:
            return None
        return largest_fleet_below_full_frames(
            scale_to_load_rate(sent, writes / self.slowest_load_rate), frames
        )

    def data_path_estimate(self, quantity: str, at: float) -> Estimate:
        """Of the data path at so many connections."""
        return estimate(
            DATA_PATH_GROWTH_MODELS[quantity], self.measurements.data_path, at, size="connections"
        )

    def day_scenarios(self) -> tuple[tuple[str, float, float], ...]:
        """The kinds of day, the connections and lines a second on each."""
        return ("an ordinary day", self.connections, self.lines_per_s), (
            "a zone lost",
            self.connections_zone_lost,
            self.lines_per_s_zone_lost,
        )
