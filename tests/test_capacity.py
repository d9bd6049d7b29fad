"""The capacity page: its model, its tables, its command (snowwick/lab/capacity*.py)."""

from __future__ import annotations

import json
import math
import re
from pathlib import Path
from typing import Any

import pytest

from benchmarks import scale
from snowwick.fleet import store, wire
from snowwick.lab import capacity, capacity_model
from snowwick.lab.capacity_model import (
    BASIS_FUNCTIONS,
    DATA_PATH_GROWTH_MODELS,
    GROWTH_MODELS,
    RANGE_HASHES_OVERFLOW_OWNERS,
    GrowthModel,
    Model,
    budget_verdict,
    estimate,
    fit,
    fit_quantity,
    format_number,
    format_value,
    max_bytes_per_s,
    merge_results,
    range_hashes_frame_bytes,
    validate_largest,
)
from snowwick.lab.capacity_tables import TABLES, BadPage, render

ROOT = Path(__file__).parent.parent
SIZES = (8, 16, 32, 64, 128, 256)
EMPTY = "".join(f"text\n\n<!-- {name} -->\n<!-- end of {name} -->\n" for name in TABLES)


def grown(quantity: str, n: float, *coefficients: float) -> float:
    """A value that follows the quantity's own form."""
    return sum(
        c * BASIS_FUNCTIONS[name](n)
        for c, name in zip(coefficients, GROWTH_MODELS[quantity].basis, strict=True)
    )


def row(n: int, **other: Any) -> dict[str, Any]:
    """A row as the simulated network's run writes them; what it has not is not measured."""
    return {
        "members": n,
        "bytes_out": grown("bytes_out", n, 900.0, 2.0, 0.5),
        "bytes_in": 900.0 + 2.0 * n,
        "datagrams_out": 30.0,
        "core": grown("core", n, 0.01, 1e-5, 0.0),
        "heed_core": 1e-4 * n,
        "memory": grown("memory", n, 2e6, 0.0, 3000.0),
        "everywhere_p99_s": 0.2 * math.log2(n),
        "false_deaths": 0,
        **other,
    }


def simulated(rows: list[dict[str, Any]], **other: Any) -> dict[str, Any]:
    return {
        "form": "simulated",
        "command": "python -m snowwick.lab.scale_simulated",
        "date": "2026-12-02",
        "machine": {"cores": 8, "memory_bytes": 23e9, "python": "3.11"},
        "workload": {},
        "rows": rows,
        "complete": True,
        "ended": "done",
        **other,
    }


def path_rows() -> list[dict[str, Any]]:
    return [
        {
            "connections": n,
            "memory": 2e7 + 5000.0 * n,
            "pss": 2e7,
            "line_s": 1e-4 + 1e-5 * math.log2(n),
            "line_reference": 40.0,
            "setup_s": 1e-3,
            "lines": 1000,
            "lines_a_second": 1000.0,
        }
        for n in SIZES
    ]


def put(folder: Path, **files: dict[str, Any]) -> Path:
    for name, file in files.items():
        (folder / f"{name.replace('_', '-')}.json").write_text(json.dumps(file))
    return folder


def lines_of(page: str, name: str) -> list[str]:
    return page.split(f"<!-- {name} -->\n")[1].split(f"<!-- end of {name} -->")[0].splitlines()


# -- the fit -------------------------------------------------------------------------------------------------


def test_fit_recovers_slopes() -> None:
    values = [900.0 + 2.0 * n + 0.5 * n * math.log2(n) for n in SIZES]
    found = fit(SIZES, values, ("1", "N", "N log2 N")).coefficients
    assert found == pytest.approx((900.0, 2.0, 0.5), rel=1e-6)


def test_fit_recovers_each_basis_alone_among_all() -> None:
    for at, name in enumerate(BASIS_FUNCTIONS):
        found = fit(
            SIZES, [7.0 * BASIS_FUNCTIONS[name](n) for n in SIZES], tuple(BASIS_FUNCTIONS)
        ).coefficients
        assert found[at] == pytest.approx(7.0, rel=1e-6)
        assert sum(found) == pytest.approx(7.0, rel=1e-6)


def test_fit_has_no_negative_coefficient() -> None:
    one = fit(SIZES, [1000.0 / n for n in SIZES], ("1", "N"))  # plain least squares would slope down
    assert min(one.coefficients) >= 0.0 and one.coefficients[1] == 0.0


def test_fit_weighs_relative_errors() -> None:
    # Ten percent off at the smallest size counts as much as ten at the largest.
    one = fit((1, 1000), (1.1, 900.0), ("N",))
    assert one.coefficients[0] == pytest.approx(1.0, rel=0.02)


def test_fit_of_zeros_is_zero() -> None:
    assert fit(SIZES, [0.0] * len(SIZES), ("1", "N")).value_at(5700) == 0.0


# -- the model can fail --------------------------------------------------------------------------------------


LINEAR = GrowthModel("memory", "memory", "bytes", ("1", "N"), "for the test")


def test_left_out_is_predicted_by_the_smaller_sizes_alone() -> None:
    rows = [{"members": n, "memory": 100.0 + n} for n in SIZES]
    one = validate_largest(LINEAR, rows)
    assert one is not None and one.size == 256 and one.fit.sizes == SIZES[:-1]
    assert one.passed and one.error == pytest.approx(0.0, abs=1e-9)
    rows[-1]["memory"] *= 2.0  # what is left out changes nothing in its prediction
    other = validate_largest(LINEAR, rows)
    assert other is not None and other.predicted == pytest.approx(one.predicted) and not other.passed


@pytest.mark.parametrize(("off", "held"), [(1.10, True), (0.90, True), (1.25, False), (0.80, False)])
def test_left_out_holds_within_fifteen_percent(off: float, held: bool) -> None:
    rows = [{"members": n, "memory": 100.0 + n} for n in SIZES]
    rows[-1]["memory"] /= off
    one = validate_largest(LINEAR, rows)
    assert one is not None and one.error == pytest.approx(off - 1.0) and one.passed is held


def test_superlinear_series_misses_and_the_page_says_so(tmp_path: Path) -> None:
    rows = [row(n, memory=10.0 * n**2) for n in SIZES]
    one = validate_largest(GROWTH_MODELS["memory"], rows)
    assert one is not None and one.error < -0.15
    page = render(EMPTY, merge_results([("simulated.json", simulated(rows))]))
    (line,) = [line for line in lines_of(page, "left-out") if line.startswith("| control memory")]
    assert "MISSED" in line and f"{100.0 * one.error:+.1f}%" in line
    assert "655 KB" in line  # measured: 10 x 256 x 256 bytes
    (line,) = [line for line in lines_of(page, "glance") if line.startswith("| control memory")]
    assert "MISSED" in line
    (line,) = [line for line in lines_of(page, "left-out") if line.startswith("| processor of the protocol")]
    assert "held" in line and "MISSED" not in line


@pytest.mark.parametrize("sizes", [(8, 16, 32, 64, 100), (8, 16, 32, 200), (8, 128, 256)])
def test_too_few_sizes_or_too_near_are_not_tested(sizes: tuple[int, ...]) -> None:
    assert validate_largest(LINEAR, [{"members": n, "memory": 100.0 + n} for n in sizes]) is None


def test_fewer_than_four_sizes_are_not_fitted() -> None:
    rows = [{"members": n, "memory": 100.0 + n} for n in (8, 64, 256)]
    one = estimate(LINEAR, rows, 5700)
    assert one.value is None and one.status_text == "not fitted" and fit_quantity(LINEAR, rows) is None


def test_estimate_is_of_all_sizes_and_says_how_far() -> None:
    one = estimate(LINEAR, [{"members": n, "memory": 100.0 + n} for n in SIZES], 5700)
    assert one.value == pytest.approx(5800.0) and one.fit is not None and one.fit.sizes == SIZES
    assert one.extrapolation_factor == pytest.approx(5700 / 256) and one.status_text == "held"


def test_sizes_with_full_frames_are_fitted_apart() -> None:
    # Frames fill from 16 members on; what is under that grew by another law.
    full = 30.0 * wire.MAX_FRAME_BYTES
    sizes = (4, 8, 16, 32, 64, 128, 256, 512)
    rows = [row(n, bytes_out=full if n >= 16 else full * n / 16.0) for n in sizes]
    one = fit_quantity(GROWTH_MODELS["bytes_out"], rows)
    assert one is not None and one.sizes == sizes[2:] and one.value_at(5700) == pytest.approx(full)
    assert one.basis == GROWTH_MODELS["bytes_out"].full_frames_basis


def test_whether_frames_are_full_is_not_read_from_the_size_left_out() -> None:
    rows = [row(n, bytes_out=1000.0) for n in SIZES]
    rows[-1]["bytes_out"] = 30.0 * wire.MAX_FRAME_BYTES
    one = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert one is not None and one.fit.basis == GROWTH_MODELS["bytes_out"].basis and not one.passed


def test_every_form_is_of_the_basis_and_has_a_reason() -> None:
    for form in (*GROWTH_MODELS.values(), *DATA_PATH_GROWTH_MODELS.values()):
        assert (
            {*form.basis, *(form.full_frames_basis or ())} <= BASIS_FUNCTIONS.keys()
            and form.reason
            and form.title
        )


# -- series and regimes --------------------------------------------------------------------------------------


def test_series_are_merged_by_size_and_never_mixed() -> None:
    slow = {"load_writes": 0.125}
    found = merge_results(
        [
            ("simulated.json", simulated([row(8, core=1.0), row(16, core=2.0)])),
            ("simulated-slow.json", simulated([row(8, core=3.0), row(32, core=4.0)], workload=slow)),
            ("simulated-slow-2.json", simulated([row(8, core=5.0)], workload=slow)),
            ("simulated-same.json", simulated([row(16, core=6.0)], workload={"load_writes": 1.0})),
        ]
    )
    assert {
        writes: [(one["members"], one["core"]) for one in rows] for writes, rows in found.series.items()
    } == {0.125: [(8, 5.0), (32, 4.0)], 1.0: [(8, 1.0), (16, 6.0)]}
    assert found.simulated == found.series[1.0]


@pytest.mark.parametrize("rate", ["1", True, math.inf])
def test_a_rate_that_is_no_number_is_refused(rate: object) -> None:
    with pytest.raises(ValueError, match=r"simulated\.json: workload\.load_writes"):
        merge_results([("simulated.json", simulated([row(8)], workload={"load_writes": rate}))])


def test_a_series_alone_is_not_the_target_s() -> None:
    slow = merge_results(
        [("simulated.json", simulated([row(n) for n in SIZES], workload={"load_writes": 0.125}))]
    )
    model = Model(slow)
    assert slow.simulated == () and model.slowest_load_rate == 0.125
    assert (
        model.control_estimate("memory").missing_reason == "not measured"
        and model.control_estimate("memory", 0.125).value is not None
    )


def test_each_size_with_enough_under_it_is_left_out_once() -> None:
    rows: list[dict[str, Any]] = [{"members": n, "memory": 100.0 + n} for n in SIZES]
    rows.append({"members": 512, "memory": 2000.0})
    found = capacity_model.validations(LINEAR, rows)
    assert [(one.size, one.fit.sizes, one.passed) for one in found] == [
        (256, SIZES[:-1], True),
        (512, SIZES, False),
    ]


def test_all_sizes_from_the_first_full_one_are_in_that_regime() -> None:
    # The frames that ask for pieces are small, so that the mean falls again under what counts as full.
    rows = [
        row(8),
        row(16, bytes_out=25.0 * wire.MAX_FRAME_BYTES),
        row(32, bytes_out=18.0 * wire.MAX_FRAME_BYTES),
    ]
    assert capacity_model.first_full_size(rows) == 16 and capacity_model.first_full_size(rows[:1]) is None
    assert capacity_model.regime_text(16.0) == "full from 16 on"
    assert capacity_model.regime_text(None) == "frames not full"


def regimes() -> list[dict[str, Any]]:
    """Frames not full, by the law, up to 128 members; at 256 far less than it says."""
    rows = [row(n, bytes_out=grown("bytes_out", n, 900.0, 50.0, 30.0)) for n in SIZES]
    rows[-1]["bytes_out"] /= 2.0
    return rows


def test_across_is_read_from_the_fit_alone() -> None:
    rows = regimes()
    one = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert one is not None and one.first_full_size is None and one.crosses_regimes and not one.passed
    assert one.expected_frame_fill == pytest.approx(
        grown("bytes_out", 256, 900.0, 50.0, 30.0) / (30.0 * wire.MAX_FRAME_BYTES)
    )
    rows[-1]["bytes_out"] = 1.0  # what is left out decides neither where it stands nor what is predicted
    other = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert (
        other is not None and other.crosses_regimes and other.expected_frame_fill == one.expected_frame_fill
    )
    for sent in (1.0, 1e9):
        inside = [row(n) for n in SIZES[:-1]] + [row(256, bytes_out=sent)]
        one = validate_largest(GROWTH_MODELS["bytes_out"], inside)
        assert one is not None and not one.crosses_regimes and not one.passed


def test_what_missed_across_the_change_has_a_table_of_its_own_and_stays_on_the_page() -> None:
    page = render(EMPTY, merge_results([("simulated.json", simulated(regimes()))]))
    (line,) = [line for line in lines_of(page, "across") if line.startswith("| control bytes out")]
    assert "| 1/s | frames not full | 8, 16, 32, 64, 128 | 256 members |" in line and "MISSED" in line
    (line,) = [line for line in lines_of(page, "left-out") if line.startswith("| control bytes out")]
    assert "across the change of regime: below" in line and "held" not in line
    (line,) = [line for line in lines_of(page, "left-out") if line.startswith("| control memory")]
    assert "either, one law" in line and "| held |" in line


def test_what_is_said_of_a_figure_names_a_test_across_the_change() -> None:
    model = Model(merge_results([("simulated.json", simulated(regimes()))]))
    assert model.control_estimate("bytes_out").status_text.startswith("MISSED across the change of regime")
    assert model.control_estimate("core").status_text.startswith("held across the change of regime")
    assert model.control_estimate("memory").status_text.startswith("held; ")


def test_a_miss_within_a_regime_stays_in_the_first_table() -> None:
    rows = [row(n) for n in SIZES]
    rows[-1]["bytes_out"] *= 1.5
    page = render(EMPTY, merge_results([("simulated.json", simulated(rows))]))
    (line,) = [line for line in lines_of(page, "left-out") if line.startswith("| control bytes out")]
    assert "frames not full" in line and "MISSED" in line
    assert lines_of(page, "across")[2].startswith("| none |")


def test_a_series_with_full_frames_has_the_counted_ceiling_at_the_target() -> None:
    rows = [row(n, bytes_out=min(n * 600.0, 30.0 * wire.MAX_FRAME_BYTES)) for n in SIZES]
    model = Model(merge_results([("simulated.json", simulated(rows))]))
    one = model.control_estimate("bytes_out")
    assert one.capped and one.value == max_bytes_per_s(5700) and not model.control_estimate("memory").capped
    page = render(EMPTY, model.measurements)
    (line,) = [line for line in lines_of(page, "glance") if line.startswith("| control bytes out |")]
    assert "320 KB/s, counted ceiling" in line


def two_series(heed: float | None = 1e-4) -> Model:
    """The rare series by the law, and the target's rate with 8 times what goes with the rate."""
    rare = [
        row(
            n,
            bytes_out=grown("bytes_out", n, 900.0, 50.0, 3.0),
            heed_core=None,
            core=grown("core", n, 0.001, 1e-5, 1e-6),
        )
        for n in SIZES
    ]
    often = [
        row(
            n,
            bytes_out=grown("bytes_out", n, 900.0, 50.0, 24.0),
            core=grown("core", n, 0.001, 1e-5, 8e-6),
            heed_core=heed and heed * n,
        )
        for n in SIZES
    ]
    return Model(
        merge_results(
            [
                ("simulated.json", simulated(often)),
                ("simulated-slow.json", simulated(rare, workload={"load_writes": 0.125})),
            ]
        )
    )


def test_largest_fleet_within_a_budget() -> None:
    one = fit(SIZES, [100.0 + n for n in SIZES], ("1", "N"))
    assert (
        capacity_model.largest_fleet_within(one, 1100.0) in (999, 1000)
        and capacity_model.largest_fleet_within(one, 101.0) == 0
    )
    by = capacity_model.scale_to_load_rate(
        fit(SIZES, [1.0 + n + 3.0 * n * math.log2(n) for n in SIZES], ("1", "N", "N log2 N")), 8.0
    )
    assert by.value_at(64) == pytest.approx(1.0 + 64.0 + 24.0 * 64.0 * 6.0)


def test_what_a_budget_allows_follows_the_rate() -> None:
    model = two_series()
    page = render(EMPTY, model.measurements)
    (line,) = [line for line in lines_of(page, "allowed") if line.startswith("| control bytes out")]
    law = model.fit_below_full_frames("bytes_out")
    assert law is not None
    for writes, times in ((1.0, 8.0), (0.125, 1.0)):
        fleet = capacity_model.largest_fleet_within(capacity_model.scale_to_load_rate(law, times), 21e3)
        assert (
            grown("bytes_out", fleet, 900.0, 50.0, 3.0 * times)
            <= 21e3
            < grown("bytes_out", fleet + 1, 900.0, 50.0, 3.0 * times)
        ), writes
        assert f"| {format_number(fleet)} members" in line
    over = min(n for n in SIZES if grown("bytes_out", n, 900.0, 50.0, 24.0) > 21e3)
    assert f"| within to {over // 2}, over at {over} |" in line
    needs = [format_value(grown("bytes_out", 5700, 900.0, 50.0, slope), "bytes/s") for slope in (24.0, 3.0)]
    assert " and ".join(needs) in line and line.endswith("| 320 KB/s |")


def test_the_law_ends_where_its_own_frames_are_full() -> None:
    model = two_series()  # 30 frames a second
    for writes, slope in ((1.0, 24.0), (0.125, 3.0)):
        ends = model.regime_end(writes)
        assert ends is not None and grown(
            "bytes_out", ends, 900.0, 50.0, slope
        ) <= 30.0 * wire.MAX_FRAME_BYTES < grown("bytes_out", ends + 1, 900.0, 50.0, slope)
    one = model.control_estimate("everywhere_p99_s", 0.125)
    assert one.regime_end == model.regime_end(0.125) and "past its regime" in one.status_text
    assert (
        model.control_estimate("memory", 0.125).regime_end is None
        and model.control_estimate("idle_bytes_out", 0.125).regime_end is None
    )
    page = render(EMPTY, model.measurements)
    (line,) = [line for line in lines_of(page, "allowed") if line.startswith("| a change everywhere")]
    assert (
        f"| {format_number(model.regime_end(0.125) or 0)} members, where frames are full and the law ends |"
        in line
    )
    full = [
        {**one, "burst": {**one, "everywhere_p99_s": 0.1 * math.log2(one["members"])}}
        for one in model.measurements.series[0.125]
    ]
    full.append(row(512, bytes_out=30.0 * wire.MAX_FRAME_BYTES, burst=row(512, everywhere_p99_s=0.9)))
    both = Model(merge_results([("simulated.json", simulated(full, workload={"load_writes": 0.125}))]))
    assert both.control_estimate("everywhere_p99_s", 0.125).regime_end is None
    assert both.control_estimate("burst.everywhere_p99_s", 0.125).regime_end == model.regime_end(
        0.125
    )  # its own frames were not full
    few = Model(merge_results([("simulated.json", simulated([row(n, bytes_out=2000.0) for n in SIZES]))]))
    assert (
        few.control_estimate("everywhere_p99_s").regime_end is None
    )  # frames have room for it at the target


def test_the_law_of_the_rare_series_is_tried_at_the_target_s_rate() -> None:
    page = render(EMPTY, two_series().measurements)
    found = [line for line in lines_of(page, "by-rate") if line.startswith("| control bytes out")]
    assert found and all("| held |" in line for line in found)
    rows = [row(n, bytes_out=grown("bytes_out", n, 900.0, 50.0, 36.0)) for n in SIZES]
    rare = [row(n, bytes_out=grown("bytes_out", n, 900.0, 50.0, 3.0)) for n in SIZES]
    model = Model(
        merge_results(
            [
                ("simulated.json", simulated(rows)),
                ("simulated-slow.json", simulated(rare, workload={"load_writes": 0.125})),
            ]
        )
    )
    found = [
        line
        for line in lines_of(render(EMPTY, model.measurements), "by-rate")
        if line.startswith("| control bytes out")
    ]
    assert any("MISSED" in line for line in found)


def test_the_control_processor_of_a_series_without_reading_takes_the_target_s() -> None:
    one = two_series().control_estimate("control_core", 0.125)
    assert one.value == pytest.approx(grown("core", 5700, 0.001, 1e-5, 1e-6) + 0.57)
    assert two_series(None).control_estimate("control_core", 0.125).value is None


def test_an_ask_for_rights_outgrows_a_value() -> None:
    for letters in (3, 13):
        bound = capacity_model.lease_request_overflow_members(letters)
        assert (
            capacity_model.lease_request_bytes(bound - 2, letters)
            <= store.MAX_VALUE_BYTES
            < capacity_model.lease_request_bytes(bound - 1, letters)
        )
    assert (
        capacity_model.lease_request_overflow_members(),
        capacity_model.lease_request_overflow_members(3),
    ) == (27, 38)


# -- what is put together ------------------------------------------------------------------------------------


def test_files_of_one_form_are_merged_and_the_later_name_holds() -> None:
    found = merge_results(
        [
            ("simulated-b.json", simulated([{"members": 8, "core": 2.0}])),
            ("simulated.json", simulated([{"members": 4, "core": 9.0}, {"members": 16, "core": 5.0}])),
            (
                "simulated-a.json",
                simulated([{"members": n, "core": core} for n, core in ((8, 1.0), (4, 3.0))]),
            ),
            ("real.json", {"form": "real", "rows": [{"members": 8, "core": 7.0}]}),
        ]
    )
    assert [(one["members"], one["core"]) for one in found.simulated] == [(4, 3.0), (8, 2.0), (16, 5.0)]
    assert [one["core"] for one in found.real] == [7.0]


def test_a_quantity_that_a_row_has_not_or_null_is_passed_over() -> None:
    rows: list[dict[str, Any]] = [{"members": n, "memory": 100.0 + n} for n in SIZES]
    rows += [{"members": 1024, "memory": None}, {"members": 2048}]
    one = estimate(LINEAR, rows, 5700)
    assert one.sizes == SIZES


def test_a_size_that_was_not_played_to_its_end_is_left_out() -> None:
    found = merge_results([("simulated.json", simulated([row(8), row(16, partial=True)]))])
    assert [one["members"] for one in found.simulated] == [8]


def test_control_is_the_protocol_and_the_reading_and_not_measured_without_either() -> None:
    rows = [row(8, zone_lost={"core": 0.5, "heed_core": 0.25}), row(16, heed_core=None)]
    one, other = merge_results([("simulated.json", simulated(rows))]).simulated
    assert one["control_core"] == pytest.approx(0.01 + 8e-5 + 8e-4)
    assert one["zone_lost"]["control_core"] == 0.75 and "control_core" not in other


def test_parts_of_a_run_are_fitted_by_the_same_form() -> None:
    rows = [row(n, zone_lost={"core": 0.5 + 0.01 * n, "false_deaths": 1}) for n in SIZES]
    one = Model(merge_results([("simulated.json", simulated(rows))])).control_estimate("zone_lost.core")
    assert one.value == pytest.approx(0.5 + 57.0, rel=1e-6)


# -- the tables ----------------------------------------------------------------------------------------------


def test_glance_is_sorted_by_factor_and_names_what_is_over() -> None:
    rows = [row(n, memory=1000.0 * n + 1e4, false_deaths=n == 256) for n in SIZES]
    page = render(EMPTY, merge_results([("simulated.json", simulated(rows))]))
    found = lines_of(page, "glance")[2:]
    assert all(line.endswith((" | not measured |", " | the same |")) for line in found)  # no second series
    assert "falsely taken for dead" in found[0] and "none is allowed" in found[0]
    factors = [
        float(over or within)
        for over, within in re.findall(
            r"(?:\*\*over ([\d.]+) times|(?:open:|within,) ([\d.]+) of it)", "\n".join(found)
        )
    ]
    assert factors == sorted(factors, reverse=True) and factors[0] > 1.0 > factors[-1]
    (memory,) = [line for line in found if line.startswith("| control memory |")]
    assert "5.71 MB | 32 MB | open: 0.178 of it, were there no bound | 22.3 times" in memory
    assert memory.endswith("| held; past a bound | not measured |")


def test_verdict_at_the_budget() -> None:
    assert budget_verdict(1.0) == "within, 1 of it" and budget_verdict(1.01) == "**over 1.01 times**"


def test_data_path_at_the_target() -> None:
    page = render(EMPTY, merge_results([("data-path.json", {"form": "data-path", "rows": path_rows()})]))
    (line,) = [line for line in lines_of(page, "glance") if "an ordinary day" in line]
    busy = (36e6 / 5700) * (1e-4 + 1e-5 * math.log2(530e6 / 5700))
    assert f"{format_number(busy)} cores" in line
    (line,) = [line for line in lines_of(page, "data-path") if line.startswith("| **116,000**")]
    assert format_value(2e7 + 5000.0 * 530e6 / 4560, "bytes") in line


def test_real_rows_stand_beside_the_simulated_of_the_same_size() -> None:
    real = {"form": "real", "rows": [{"members": 64, "real": 8, "hollow": 56, "of_real": {"core": 0.04}}]}
    rows = [row(64, core=0.02)]
    page = render(EMPTY, merge_results([("real.json", real), ("simulated.json", simulated(rows))]))
    assert "| 64 | 8 | 56 | not measured |" in lines_of(page, "real")[2] and "0.04 core, 2 times" in page


def test_a_missing_file_is_not_measured_and_never_a_guess(tmp_path: Path) -> None:
    page = render(EMPTY, capacity.read(tmp_path))
    for name in ("glance", "left-out", "slopes", "sizes", "real", "data-path", "runs", "options", "worst"):
        assert "not measured" in "\n".join(lines_of(page, name)), name
    for line in lines_of(page, "slopes")[2:]:
        cells = line.strip("| ").split(" | ")
        assert cells[1] == "not measured" and cells[5] == "not measured" and cells[6] == "-"
    for line in lines_of(page, "options")[2:]:
        assert line.count("not measured") == 4, line
    put(tmp_path, simulated=simulated([row(n) for n in SIZES]))
    page = render(EMPTY, capacity.read(tmp_path))
    assert "not measured" in "\n".join(lines_of(page, "data-path"))
    *cells, beside = lines_of(page, "glance")[2].split(" | ")
    assert "not measured" not in " | ".join(cells) and beside == "not measured |"  # there is no second series


def test_a_run_that_was_not_whole_says_so() -> None:
    page = render(
        EMPTY, merge_results([("simulated.json", simulated([row(8)], complete=False, ended="memory"))])
    )
    assert "not whole: memory" in "\n".join(lines_of(page, "runs"))


def test_no_fit_goes_beyond_what_frames_hold() -> None:
    most, size = max_bytes_per_s(5700), BASIS_FUNCTIONS["N log2 N"]
    for slope, capped in ((most / size(5700) * 0.9, False), (most / size(5700) * 1.1, True)):
        rows = [row(n, bytes_out=slope * size(n)) for n in SIZES]
        one = Model(merge_results([("simulated.json", simulated(rows))])).control_estimate("bytes_out")
        assert one.capped is capped and one.value == pytest.approx(most if capped else slope * size(5700))
        assert ("counted ceiling" in one.text("bytes/s")) is capped
        assert ("cut to what frames hold" in one.status_text) is capped


def test_a_bound_between_the_sizes_and_the_target_is_said() -> None:
    for sizes, past in ((SIZES, True), ((128, 256, 512, 1024, 2048), False)):
        one = Model(merge_results([("simulated.json", simulated([row(n) for n in sizes]))])).control_estimate(
            "memory"
        )
        assert one.past_bound is past and ("past a bound" in one.status_text) is past


def test_options_cost_a_delegate_both_fleets() -> None:
    rows = [row(n, bytes_out=grown("bytes_out", n, 1000.0, 0.0, 2.0)) for n in SIZES]
    page = render(EMPTY, merge_results([("simulated.json", simulated(rows))]))
    (line,) = [line for line in lines_of(page, "options") if line.startswith("| cells of 57, 100 delegates")]
    # 1000 + 2 x 57 x log2 57, and beside it 1000 + 2 x 100 x log2 100
    assert "1.66 KB/s, within, 0.0793 of it; delegate 3.99 KB/s" in line
    assert "inside the sizes measured" in line


def test_options_are_cut_to_what_frames_hold() -> None:
    rows = [row(n, bytes_out=1000.0 * n) for n in SIZES]
    page = render(EMPTY, merge_results([("simulated.json", simulated(rows))]))
    line = lines_of(page, "options")[-1]
    assert line.startswith(
        f"| all, as it is | {format_value(max_bytes_per_s(5700), 'bytes/s')}, **over 15.2 times**"
    )


def test_the_frame_of_the_ranges_is_counted_from_the_shipped_code() -> None:
    assert (
        range_hashes_frame_bytes(1024) <= wire.MAX_FRAME_BYTES < range_hashes_frame_bytes(1025)
        and RANGE_HASHES_OVERFLOW_OWNERS == 1025
    )


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (21e3, "bytes/s", "21 KB/s"),
        (32e6, "bytes", "32 MB"),
        (0.39, "s", "390 ms"),
        (12.5e-6, "s", "12.5 us"),
        (0.028, "core", "0.028 core"),
        (57.0, "core", "57 cores"),
        (5700.0, "", "5,700"),
        (0.0, "bytes", "0 bytes"),
        (None, "s", "not measured"),
        (1234.5, "bytes/s", "1.23 KB/s"),
        (26_000, "/day", "26,000/day"),
        (12_345_678.0, "", "12,300,000"),
        (math.inf, "s", "unbounded s"),
    ],
)
def test_figures_are_written_with_their_unit(value: float | None, unit: str, text: str) -> None:
    assert format_value(value, unit) == text


# -- the benchmark -------------------------------------------------------------------------------------------


def test_benchmark_holds_the_fit_against_the_budgets() -> None:
    rows = [
        row(
            n,
            bytes_out=grown("bytes_out", n, 1000.0, 0.0, 0.05),
            start_bytes=50.0 * n,
            load_error=0.06,
            false_deaths=n == 8,
        )
        for n in SIZES
    ]
    found, _ = scale.figures(merge_results([("simulated", simulated(rows))]).simulated)
    kept = {name: one.kept for name, one in found.items()}
    assert kept == {
        "control bytes out at 5,700, over its budget": True,
        "control bytes in at 5,700, over its budget": True,
        "control processor at 5,700, over its budget": False,
        "control memory at 5,700, over its budget": True,
        "everywhere, p99 over 8 s, 256 members": True,
        "size left out, worst relative error": True,
        "bytes out, 256 members over 128": True,
        "error of the sums": False,
        "false deaths": False,
        "bytes of a start, 256 over 128": False,
    }
    assert found["control bytes out at 5,700, over its budget"].value == pytest.approx(
        (1000.0 + 0.05 * 5700 * math.log2(5700)) / 21e3
    )
    assert found["bytes of a start, 256 over 128"].value == pytest.approx(2.0)
    assert found["false deaths"].value == 1.0


def test_benchmark_predicts_the_second_series_and_keeps_its_bound() -> None:
    rows = [row(n, bytes_out=100.0 * n**1.5) for n in SIZES]
    slow = [row(n, heed_core=None) for n in SIZES]
    name = "size left out, worst relative error"
    assert not scale.figures(rows)[0][name].kept
    found, beside = scale.figures(rows, slow)
    assert found[name].kept and found[name].bound == 0.15
    assert abs(beside["bytes_out, error of the size left out"]) > 0.15  # what the first misses by stays told
    assert abs(beside["bytes_out at 0.125 loads told a second, error of the size left out"]) < 1e-6
    assert scale.figures(rows)[0].keys() == found.keys()
    slow[-1]["core"] *= 1.5
    assert not scale.figures(rows, slow)[0][name].kept
    del slow[-1]["core"]
    for one in slow:
        one.pop("core", None)
    assert scale.figures(rows, slow)[0][name].value == math.inf


def test_benchmark_keeps_nothing_that_was_not_measured() -> None:
    found, _ = scale.figures([{"members": n} for n in SIZES])
    assert not any(one.kept for one in found.values())


# -- the command ---------------------------------------------------------------------------------------------


def test_the_committed_page_is_what_the_command_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert capacity.main(["--check"]) == 0


def test_check_ends_with_one_where_the_page_says_otherwise_and_writes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    page, slopes = tmp_path / "PAGE.md", tmp_path / "slopes"
    slopes.mkdir()
    page.write_text(EMPTY)
    here = ["--page", str(page), "--slopes", str(slopes)]
    assert capacity.main([*here, "--check"]) == 1 and page.read_text() == EMPTY
    assert str(page) in capsys.readouterr().out
    assert capacity.main(here) == 0 and capacity.main([*here, "--check"]) == 0
    put(slopes, simulated=simulated([row(n) for n in SIZES]))
    assert capacity.main([*here, "--check"]) == 1
    assert capacity.main(here) == 0 and capacity.main([*here, "--check"]) == 0
    page.write_text(page.read_text().replace("held", "HELD", 1))
    assert capacity.main([*here, "--check"]) == 1
    assert page.read_text().count("text\n\n") == len(TABLES)  # what is not between markers stays


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("{", "simulated.json: "),
        ("[]", "simulated.json: no object"),
        ('{"form": "other"}', "simulated.json: form: 'other' is none of simulated, real, data-path"),
        ('{"form": "simulated", "rows": [{}]}', "simulated.json: a row without members"),
    ],
)
def test_a_file_that_cannot_be_used_ends_with_two(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, fault: str
) -> None:
    page, slopes = tmp_path / "PAGE.md", tmp_path / "slopes"
    slopes.mkdir()
    page.write_text(EMPTY)
    (slopes / "simulated.json").write_text(text)
    assert capacity.main(["--check", "--page", str(page), "--slopes", str(slopes)]) == 2
    assert fault in capsys.readouterr().err and page.read_text() == EMPTY


def test_a_page_without_markers_ends_with_two(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    page = tmp_path / "PAGE.md"
    for text in ("", EMPTY.replace("<!-- roles -->\n", ""), EMPTY + "<!-- roles -->\n<!-- end of roles -->"):
        page.write_text(text)
        assert capacity.main(["--page", str(page), "--slopes", str(tmp_path)]) == 2
        assert page.read_text() == text and "markers" in capsys.readouterr().err
    with pytest.raises(BadPage):
        render("", merge_results([]))
    assert capacity.main(["--page", str(tmp_path / "none.md"), "--slopes", str(tmp_path)]) == 2
