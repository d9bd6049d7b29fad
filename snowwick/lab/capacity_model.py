"""The capacity model: what a balancer costs at the target size, extrapolated from measured fleet sizes.

The module is pure: no I/O, no clock, no randomness.  Each quantity has a growth model, which is stated in
``GROWTH_MODELS`` with its reason before anything is fitted.  A first fit leaves out a larger size and has to
predict it (``Validation``); the figures at the target come from a second fit of the same growth model over
all sizes.  Quantities are in the units of ``GROWTH_MODELS``: bytes (1 KB is 1,000), s, and fractions of a
core of the machine on which they were measured.

The runs with one rate of load updates (``load_writes``) form a *series*; each series is fitted separately.
There are two *regimes*.  While frames are not full, gossip carries all updates (each register is sent
RETRANSMIT_FACTOR times log2 N times by each member, Demers et al. 1987).  Once frames are full, the remaining
updates are pulled after a comparison, which grows differently.
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

MIN_FIT_SIZES = 4  # different sizes that a fit needs
MIN_FIT_SIZE_RATIO = 16.0  # of the largest to the smallest size of a fit
VALIDATION_TOLERANCE_FRACTION = 0.15  # largest relative error of a prediction that passes
# Frames count as full from this fraction of their capacity on: pull replies carry no gossip entries, and
# space remains where the next entry does not fit
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
    """A figure of the target or an assumption, which no run measures; ``reason`` gives its source."""

    name: str
    value: float
    unit: str
    reason: str


TARGETS = {
    model_input.name: model_input
    for model_input in (
        ModelInput("balancers", 5_700, "", "target"),
        ModelInput("connections", 530e6, "", "target"),
        ModelInput("shards", 840_000, "", "target; shards of topics"),
        ModelInput("listeners", 350_000, "", "target; of the largest topic"),
        ModelInput("deliveries", 36e6, "/s", "target"),
        ModelInput("delivery time", 0.39, "s", "target; 99th percentile of the deliveries"),
        ModelInput("regions", 2, "", "target"),
        ModelInput(
            "zones", 5, "", "target; in both regions together, as one zone has a fifth of the balancers"
        ),
        ModelInput("configuration changes", 26_000, "/day", "target"),
        ModelInput(
            "configuration propagation time", 8.0, "s", "target; until a change is in force everywhere"
        ),
        ModelInput("control core", 0.028, "core", "target; processor budget of a balancer for control"),
        ModelInput("control memory", 32e6, "bytes", "target; memory budget of a balancer for control"),
        ModelInput(
            "control bytes",
            21e3,
            "bytes/s",
            "target; network budget of a balancer for control, taken as one limit on outgoing bytes and "
            "another on incoming bytes",
        ),
        ModelInput("control machines", 5, "", "target"),
        ModelInput("failures", 36, "/day", "target; machines on an ordinary day"),
        ModelInput("restarts", 2_800, "/day", "target; balancers that are restarted or replaced"),
        ModelInput("reconnecting connections", 106e6, "", "target; after the loss of a zone"),
    )
}

ASSUMPTIONS = {
    model_input.name: model_input
    for model_input in (
        ModelInput(
            "data path cores",
            1.0,
            "core",
            "the program is one event loop on one thread; a machine may run several processes, each of them "
            "a balancer",
        ),
        ModelInput(
            "bytes per membership update",
            48.0,
            "bytes",
            "a `wire.Member` in msgpack with names of 13 characters",
        ),
        ModelInput(
            "bytes per entry",
            75.0,
            "bytes",
            "a load register of 12 destinations in msgpack; 67 if no count is over 127, 79 if all are",
        ),
        ModelInput("register writes per member", 1.0, "/s", "load updates, as in the simulated workload"),
        ModelInput(
            "bytes per shard placement",
            16.0,
            "bytes",
            "id and index in a flat table; Python objects would take about ten times as much",
        ),
        ModelInput(
            "processor time per shard score",
            2e-6,
            "s",
            "one keyed 64-bit hash and a comparison in Python; to be measured once it is implemented",
        ),
        ModelInput(
            "members per cell",
            57.0,
            "",
            "a twentieth of a zone; for the estimates by function, the table of cell sizes compares several",
        ),
        ModelInput(
            "listeners per shard and balancer",
            4.0,
            "",
            "the target of 36 million deliveries per second does not say how listeners are distributed; "
            "this decides how many frames between balancers a delivery costs",
        ),
        ModelInput(
            "bytes per delivery between balancers", 300.0, "bytes", "a line of 200 bytes and a frame header"
        ),
        ModelInput(
            "processor time per frame sent or received",
            50e-6,
            "s",
            "sealing, msgpack and the system call, as in `snowwick/fleet`; to be measured once it is "
            "implemented",
        ),
        ModelInput(
            "bytes per configuration change",
            2_000.0,
            "bytes",
            "the contract of one team; a whole file is sent by digest and in parts",
        ),
        ModelInput(
            "bytes per sum", 900.0, "bytes", "the size limit of one register (`store.MAX_VALUE_BYTES`)"
        ),
        ModelInput(
            "interval between sums", 1.0, "s", "a load that is a second old meets the stated limit on age"
        ),
        ModelInput(
            "sums received per member",
            5.0,
            "",
            "one per zone, whatever the number of cells: the delegates add up the loads of their zone",
        ),
        ModelInput(
            "processor time per held call at discovery",
            0.010,
            "s",
            "8 to 12 ms according to docs/fleet.md; spent by the platform's discovery service, not by this "
            "program",
        ),
        ModelInput(
            "processor time per new watch at discovery", 0.129, "s", "docs/fleet.md; also of the service"
        ),
        ModelInput("held calls per balancer", 1.0, "/s", "`net/pool.py`, WATCH_HOLD_S"),
    )
}


def target_value(name: str) -> float:
    """The value of a target, in its unit."""
    return TARGETS[name].value


def assumed_value(name: str) -> float:
    """The value of an assumption, in its unit."""
    return ASSUMPTIONS[name].value


# -- growth models and fits ----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class GrowthModel:
    """The basis functions by which a quantity grows with the number of members, derived from the protocol.

    ``full_frames_basis`` applies once frames are full, which is decided by the sizes of the fit alone.  It is
    None where the same basis holds in both regimes.
    """

    quantity: str
    title: str
    unit: str
    basis: tuple[str, ...]
    reason: str
    full_frames_basis: tuple[str, ...] | None = None


GROWTH_MODELS = {
    growth_model.quantity: growth_model
    for growth_model in (
        GrowthModel(
            "bytes_out",
            "control bytes out",
            "bytes/s",
            ("1", "log2 N", "N log2 N"),
            "probes and root hashes are a fixed number per period (1); configuration changes, verdicts and "
            "rights are written at the same rate in a fleet of any size, and each is sent 3 log2 N times by "
            "each member (log2 N); the load updates of each of N writers are sent 3 log2 N times by each "
            "member that receives them (N log2 N). The range hashes, one for eight owners, are left out: "
            "they are about 4% of that with 100 and with 200 writers of an eighth of an update per second. "
            "With full frames the remaining entries are pulled, in frames whose number grows with the "
            "writers (1, log2 N, N), up to the number that comparison can start per period (a calculated "
            "upper bound)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "bytes_in",
            "control bytes in",
            "bytes/s",
            ("1", "log2 N", "N log2 N"),
            "the bytes that all members send, less those that links lose",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "datagrams_out",
            "datagrams out",
            "/s",
            ("1", "log2 N"),
            "a probe, its ack, two gossip frames and a comparison per period, whatever the size; further "
            "steps of a comparison where members differ, which they do for as long as an update takes to "
            "spread. With full frames the entries beyond their capacity are pulled, in proportion to the "
            "writers (N)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "datagrams_in",
            "datagrams in",
            "/s",
            ("1", "log2 N"),
            "as datagrams out",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "core",
            "processor of the protocol",
            "core",
            ("1", "N", "N log2 N"),
            "the number of frames per period is fixed (1); root and range hashes are computed over all "
            "owners (N); each entry in a frame is packed, unpacked and either stored or already known "
            "(N log2 N); the gossip queue, which contains the writers' registers for as long as updates "
            "spread, is sorted for each frame (N log2 N, up to "
            f"{node.MAX_QUEUED_ENTRIES}). Nothing in a period iterates over pairs of owners. Once frames are "
            "full, 1, log2 N and N remain",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "reference",
            "processor of the protocol, in reference frames",
            "/s",
            ("1", "N", "N log2 N"),
            "as the processor of the protocol, divided by the time that a full frame took on the machine in "
            "the same run",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "heed_core",
            "processor of reading the registers",
            "core",
            ("1", "N"),
            "all registers are read by kind at each update, four times a second, however rarely they are "
            "written",
        ),
        GrowthModel(
            "control_core",
            "control processor",
            "core",
            ("1", "N", "N log2 N"),
            "the sum of the processor of the protocol and that of reading the registers, for each size",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "memory",
            "control memory",
            "bytes",
            ("1", "1/N", "N"),
            "a copy of each owner's registers, its membership record and its replay window (N); the memory "
            "that the simulating process takes once is divided among its members (1/N)",
        ),
        GrowthModel(
            "idle_bytes_out",
            "bytes out when nothing changes",
            "bytes/s",
            ("1", "log2 N"),
            "probes, acks and one root hash per period",
        ),
        GrowthModel(
            "idle_core",
            "processor when nothing changes",
            "core",
            ("1", "N"),
            "the root hash over all owners, twice per period",
        ),
        GrowthModel(
            "everywhere_p50_s",
            "propagation of a change to all members, median",
            "s",
            ("1", "log2 N"),
            "rounds of gossip (log2 N); with full frames the remaining entries are found by comparison, "
            "eight owners at a time (N)",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "everywhere_p99_s",
            "propagation of a change to all members, 99th percentile",
            "s",
            ("1", "log2 N"),
            "as the median",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "everywhere_worst_s",
            "propagation of a change to all members, maximum",
            "s",
            ("1", "log2 N"),
            "as the median",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "start_bytes",
            "bytes of a start",
            "bytes",
            ("1", "N"),
            "a copy of each owner's registers. With full frames the same terms, and the gossip and pull "
            "replies that arrive in the meantime",
            full_frames_basis=("1", "N"),
        ),
        GrowthModel(
            "start_s",
            "time from a start until caught up",
            "s",
            ("1", "N"),
            "the parts of an owner's entries are pulled one after another, for eight owners at the same "
            "time. With full frames the same terms, while entries written since then are pulled too",
            full_frames_basis=("1", "N"),
        ),
        GrowthModel(
            "load_age_p99_s",
            "age of the loads held, 99th percentile",
            "s",
            ("1", "log2 N"),
            "as the propagation of a change, in addition to the time between two updates of a writer",
            full_frames_basis=("1", "log2 N", "N"),
        ),
        GrowthModel(
            "load_late_p99_s",
            "delay of load updates not yet received, 99th percentile",
            "s",
            ("1", "log2 N"),
            "as the propagation of a change",
            full_frames_basis=("1", "log2 N", "N"),
        ),
    )
}


@dataclass(slots=True, frozen=True)
class Fit:
    """The coefficients of basis functions, none of them negative, and the sizes that they were fitted to."""

    basis: tuple[str, ...]
    coefficients: tuple[float, ...]
    sizes: tuple[float, ...]

    def value_at(self, size: float) -> float:
        """The value of the fit at a size."""
        return sum(
            coefficient * BASIS_FUNCTIONS[name](size)
            for name, coefficient in zip(self.basis, self.coefficients, strict=True)
        )

    def formula_text(self, size: float) -> str:
        """The terms that contribute more than a thousandth of the value at that size."""
        terms = [
            f"{coefficient:.3g} {'' if name == '1' else name}".strip()
            for name, coefficient in zip(self.basis, self.coefficients, strict=True)
            if coefficient * BASIS_FUNCTIONS[name](size) > 1e-3 * self.value_at(size)
        ]
        return " + ".join(terms) or "0"


def fit(sizes: Sequence[float], values: Sequence[float], basis: Sequence[str]) -> Fit:
    """Non-negative least squares of the relative errors.

    The result is exact: of all subsets of the basis whose ordinary least squares solution has no negative
    coefficient, it is the best.  The optimum is one of these, since its positive coefficients solve the
    normal equations of their own subset.
    """
    design = np.array([[BASIS_FUNCTIONS[name](size) for name in basis] for size in sizes], dtype=np.float64)
    measured = np.array(values, dtype=np.float64)
    best = tuple(0.0 for _ in basis)
    if not measured.any():
        return Fit(tuple(basis), best, tuple(sizes))
    # A value of 0 has the weight of the smallest other value
    weights = 1.0 / np.maximum(np.abs(measured), np.min(np.abs(measured[measured != 0.0])))
    smallest_error = float(np.sum((measured * weights) ** 2))
    for term_count in range(1, len(basis) + 1):
        for terms in itertools.combinations(range(len(basis)), term_count):
            columns = design[:, terms] * weights[:, None]
            norm = np.linalg.norm(columns, axis=0)
            solution = np.linalg.lstsq(columns / norm, measured * weights, rcond=None)[0] / norm
            error = float(np.sum((columns @ solution - measured * weights) ** 2))
            if float(np.min(solution)) >= 0.0 and error < smallest_error * (1.0 - 1e-9):
                smallest_error = error
                coefficients = [0.0] * len(basis)
                for index, value in zip(terms, solution, strict=True):
                    coefficients[index] = float(value)
                best = tuple(coefficients)
    return Fit(tuple(basis), best, tuple(sizes))


def enough_sizes(sizes: Sequence[float]) -> bool:
    """Whether there are enough sizes, far enough apart, for a fit."""
    return len(sizes) >= MIN_FIT_SIZES and max(sizes) >= MIN_FIT_SIZE_RATIO * min(sizes)


def row_value(row: Row, quantity: str) -> float | None:
    """A finite number of a row, or None; ``zone_lost.core`` is the ``core`` of the phase ``zone_lost``."""
    phase, _, name = quantity.rpartition(".")
    values = row.get(phase) if phase else row
    value = values.get(name) if isinstance(values, Mapping) else None
    return float(value) if isinstance(value, int | float) and math.isfinite(value) else None


def sizes_and_values(
    rows: Sequence[Row], quantity: str, size_key: str = "members"
) -> tuple[list[float], list[float]]:
    """The sizes and the values of the rows that contain the quantity, ordered by size."""
    pairs = sorted(
        (float(row[size_key]), value) for row in rows if (value := row_value(row, quantity)) is not None
    )
    return [size for size, _ in pairs], [value for _, value in pairs]


def frames_are_full(row: Row, phase_prefix: str = "") -> bool:
    """Whether the frames that were sent in a phase of the run were full on average."""
    bytes_out, frames = (
        row_value(row, f"{phase_prefix}bytes_out"),
        row_value(row, f"{phase_prefix}datagrams_out"),
    )
    return bool(bytes_out and frames) and (bytes_out or 0.0) >= FULL_FRAME_FRACTION * wire.MAX_FRAME_BYTES * (
        frames or 0.0
    )


def phase_prefix_of(quantity: str) -> str:
    """The phase of the run that a quantity belongs to, followed by a dot; "" for an ordinary day."""
    phase = quantity.rpartition(".")[0]
    return f"{phase}." if phase else ""


def first_full_size(rows: Sequence[Row], phase_prefix: str = "") -> float | None:
    """The smallest size whose frames are full; None where no frames are.

    All larger sizes are in that regime too, although the mean frame size falls again because pull requests
    are small.
    """
    return min(
        (float(row["members"]) for row in rows if "members" in row and frames_are_full(row, phase_prefix)),
        default=None,
    )


def select_regime(
    growth_model: GrowthModel, quantity: str, rows: Sequence[Row]
) -> tuple[tuple[str, ...], Sequence[Row]]:
    """The basis and the rows to fit, by whether frames are full at any of the sizes.

    Where they are, the sizes below grow differently: they are left out if the other sizes are enough for a
    fit.
    """
    first_full = first_full_size(rows, phase_prefix_of(quantity))
    if growth_model.full_frames_basis is None or first_full is None:
        return growth_model.basis, rows
    full_rows = [row for row in rows if float(row["members"]) >= first_full]
    return (
        growth_model.full_frames_basis,
        full_rows if enough_sizes(sizes_and_values(full_rows, quantity)[0]) else rows,
    )


def regime_text(first_full: float | None) -> str:
    """The regime of a fit, given the smallest of its sizes with full frames."""
    return "frames not full" if first_full is None else f"full from {format_number(first_full)} on"


@dataclass(slots=True, frozen=True)
class Validation:
    """The prediction for a size that was left out, by a fit of the smaller sizes, and the measured value.

    ``first_full_size`` is the smallest size of the fit with full frames.  ``expected_frame_fill`` is the
    fraction of the frames' capacity that the fits of the smaller sizes predict for the size left out.
    Neither uses the measurements at that size.
    """

    fit: Fit
    size: float
    predicted: float
    measured: float
    first_full_size: float | None = None
    expected_frame_fill: float | None = None

    @property
    def crosses_regimes(self) -> bool:
        """Whether frames are full at a size of the fit, or would be overfull at the size left out."""
        return self.first_full_size is not None or (
            self.expected_frame_fill is not None and self.expected_frame_fill > 1.0
        )

    @property
    def error(self) -> float:
        """The relative error of the prediction, signed."""
        if self.measured == 0.0:
            return 0.0 if abs(self.predicted) < 1e-12 else math.inf
        return self.predicted / self.measured - 1.0

    @property
    def passed(self) -> bool:
        """Whether the error is within the tolerance."""
        return abs(self.error) <= VALIDATION_TOLERANCE_FRACTION


def growth_model_of(quantity: str) -> GrowthModel:
    """The growth model of a quantity, which is the same in all phases of the run."""
    return GROWTH_MODELS[quantity.rpartition(".")[2]]


def fit_quantity(
    growth_model: GrowthModel, rows: Sequence[Row], quantity: str = "", size_key: str = "members"
) -> Fit | None:
    """The fit over all these sizes; None where they are too few or too close to each other."""
    quantity = quantity or growth_model.quantity
    if not enough_sizes(sizes_and_values(rows, quantity, size_key)[0]):
        return None
    basis, selected = select_regime(growth_model, quantity, rows)
    return fit(*sizes_and_values(selected, quantity, size_key), basis)


def expected_frame_fill(rows: Sequence[Row], size: float, phase_prefix: str = "") -> float | None:
    """The fraction of the frames' capacity used at a size, by the fits of the rows; None without fits."""
    bytes_fit, frames_fit = (
        fit_quantity(GROWTH_MODELS[name], rows, phase_prefix + name)
        for name in ("bytes_out", "datagrams_out")
    )
    frames = frames_fit.value_at(size) if frames_fit is not None else 0.0
    return (
        bytes_fit.value_at(size) / (frames * wire.MAX_FRAME_BYTES)
        if bytes_fit is not None and frames > 0.0
        else None
    )


def validations(
    growth_model: GrowthModel, rows: Sequence[Row], quantity: str = "", size_key: str = "members"
) -> list[Validation]:
    """For each size that has enough smaller ones, its prediction by a fit of all of those; by size."""
    quantity, results = quantity or growth_model.quantity, list[Validation]()
    phase_prefix = phase_prefix_of(quantity)
    for size, value in zip(*sizes_and_values(rows, quantity, size_key), strict=True):
        smaller = [row for row in rows if float(row[size_key]) < size]
        smaller_fit = fit_quantity(growth_model, smaller, quantity, size_key)
        if smaller_fit is not None:
            has_regimes = size_key == "members" and growth_model.full_frames_basis is not None
            results.append(
                Validation(
                    smaller_fit,
                    size,
                    smaller_fit.value_at(size),
                    value,
                    first_full_size(smaller, phase_prefix) if has_regimes else None,
                    expected_frame_fill(smaller, size, phase_prefix) if has_regimes else None,
                )
            )
    return results


def validate_largest(
    growth_model: GrowthModel, rows: Sequence[Row], quantity: str = "", size_key: str = "members"
) -> Validation | None:
    """The validation by the largest size; None where the smaller sizes are not enough for a fit."""
    sizes = sizes_and_values(rows, quantity or growth_model.quantity, size_key)[0]
    largest_validations = [
        validation
        for validation in validations(growth_model, rows, quantity, size_key)
        if validation.size == sizes[-1]
    ]
    return largest_validations[0] if largest_validations else None


DATA_PATH_GROWTH_MODELS = {
    growth_model.quantity: growth_model
    for growth_model in (
        GrowthModel(
            "memory",
            "memory with open connections",
            "bytes",
            ("1", "N"),
            "the program itself, and each connection's objects and buffers; N is the number of connections",
        ),
        GrowthModel(
            "line_s",
            "processor time per line",
            "s",
            ("1", "log2 N"),
            "a fixed number of event loop turns and calls; memory that is used more rarely leaves the "
            "caches, level by level",
        ),
        GrowthModel("setup_s", "processor time per setup", "s", ("1", "log2 N"), "as a line"),
    )
}


# -- measurements --------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Measurements:
    """The merged ``rows`` of the committed result files, by form; empty where there is no file."""

    # The simulated network, by load updates that each member writes per second
    series: Mapping[float, Sequence[Row]] = field(default_factory=dict)
    real: Sequence[Row] = ()
    data_path: Sequence[Row] = ()
    runs: Sequence[tuple[str, Mapping[str, Any]]] = ()  # file name and content of each result file

    @property
    def simulated(self) -> Sequence[Row]:
        """The series with the load update rate that is assumed for the target."""
        return self.series.get(assumed_value("register writes per member"), ())


def load_update_rate_of(file_name: str, file: Mapping[str, Any]) -> float:
    """Load updates that each member wrote per second in a run; raises ValueError where it is not a number."""
    workload = file.get("workload")
    rate = workload.get("load_writes") if isinstance(workload, Mapping) else None
    rate = assumed_value("register writes per member") if rate is None else rate
    if isinstance(rate, bool) or not isinstance(rate, int | float) or not math.isfinite(rate):
        raise ValueError(f"{file_name}: workload.load_writes: {rate!r} is not a finite number")
    return float(rate)


def with_control_core(row: Row) -> Row:
    """The row with ``control_core`` added in each phase that contains both of its parts."""
    extended = {
        name: with_control_core(value) if isinstance(value, Mapping) else value for name, value in row.items()
    }
    protocol_core, reading_core = row_value(row, "core"), row_value(row, "heed_core")
    return (
        {**extended, "control_core": protocol_core + reading_core}
        if protocol_core is not None and reading_core is not None
        else extended
    )


def merge_results(files: Sequence[tuple[str, Mapping[str, Any]]]) -> Measurements:
    """Merge result files by form and size, those of the simulated network also by series.

    Within a series, rows of a file whose name sorts later replace those of an earlier one; series are never
    mixed.  Rows marked ``partial``, of sizes whose run did not end, are left out.  Raises ValueError.
    """
    rows: dict[tuple[str, float], dict[float, Row]] = {}
    # Without the suffix, simulated sorts before simulated-2
    runs = sorted(files, key=lambda named_file: named_file[0].removesuffix(".json"))
    forms = "simulated", "real", "data-path"
    for file_name, file in runs:
        form = file.get("form")
        if form not in forms:
            raise ValueError(f"{file_name}: form: {form!r} is not one of {', '.join(forms)}")
        rows_by_size = rows.setdefault(
            (form, load_update_rate_of(file_name, file) if form == "simulated" else 0.0), {}
        )
        size_key = "connections" if form == "data-path" else "members"
        for row in file.get("rows", ()):
            if not isinstance(row, Mapping) or not isinstance(row.get(size_key), int | float):
                raise ValueError(f"{file_name}: a row has no number for {size_key}")
            if not row.get("partial"):
                rows_by_size[float(row[size_key])] = with_control_core(row)
    ordered = {key: [row for _, row in sorted(by_size.items())] for key, by_size in rows.items()}
    return Measurements(
        {rate: series_rows for (form, rate), series_rows in sorted(ordered.items()) if form == "simulated"},
        ordered.get(("real", 0.0), ()),
        ordered.get(("data-path", 0.0), ()),
        runs,
    )


PERIOD_S = 0.2  # of the protocol, as `Node` has it by default
DAY_S = 86_400.0


# -- limits of the code --------------------------------------------------------------------------------------


def range_hashes_frame_bytes(owners: int) -> int:
    """Bytes of the frame with the range hashes of all owners, with names as long as the platform's."""
    count = 1 << max(0, math.ceil(math.log2(max(1, owners / store.OWNERS_PER_RANGE))))
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


def transmissions_per_entry(fleet_size: float) -> float:
    """How often each member sends each entry, which is about how often each member receives it."""
    return members.RETRANSMIT_FACTOR * math.log2(max(2.0, fleet_size))


# The smallest number of owners whose range hashes exceed a frame, so that comparison no longer works
RANGE_HASHES_OVERFLOW_OWNERS = next(
    owners for owners in itertools.count(8) if range_hashes_frame_bytes(owners) > wire.MAX_FRAME_BYTES
)


def lease_request_bytes(others: int, letters: int = 13) -> int:
    """Bytes of a lease request register that lists ``others`` members with names of ``letters`` letters."""
    holdings = {f"{number:0{letters}}": Holding(0.0, 0, 1_700_000_000_000) for number in range(others)}
    return len(registers.pack(LeaseRequest(1, 10.0, 0.0, holdings)))


def lease_request_overflow_members(letters: int = 13) -> int:
    """The smallest fleet in which ``net/fleet.py`` drops lease requests, as they exceed a register value."""
    return next(
        count
        for count in itertools.count(2)
        if lease_request_bytes(count - 1, letters) > store.MAX_VALUE_BYTES
    )


# Upper bound on the frames that a member sends per period, as the mean over all members and without indirect
# probes: a ping and an ack, the gossip, a root hash.  Its receiver answers with range hashes, which are
# answered with a version vector, and that with another one.  Each of the two version vectors that a member
# receives in this way can start MAX_PULLS pulls: as many requests, and as many replies to others' requests
MAX_FRAMES_PER_PERIOD = 2 + node.GOSSIP_FANOUT + 1 + 1 + 2 + 2 * node.MAX_PULLS + 2 * node.MAX_PULLS


def max_bytes_per_s(owners: int) -> float:
    """Upper bound on the bytes a member sends per second, if range hashes of any length were accepted."""
    return (
        MAX_FRAMES_PER_PERIOD * wire.MAX_FRAME_BYTES
        + max(0, range_hashes_frame_bytes(owners) - wire.MAX_FRAME_BYTES)
    ) / PERIOD_S


def full_gossip_bytes_per_s(fleet_size: float, writes_per_s: float, entry_bytes: float) -> float:
    """Bytes per second that each member has to send so that gossip carries the writes of all members.

    ``writes_per_s`` are those of each member.  Entries that do not fit the frames stay in the gossip queue
    and are shed.
    """
    return fleet_size * writes_per_s * entry_bytes * transmissions_per_entry(fleet_size)


# -- formatting ----------------------------------------------------------------------------------------------

NOT_MEASURED = "not measured"
NOT_FITTED = "not fitted"


def format_number(value: float) -> str:
    """Three significant digits with thousands separators; whole numbers below a million in full."""
    if not math.isfinite(value):
        return "unbounded"
    if value == int(value) and abs(value) < 1e6:
        return f"{int(value):,}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else f"{float(f'{value:.3g}'):,.0f}"


def format_value(value: float | None, unit: str) -> str:
    """A value with its unit, scaled by powers of a thousand."""
    if value is None:
        return NOT_MEASURED
    if unit in ("bytes", "bytes/s"):
        for scale, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= scale:
                return f"{format_number(value / scale)} {name}{unit[5:]}"
    if unit == "s" and 0.0 < abs(value) < 1.0:
        return (
            f"{format_number(1e3 * value)} ms" if abs(value) >= 1e-3 else f"{format_number(1e6 * value)} us"
        )
    if unit == "core":
        return f"{format_number(value)} core" + ("s" if value > 1.0 else "")
    return f"{format_number(value)}{'' if unit.startswith('/') or not unit else ' '}{unit}"


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


# -- estimates -----------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Estimate:
    """The value of a quantity at the target size, or the reason why there is none."""

    value: float | None
    fit: Fit | None
    validation: Validation | None
    sizes: tuple[float, ...]  # the measured sizes
    extrapolation_factor: float | None  # the target size over the largest measured size
    missing_reason: str  # "" where there is a value
    capped: bool = False  # the value is the upper bound of the code in place of the fit's
    past_bound: bool = False  # a limit of the code lies between the measured sizes and the target
    # Largest fleet whose frames are not full, by the fits of the series; None where the target is within it
    regime_end: int | None = None

    @property
    def status_text(self) -> str:
        """The result of the validation, and the limits that the value exceeds."""
        if self.value is None:
            return self.missing_reason
        text = "not tested" if self.validation is None else "passed" if self.validation.passed else "FAILED"
        text += (
            " across the change of regime"
            if self.validation is not None and self.validation.crosses_regimes
            else ""
        )
        text += "; capped at the calculated capacity of the frames" if self.capped else ""
        text += (
            f"; beyond its regime, which ends at {format_number(self.regime_end)} members by the fit"
            if self.regime_end
            else ""
        )
        return text + ("; beyond a limit of the code" if self.past_bound else "")

    def text(self, unit: str) -> str:
        """The value with its unit, or the reason why there is none."""
        if self.value is None:
            return self.missing_reason
        return format_value(self.value, unit) + (", calculated upper bound" if self.capped else "")


# Upper bounds that the code sets to quantities, by the number of owners
UPPER_BOUNDS: dict[str, Callable[[int], float]] = {
    "bytes_out": max_bytes_per_s,
    "bytes_in": max_bytes_per_s,
    "datagrams_out": lambda owners: MAX_FRAMES_PER_PERIOD / PERIOD_S,
    "datagrams_in": lambda owners: MAX_FRAMES_PER_PERIOD / PERIOD_S,
}


def upper_bound(quantity: str, size: float) -> float:
    """The largest value that the code allows at a size; infinite where it sets no bound."""
    return UPPER_BOUNDS[quantity](int(size)) if quantity in UPPER_BOUNDS else math.inf


def estimate(
    growth_model: GrowthModel,
    rows: Sequence[Row],
    target_size: float,
    quantity: str = "",
    size_key: str = "members",
) -> Estimate:
    """The quantity at a size, by the fit over all measured sizes.

    Where the series has reached full frames, a quantity that is limited by the frames gets its calculated
    upper bound: the growth before that does not continue, and the growth after it ends there.
    """
    quantity = quantity or growth_model.quantity
    sizes = tuple(sizes_and_values(rows, quantity, size_key)[0])
    fit_of_all = fit_quantity(growth_model, rows, quantity, size_key)
    missing_reason = "" if fit_of_all is not None else NOT_FITTED if sizes else NOT_MEASURED
    value = fit_of_all.value_at(target_size) if fit_of_all is not None else None
    bound = upper_bound(growth_model.quantity, target_size)
    validation, factor = (
        validate_largest(growth_model, rows, quantity, size_key),
        target_size / sizes[-1] if sizes else None,
    )
    if value is None:
        return Estimate(None, fit_of_all, validation, sizes, factor, missing_reason)
    capped = value > bound or (
        math.isfinite(bound) and first_full_size(rows, phase_prefix_of(quantity)) is not None
    )
    return Estimate(bound if capped else value, fit_of_all, validation, sizes, factor, missing_reason, capped)


# -- growth while frames are not full ------------------------------------------------------------------------


def fit_below_full_frames(growth_model: GrowthModel, rows: Sequence[Row]) -> Fit | None:
    """The fit over the sizes whose frames are not full; None where they are too few or too close."""
    first_full = first_full_size(rows)
    not_full = [row for row in rows if first_full is None or float(row["members"]) < first_full]
    sizes, values = sizes_and_values(not_full, growth_model.quantity)
    return fit(sizes, values, growth_model.basis) if enough_sizes(sizes) else None


def scale_to_update_rate(base: Fit, rate_factor: float) -> Fit:
    """The fit for a rate of load updates that is ``rate_factor`` times as high.

    The cost of load updates is the term N log2 N, which is proportional to their rate; the other terms do not
    depend on it.  The memory that the simulating process takes once (1/N) is not a cost of a member and is
    left out.
    """
    factors = {"N log2 N": rate_factor, "1/N": 0.0}
    return replace(
        base,
        coefficients=tuple(
            coefficient * factors.get(name, 1.0)
            for name, coefficient in zip(base.basis, base.coefficients, strict=True)
        ),
    )


def sum_of_fits(first: Fit, second: Fit) -> Fit:
    """The fit whose value at each size is the sum of both."""
    names = tuple(dict.fromkeys((*first.basis, *second.basis)))
    coefficients = [dict(zip(part.basis, part.coefficients, strict=True)) for part in (first, second)]
    return Fit(
        names,
        tuple(sum(by_name.get(name, 0.0) for by_name in coefficients) for name in names),
        tuple(sorted({*first.sizes, *second.sizes})),
    )


MAX_FLEET_MEMBERS = 10_000_000  # upper limit of the searches for the largest fleet


def largest_fleet_below_full_frames(bytes_fit: Fit, frames_fit: Fit) -> int:
    """The largest fleet whose bytes fit its frames, by the fits of bytes and datagrams sent."""
    low = 2
    high = MAX_FLEET_MEMBERS
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (
            (middle, high)
            if bytes_fit.value_at(middle) <= frames_fit.value_at(middle) * wire.MAX_FRAME_BYTES
            else (low, middle)
        )
    return low


def largest_fleet_within(cost_fit: Fit, budget: float) -> int:
    """The largest fleet whose cost is within the budget; 0 where two members exceed it."""
    if cost_fit.value_at(2) > budget:
        return 0
    low = 2
    high = MAX_FLEET_MEMBERS
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if cost_fit.value_at(middle) <= budget else (low, middle)
    return low


# -- budgets -------------------------------------------------------------------------------------------------

PHASE_TITLES = {
    "": "an ordinary day",
    "burst.": "a burst of changes",
    "zone_lost.": "a zone lost",
    "region_cut.": "the regions partitioned",
}
CONTROL_BUDGETS = {
    "bytes_out": "control bytes",
    "bytes_in": "control bytes",
    "control_core": "control core",
    "memory": "control memory",
    "zone_lost.bytes_out": "control bytes",
    "zone_lost.bytes_in": "control bytes",
    "zone_lost.control_core": "control core",
    "everywhere_p99_s": "configuration propagation time",
    "burst.everywhere_p99_s": "configuration propagation time",
    "zone_lost.everywhere_p99_s": "configuration propagation time",
}


def budget_verdict(budget_ratio: float) -> str:
    """Whether a figure is within its budget, given the figure divided by the budget."""
    if budget_ratio <= 1.0:
        return f"within budget, {format_number(budget_ratio)} of it"
    return (
        f"**{format_number(budget_ratio)} times the budget**"
        if math.isfinite(budget_ratio)
        else "**over budget: none is allowed**"
    )


def total_false_deaths(row: Row) -> float | None:
    """Members that were falsely declared dead, over all phases of a run."""
    if (total := row_value(row, "false_deaths_all")) is not None:
        return total
    by_phase = [
        value for phase in PHASE_TITLES if (value := row_value(row, f"{phase}false_deaths")) is not None
    ]
    return sum(by_phase) if by_phase else None


class Model:
    """The measurements and the target; all figures are per balancer."""

    def __init__(self, measurements: Measurements) -> None:
        self.measurements = measurements
        self.load_update_rate = assumed_value("register writes per member")
        # The lowest rate that was measured; None where none is below the rate assumed for the target
        self.slowest_load_update_rate = min(
            (rate for rate in measurements.series if rate < self.load_update_rate), default=None
        )
        self.balancers = target_value("balancers")
        self.balancers_per_zone = self.balancers / target_value("zones")
        self.connections = target_value("connections") / self.balancers
        self.lines_per_s = target_value("deliveries") / self.balancers
        self.connections_zone_lost = target_value("connections") / (self.balancers - self.balancers_per_zone)
        self.lines_per_s_zone_lost = target_value("deliveries") / (self.balancers - self.balancers_per_zone)

    def control_estimate(self, quantity: str, load_update_rate: float | None = None) -> Estimate:
        """A quantity of control at the target's number of balancers; ``zone_lost.core`` is one of a phase.

        ``load_update_rate`` selects the series; by default it is the target's.  Reading the registers costs
        the same however rarely they are written: in a series without that measurement, the control processor
        is the sum of the series' processor of the protocol and the reading in the target's series.
        """
        rows = self.measurements.series.get(
            self.load_update_rate if load_update_rate is None else load_update_rate, ()
        )
        result = estimate(growth_model_of(quantity), rows, self.balancers, quantity)
        if quantity == "control_core" and result.value is None:
            protocol, reading = (
                estimate(GROWTH_MODELS["core"], rows, self.balancers),
                self.control_estimate("heed_core") if rows else result,
            )
            if protocol.value is not None and reading.value is not None:
                worse_validation = max(
                    (part.validation for part in (protocol, reading) if part.validation is not None),
                    key=lambda validation: abs(validation.error),
                    default=None,
                )
                result = replace(
                    protocol, value=protocol.value + reading.value, validation=worse_validation, fit=None
                )
        regime_end = None
        if (
            growth_model_of(quantity).full_frames_basis is not None
            and not result.capped
            and first_full_size(rows, phase_prefix_of(quantity)) is None
        ):
            bytes_fit, frames_fit = (
                fit_below_full_frames(GROWTH_MODELS["bytes_out"], rows),
                fit_below_full_frames(GROWTH_MODELS["datagrams_out"], rows),
            )
            if (
                bytes_fit is not None
                and frames_fit is not None
                and bytes_fit.value_at(self.balancers)
                > frames_fit.value_at(self.balancers) * wire.MAX_FRAME_BYTES
            ):
                regime_end = largest_fleet_below_full_frames(bytes_fit, frames_fit)
        return replace(
            result,
            past_bound=bool(result.sizes)
            and result.sizes[-1] < RANGE_HASHES_OVERFLOW_OWNERS <= self.balancers,
            regime_end=regime_end,
        )

    def fit_below_full_frames(self, quantity: str) -> Fit | None:
        """The fit of the slowest series while frames are not full; reading counts as control processor."""
        rows = (
            self.measurements.series.get(self.slowest_load_update_rate, ())
            if self.slowest_load_update_rate is not None
            else ()
        )
        if quantity == "control_core":
            protocol, reading = (
                fit_below_full_frames(GROWTH_MODELS["core"], rows),
                fit_quantity(GROWTH_MODELS["heed_core"], self.measurements.simulated),
            )
            return sum_of_fits(protocol, reading) if protocol is not None and reading is not None else None
        return fit_below_full_frames(GROWTH_MODELS[quantity], rows)

    def regime_end(self, load_update_rate: float) -> int | None:
        """The largest fleet without full frames at that rate, by the fits of the slowest series."""
        bytes_fit, frames_fit = (
            self.fit_below_full_frames("bytes_out"),
            self.fit_below_full_frames("datagrams_out"),
        )
        if bytes_fit is None or frames_fit is None or not self.slowest_load_update_rate:
            return None
        return largest_fleet_below_full_frames(
            scale_to_update_rate(bytes_fit, load_update_rate / self.slowest_load_update_rate), frames_fit
        )

    def data_path_estimate(self, quantity: str, connections: float) -> Estimate:
        """A quantity of the data path at a number of connections."""
        return estimate(
            DATA_PATH_GROWTH_MODELS[quantity],
            self.measurements.data_path,
            connections,
            size_key="connections",
        )

    def day_scenarios(self) -> tuple[tuple[str, float, float], ...]:
        """The kinds of day, each with its connections and lines per second."""
        return (
            ("an ordinary day", self.connections, self.lines_per_s),
            ("a zone lost", self.connections_zone_lost, self.lines_per_s_zone_lost),
        )
