"""Tests of the capacity page: its model, its tables and its command (snowwick/lab/capacity*.py)."""

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
from snowwick.lab.capacity_tables import TABLES, InvalidPage, render

ROOT = Path(__file__).parent.parent
SIZES = (8, 16, 32, 64, 128, 256)
EMPTY_PAGE = "".join(f"text\n\n<!-- {name} -->\n<!-- end of {name} -->\n" for name in TABLES)


def model_value(quantity: str, size: float, *coefficients: float) -> float:
    """The value of the quantity's growth model with the given coefficients."""
    return sum(
        coefficient * BASIS_FUNCTIONS[name](size)
        for coefficient, name in zip(coefficients, GROWTH_MODELS[quantity].basis, strict=True)
    )


def simulated_row(size: int, **overrides: Any) -> dict[str, Any]:
    """A row as a run in the simulated network writes it; quantities that are absent were not measured."""
    return {
        "members": size,
        "bytes_out": model_value("bytes_out", size, 900.0, 2.0, 0.5),
        "bytes_in": 900.0 + 2.0 * size,
        "datagrams_out": 30.0,
        "core": model_value("core", size, 0.01, 1e-5, 0.0),
        "heed_core": 1e-4 * size,
        "memory": model_value("memory", size, 2e6, 0.0, 3000.0),
        "everywhere_p99_s": 0.2 * math.log2(size),
        "false_deaths": 0,
        **overrides,
    }


def simulated_file(rows: list[dict[str, Any]], **overrides: Any) -> dict[str, Any]:
    return {
        "form": "simulated",
        "command": "python -m snowwick.lab.scale_simulated",
        "date": "2026-12-02",
        "machine": {"cores": 8, "memory_bytes": 23e9, "python": "3.11"},
        "workload": {},
        "rows": rows,
        "complete": True,
        "ended": "done",
        **overrides,
    }


def data_path_rows() -> list[dict[str, Any]]:
    return [
        {
            "connections": size,
            "memory": 2e7 + 5000.0 * size,
            "pss": 2e7,
            "line_s": 1e-4 + 1e-5 * math.log2(size),
            "line_reference": 40.0,
            "setup_s": 1e-3,
            "lines": 1000,
            "lines_a_second": 1000.0,
        }
        for size in SIZES
    ]


def write_files(folder: Path, **files: dict[str, Any]) -> Path:
    for name, file in files.items():
        (folder / f"{name.replace('_', '-')}.json").write_text(json.dumps(file))
    return folder


def table_lines(page: str, name: str) -> list[str]:
    return page.split(f"<!-- {name} -->\n")[1].split(f"<!-- end of {name} -->")[0].splitlines()


# -- the fit -------------------------------------------------------------------------------------------------


def test_fit_recovers_coefficients() -> None:
    values = [900.0 + 2.0 * size + 0.5 * size * math.log2(size) for size in SIZES]
    coefficients = fit(SIZES, values, ("1", "N", "N log2 N")).coefficients
    assert coefficients == pytest.approx((900.0, 2.0, 0.5), rel=1e-6)


def test_fit_recovers_a_single_basis_function_among_all() -> None:
    for index, name in enumerate(BASIS_FUNCTIONS):
        coefficients = fit(
            SIZES, [7.0 * BASIS_FUNCTIONS[name](size) for size in SIZES], tuple(BASIS_FUNCTIONS)
        ).coefficients
        assert coefficients[index] == pytest.approx(7.0, rel=1e-6)
        assert sum(coefficients) == pytest.approx(7.0, rel=1e-6)


def test_fit_has_no_negative_coefficient() -> None:
    # Ordinary least squares would give a negative slope
    decreasing_fit = fit(SIZES, [1000.0 / size for size in SIZES], ("1", "N"))
    assert min(decreasing_fit.coefficients) >= 0.0 and decreasing_fit.coefficients[1] == 0.0


def test_fit_weighs_relative_errors() -> None:
    # An error of 10% at the smallest size counts as much as one of 10% at the largest.
    linear_fit = fit((1, 1000), (1.1, 900.0), ("N",))
    assert linear_fit.coefficients[0] == pytest.approx(1.0, rel=0.02)


def test_fit_of_zeros_is_zero() -> None:
    assert fit(SIZES, [0.0] * len(SIZES), ("1", "N")).value_at(5700) == 0.0


# -- validation of the fits ----------------------------------------------------------------------------------


LINEAR = GrowthModel("memory", "memory", "bytes", ("1", "N"), "for the test")


def test_size_left_out_is_predicted_by_the_smaller_sizes_alone() -> None:
    rows = [{"members": size, "memory": 100.0 + size} for size in SIZES]
    validation = validate_largest(LINEAR, rows)
    assert validation is not None and validation.size == 256 and validation.fit.sizes == SIZES[:-1]
    assert validation.passed and validation.error == pytest.approx(0.0, abs=1e-9)
    rows[-1]["memory"] *= 2.0  # the value left out does not change its prediction
    failed = validate_largest(LINEAR, rows)
    assert (
        failed is not None and failed.predicted == pytest.approx(validation.predicted) and not failed.passed
    )


@pytest.mark.parametrize(("factor", "passed"), [(1.10, True), (0.90, True), (1.25, False), (0.80, False)])
def test_validation_passes_within_fifteen_percent(factor: float, passed: bool) -> None:
    rows = [{"members": size, "memory": 100.0 + size} for size in SIZES]
    rows[-1]["memory"] /= factor
    validation = validate_largest(LINEAR, rows)
    assert (
        validation is not None
        and validation.error == pytest.approx(factor - 1.0)
        and validation.passed is passed
    )


def test_superlinear_growth_fails_the_validation_on_the_page(tmp_path: Path) -> None:
    rows = [simulated_row(size, memory=10.0 * size**2) for size in SIZES]
    validation = validate_largest(GROWTH_MODELS["memory"], rows)
    assert validation is not None and validation.error < -0.15
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows))]))
    (line,) = [line for line in table_lines(page, "left-out") if line.startswith("| control memory")]
    assert "FAILED" in line and f"{100.0 * validation.error:+.1f}%" in line
    assert "655 KB" in line  # measured: 10 x 256 x 256 bytes
    (line,) = [line for line in table_lines(page, "glance") if line.startswith("| control memory")]
    assert "FAILED" in line
    (line,) = [
        line for line in table_lines(page, "left-out") if line.startswith("| processor of the protocol |")
    ]
    assert "passed" in line and "FAILED" not in line


@pytest.mark.parametrize("sizes", [(8, 16, 32, 64, 100), (8, 16, 32, 200), (8, 128, 256)])
def test_too_few_or_too_close_sizes_are_not_validated(sizes: tuple[int, ...]) -> None:
    assert validate_largest(LINEAR, [{"members": size, "memory": 100.0 + size} for size in sizes]) is None


def test_fewer_than_four_sizes_are_not_fitted() -> None:
    rows = [{"members": size, "memory": 100.0 + size} for size in (8, 64, 256)]
    result = estimate(LINEAR, rows, 5700)
    assert result.value is None and result.status_text == "not fitted" and fit_quantity(LINEAR, rows) is None


def test_estimate_uses_all_sizes_and_has_the_extrapolation_factor() -> None:
    result = estimate(LINEAR, [{"members": size, "memory": 100.0 + size} for size in SIZES], 5700)
    assert result.value == pytest.approx(5800.0) and result.fit is not None and result.fit.sizes == SIZES
    assert result.extrapolation_factor == pytest.approx(5700 / 256) and result.status_text == "passed"


def test_sizes_with_full_frames_are_fitted_separately() -> None:
    # Frames are full from 16 members on; the sizes below that grow differently.
    full_bytes_per_s = 30.0 * wire.MAX_FRAME_BYTES
    sizes = (4, 8, 16, 32, 64, 128, 256, 512)
    rows = [
        simulated_row(size, bytes_out=full_bytes_per_s if size >= 16 else full_bytes_per_s * size / 16.0)
        for size in sizes
    ]
    full_fit = fit_quantity(GROWTH_MODELS["bytes_out"], rows)
    assert (
        full_fit is not None
        and full_fit.sizes == sizes[2:]
        and full_fit.value_at(5700) == pytest.approx(full_bytes_per_s)
    )
    assert full_fit.basis == GROWTH_MODELS["bytes_out"].full_frames_basis


def test_size_left_out_does_not_decide_whether_frames_are_full() -> None:
    rows = [simulated_row(size, bytes_out=1000.0) for size in SIZES]
    rows[-1]["bytes_out"] = 30.0 * wire.MAX_FRAME_BYTES
    validation = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert (
        validation is not None
        and validation.fit.basis == GROWTH_MODELS["bytes_out"].basis
        and not validation.passed
    )


def test_every_growth_model_has_known_basis_functions_and_a_reason() -> None:
    for growth_model in (*GROWTH_MODELS.values(), *DATA_PATH_GROWTH_MODELS.values()):
        assert (
            {*growth_model.basis, *(growth_model.full_frames_basis or ())} <= BASIS_FUNCTIONS.keys()
            and growth_model.reason
            and growth_model.title
        )


# -- series and regimes --------------------------------------------------------------------------------------


def test_series_are_merged_by_size_and_never_mixed() -> None:
    slow = {"load_writes": 0.125}
    measurements = merge_results(
        [
            ("simulated.json", simulated_file([simulated_row(8, core=1.0), simulated_row(16, core=2.0)])),
            (
                "simulated-slow.json",
                simulated_file([simulated_row(8, core=3.0), simulated_row(32, core=4.0)], workload=slow),
            ),
            ("simulated-slow-2.json", simulated_file([simulated_row(8, core=5.0)], workload=slow)),
            (
                "simulated-same.json",
                simulated_file([simulated_row(16, core=6.0)], workload={"load_writes": 1.0}),
            ),
        ]
    )
    assert {
        rate: [(row["members"], row["core"]) for row in rows] for rate, rows in measurements.series.items()
    } == {0.125: [(8, 5.0), (32, 4.0)], 1.0: [(8, 1.0), (16, 6.0)]}
    assert measurements.simulated == measurements.series[1.0]


@pytest.mark.parametrize("rate", ["1", True, math.inf])
def test_load_update_rate_that_is_not_a_finite_number_is_rejected(rate: object) -> None:
    with pytest.raises(ValueError, match=r"simulated\.json: workload\.load_writes"):
        merge_results(
            [("simulated.json", simulated_file([simulated_row(8)], workload={"load_writes": rate}))]
        )


def test_single_series_at_another_rate_is_not_used_for_the_target() -> None:
    measurements = merge_results(
        [
            (
                "simulated.json",
                simulated_file([simulated_row(size) for size in SIZES], workload={"load_writes": 0.125}),
            )
        ]
    )
    model = Model(measurements)
    assert measurements.simulated == () and model.slowest_load_update_rate == 0.125
    assert (
        model.control_estimate("memory").missing_reason == "not measured"
        and model.control_estimate("memory", 0.125).value is not None
    )


def test_each_size_with_enough_smaller_ones_is_left_out_once() -> None:
    rows: list[dict[str, Any]] = [{"members": size, "memory": 100.0 + size} for size in SIZES]
    rows.append({"members": 512, "memory": 2000.0})
    validations = capacity_model.validations(LINEAR, rows)
    assert [(validation.size, validation.fit.sizes, validation.passed) for validation in validations] == [
        (256, SIZES[:-1], True),
        (512, SIZES, False),
    ]


def test_all_sizes_from_the_first_full_one_on_are_in_that_regime() -> None:
    # Pull requests are small frames, so that the mean frame size falls below the threshold again.
    rows = [
        simulated_row(8),
        simulated_row(16, bytes_out=25.0 * wire.MAX_FRAME_BYTES),
        simulated_row(32, bytes_out=18.0 * wire.MAX_FRAME_BYTES),
    ]
    assert capacity_model.first_full_size(rows) == 16 and capacity_model.first_full_size(rows[:1]) is None
    assert capacity_model.regime_text(16.0) == "full from 16 on"
    assert capacity_model.regime_text(None) == "frames not full"


def rows_crossing_regimes() -> list[dict[str, Any]]:
    """Rows whose frames are not full up to 128 members; at 256 the value is half of the growth model's."""
    rows = [
        simulated_row(size, bytes_out=model_value("bytes_out", size, 900.0, 50.0, 30.0)) for size in SIZES
    ]
    rows[-1]["bytes_out"] /= 2.0
    return rows


def test_change_of_regime_is_determined_by_the_fit_alone() -> None:
    rows = rows_crossing_regimes()
    validation = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert (
        validation is not None
        and validation.first_full_size is None
        and validation.crosses_regimes
        and not validation.passed
    )
    assert validation.expected_frame_fill == pytest.approx(
        model_value("bytes_out", 256, 900.0, 50.0, 30.0) / (30.0 * wire.MAX_FRAME_BYTES)
    )
    rows[-1]["bytes_out"] = 1.0  # the value left out changes neither its regime nor its prediction
    second_validation = validate_largest(GROWTH_MODELS["bytes_out"], rows)
    assert (
        second_validation is not None
        and second_validation.crosses_regimes
        and second_validation.expected_frame_fill == validation.expected_frame_fill
    )
    for bytes_out in (1.0, 1e9):
        within_regime = [simulated_row(size) for size in SIZES[:-1]] + [
            simulated_row(256, bytes_out=bytes_out)
        ]
        validation = validate_largest(GROWTH_MODELS["bytes_out"], within_regime)
        assert validation is not None and not validation.crosses_regimes and not validation.passed


def test_failed_predictions_across_regimes_stay_on_the_page_in_their_own_table() -> None:
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows_crossing_regimes()))]))
    (line,) = [line for line in table_lines(page, "across") if line.startswith("| control bytes out")]
    assert "| 1/s | frames not full | 8, 16, 32, 64, 128 | 256 members |" in line and "FAILED" in line
    (line,) = [line for line in table_lines(page, "left-out") if line.startswith("| control bytes out")]
    assert "across the change of regime: see below" in line and "passed" not in line
    (line,) = [line for line in table_lines(page, "left-out") if line.startswith("| control memory")]
    assert "one basis for both" in line and "| passed |" in line


def test_status_of_an_estimate_includes_validation_across_regimes() -> None:
    model = Model(merge_results([("simulated.json", simulated_file(rows_crossing_regimes()))]))
    assert model.control_estimate("bytes_out").status_text.startswith("FAILED across the change of regime")
    assert model.control_estimate("core").status_text.startswith("passed across the change of regime")
    assert model.control_estimate("memory").status_text.startswith("passed; ")


def test_failure_within_a_regime_stays_in_the_first_table() -> None:
    rows = [simulated_row(size) for size in SIZES]
    rows[-1]["bytes_out"] *= 1.5
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows))]))
    (line,) = [line for line in table_lines(page, "left-out") if line.startswith("| control bytes out")]
    assert "frames not full" in line and "FAILED" in line
    assert table_lines(page, "across")[2].startswith("| none |")


def test_series_with_full_frames_has_the_calculated_upper_bound_at_the_target() -> None:
    rows = [simulated_row(size, bytes_out=min(size * 600.0, 30.0 * wire.MAX_FRAME_BYTES)) for size in SIZES]
    model = Model(merge_results([("simulated.json", simulated_file(rows))]))
    bytes_out = model.control_estimate("bytes_out")
    assert (
        bytes_out.capped
        and bytes_out.value == max_bytes_per_s(5700)
        and not model.control_estimate("memory").capped
    )
    page = render(EMPTY_PAGE, model.measurements)
    (line,) = [line for line in table_lines(page, "glance") if line.startswith("| control bytes out |")]
    assert "320 KB/s, calculated upper bound" in line


def model_with_two_series(reading_core: float | None = 1e-4) -> Model:
    """A series at an eighth of the target's rate, and one at the target's with 8 times the rate's terms."""
    slow_rows = [
        simulated_row(
            size,
            bytes_out=model_value("bytes_out", size, 900.0, 50.0, 3.0),
            heed_core=None,
            core=model_value("core", size, 0.001, 1e-5, 1e-6),
        )
        for size in SIZES
    ]
    target_rows = [
        simulated_row(
            size,
            bytes_out=model_value("bytes_out", size, 900.0, 50.0, 24.0),
            core=model_value("core", size, 0.001, 1e-5, 8e-6),
            heed_core=reading_core and reading_core * size,
        )
        for size in SIZES
    ]
    return Model(
        merge_results(
            [
                ("simulated.json", simulated_file(target_rows)),
                ("simulated-slow.json", simulated_file(slow_rows, workload={"load_writes": 0.125})),
            ]
        )
    )


def test_largest_fleet_within_a_budget() -> None:
    linear_fit = fit(SIZES, [100.0 + size for size in SIZES], ("1", "N"))
    assert (
        capacity_model.largest_fleet_within(linear_fit, 1100.0) in (999, 1000)
        and capacity_model.largest_fleet_within(linear_fit, 101.0) == 0
    )
    scaled = capacity_model.scale_to_update_rate(
        fit(SIZES, [1.0 + size + 3.0 * size * math.log2(size) for size in SIZES], ("1", "N", "N log2 N")),
        8.0,
    )
    assert scaled.value_at(64) == pytest.approx(1.0 + 64.0 + 24.0 * 64.0 * 6.0)


def test_largest_fleet_within_a_budget_depends_on_the_update_rate() -> None:
    model = model_with_two_series()
    page = render(EMPTY_PAGE, model.measurements)
    (line,) = [line for line in table_lines(page, "allowed") if line.startswith("| control bytes out")]
    slowest_fit = model.fit_below_full_frames("bytes_out")
    assert slowest_fit is not None
    for rate, rate_factor in ((1.0, 8.0), (0.125, 1.0)):
        fleet = capacity_model.largest_fleet_within(
            capacity_model.scale_to_update_rate(slowest_fit, rate_factor), 21e3
        )
        assert (
            model_value("bytes_out", fleet, 900.0, 50.0, 3.0 * rate_factor)
            <= 21e3
            < model_value("bytes_out", fleet + 1, 900.0, 50.0, 3.0 * rate_factor)
        ), rate
        assert f"| {format_number(fleet)} members" in line
    smallest_over = min(size for size in SIZES if model_value("bytes_out", size, 900.0, 50.0, 24.0) > 21e3)
    assert f"| within budget up to {smallest_over // 2}, over at {smallest_over} |" in line
    at_target = [
        format_value(model_value("bytes_out", 5700, 900.0, 50.0, coefficient), "bytes/s")
        for coefficient in (24.0, 3.0)
    ]
    assert " and ".join(at_target) in line and line.endswith("| 320 KB/s |")


def test_regime_ends_where_frames_become_full_by_the_fits() -> None:
    model = model_with_two_series()  # 30 frames per second
    for rate, coefficient in ((1.0, 24.0), (0.125, 3.0)):
        regime_end = model.regime_end(rate)
        assert regime_end is not None and model_value(
            "bytes_out", regime_end, 900.0, 50.0, coefficient
        ) <= 30.0 * wire.MAX_FRAME_BYTES < model_value("bytes_out", regime_end + 1, 900.0, 50.0, coefficient)
    propagation = model.control_estimate("everywhere_p99_s", 0.125)
    assert (
        propagation.regime_end == model.regime_end(0.125) and "beyond its regime" in propagation.status_text
    )
    assert (
        model.control_estimate("memory", 0.125).regime_end is None
        and model.control_estimate("idle_bytes_out", 0.125).regime_end is None
    )
    page = render(EMPTY_PAGE, model.measurements)
    (line,) = [
        line
        for line in table_lines(page, "allowed")
        if line.startswith("| propagation of a change to all members, 99th percentile")
    ]
    assert (
        f"| {format_number(model.regime_end(0.125) or 0)} members, where frames become full and the fit "
        "ends |" in line
    )
    rows_with_burst = [
        {**row, "burst": {**row, "everywhere_p99_s": 0.1 * math.log2(row["members"])}}
        for row in model.measurements.series[0.125]
    ]
    rows_with_burst.append(
        simulated_row(
            512,
            bytes_out=30.0 * wire.MAX_FRAME_BYTES,
            burst=simulated_row(512, everywhere_p99_s=0.9),
        )
    )
    full_at_512 = Model(
        merge_results([("simulated.json", simulated_file(rows_with_burst, workload={"load_writes": 0.125}))])
    )
    assert full_at_512.control_estimate("everywhere_p99_s", 0.125).regime_end is None
    # The frames of the burst itself were not full
    assert full_at_512.control_estimate("burst.everywhere_p99_s", 0.125).regime_end == model.regime_end(0.125)
    few_bytes = Model(
        merge_results(
            [
                (
                    "simulated.json",
                    simulated_file([simulated_row(size, bytes_out=2000.0) for size in SIZES]),
                )
            ]
        )
    )
    # Frames have room for it at the target
    assert few_bytes.control_estimate("everywhere_p99_s").regime_end is None


def test_fit_of_the_slow_series_is_checked_at_the_target_rate() -> None:
    page = render(EMPTY_PAGE, model_with_two_series().measurements)
    lines = [line for line in table_lines(page, "by-rate") if line.startswith("| control bytes out")]
    assert lines and all("| passed |" in line for line in lines)
    target_rows = [
        simulated_row(size, bytes_out=model_value("bytes_out", size, 900.0, 50.0, 36.0)) for size in SIZES
    ]
    slow_rows = [
        simulated_row(size, bytes_out=model_value("bytes_out", size, 900.0, 50.0, 3.0)) for size in SIZES
    ]
    model = Model(
        merge_results(
            [
                ("simulated.json", simulated_file(target_rows)),
                ("simulated-slow.json", simulated_file(slow_rows, workload={"load_writes": 0.125})),
            ]
        )
    )
    lines = [
        line
        for line in table_lines(render(EMPTY_PAGE, model.measurements), "by-rate")
        if line.startswith("| control bytes out")
    ]
    assert any("FAILED" in line for line in lines)


def test_control_processor_of_a_series_without_reading_adds_that_of_the_target_series() -> None:
    control_core = model_with_two_series().control_estimate("control_core", 0.125)
    assert control_core.value == pytest.approx(model_value("core", 5700, 0.001, 1e-5, 1e-6) + 0.57)
    assert model_with_two_series(None).control_estimate("control_core", 0.125).value is None


def test_lease_request_outgrows_a_register_value() -> None:
    for letters in (3, 13):
        overflow = capacity_model.lease_request_overflow_members(letters)
        assert (
            capacity_model.lease_request_bytes(overflow - 2, letters)
            <= store.MAX_VALUE_BYTES
            < capacity_model.lease_request_bytes(overflow - 1, letters)
        )
    assert (
        capacity_model.lease_request_overflow_members(),
        capacity_model.lease_request_overflow_members(3),
    ) == (27, 38)


# -- merging result files ------------------------------------------------------------------------------------


def test_files_of_one_form_are_merged_and_the_later_name_has_precedence() -> None:
    measurements = merge_results(
        [
            ("simulated-b.json", simulated_file([{"members": 8, "core": 2.0}])),
            (
                "simulated.json",
                simulated_file([{"members": 4, "core": 9.0}, {"members": 16, "core": 5.0}]),
            ),
            (
                "simulated-a.json",
                simulated_file([{"members": size, "core": core} for size, core in ((8, 1.0), (4, 3.0))]),
            ),
            ("real.json", {"form": "real", "rows": [{"members": 8, "core": 7.0}]}),
        ]
    )
    assert [(row["members"], row["core"]) for row in measurements.simulated] == [
        (4, 3.0),
        (8, 2.0),
        (16, 5.0),
    ]
    assert [row["core"] for row in measurements.real] == [7.0]


def test_absent_or_null_quantity_of_a_row_is_ignored() -> None:
    rows: list[dict[str, Any]] = [{"members": size, "memory": 100.0 + size} for size in SIZES]
    rows += [{"members": 1024, "memory": None}, {"members": 2048}]
    result = estimate(LINEAR, rows, 5700)
    assert result.sizes == SIZES


def test_size_whose_run_did_not_end_is_left_out() -> None:
    measurements = merge_results(
        [("simulated.json", simulated_file([simulated_row(8), simulated_row(16, partial=True)]))]
    )
    assert [row["members"] for row in measurements.simulated] == [8]


def test_control_core_is_the_sum_of_protocol_and_reading_and_needs_both() -> None:
    rows = [
        simulated_row(8, zone_lost={"core": 0.5, "heed_core": 0.25}),
        simulated_row(16, heed_core=None),
    ]
    with_both, without_reading = merge_results([("simulated.json", simulated_file(rows))]).simulated
    assert with_both["control_core"] == pytest.approx(0.01 + 8e-5 + 8e-4)
    assert with_both["zone_lost"]["control_core"] == 0.75 and "control_core" not in without_reading


def test_phases_of_a_run_have_the_same_growth_model() -> None:
    rows = [simulated_row(size, zone_lost={"core": 0.5 + 0.01 * size, "false_deaths": 1}) for size in SIZES]
    zone_lost_core = Model(merge_results([("simulated.json", simulated_file(rows))])).control_estimate(
        "zone_lost.core"
    )
    assert zone_lost_core.value == pytest.approx(0.5 + 57.0, rel=1e-6)


# -- the tables ----------------------------------------------------------------------------------------------


def test_summary_is_sorted_by_budget_ratio_and_marks_what_is_over_budget() -> None:
    rows = [simulated_row(size, memory=1000.0 * size + 1e4, false_deaths=size == 256) for size in SIZES]
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows))]))
    lines = table_lines(page, "glance")[2:]
    # There is no second series
    assert all(line.endswith((" | not measured |", " | unchanged |")) for line in lines)
    assert "falsely declared dead" in lines[0] and "none is allowed" in lines[0]
    ratios = [
        float(over or within)
        for over, within in re.findall(
            r"(?:\*\*([\d.]+) times the budget|(?:undecided:|within budget,) ([\d.]+) of it)",
            "\n".join(lines),
        )
    ]
    assert ratios == sorted(ratios, reverse=True) and ratios[0] > 1.0 > ratios[-1]
    (memory,) = [line for line in lines if line.startswith("| control memory |")]
    assert "5.71 MB | 32 MB | undecided: 0.178 of it if the code had no limit | 22.3 times" in memory
    assert memory.endswith("| passed; beyond a limit of the code | not measured |")


def test_verdict_at_the_budget() -> None:
    assert (
        budget_verdict(1.0) == "within budget, 1 of it"
        and budget_verdict(1.01) == "**1.01 times the budget**"
    )


def test_data_path_at_the_target() -> None:
    page = render(
        EMPTY_PAGE, merge_results([("data-path.json", {"form": "data-path", "rows": data_path_rows()})])
    )
    (line,) = [line for line in table_lines(page, "glance") if "an ordinary day" in line]
    cores = (36e6 / 5700) * (1e-4 + 1e-5 * math.log2(530e6 / 5700))
    assert f"{format_number(cores)} cores" in line
    (line,) = [line for line in table_lines(page, "data-path") if line.startswith("| **116,000**")]
    assert format_value(2e7 + 5000.0 * 530e6 / 4560, "bytes") in line


def test_real_rows_are_compared_with_simulated_ones_of_the_same_size() -> None:
    real = {"form": "real", "rows": [{"members": 64, "real": 8, "hollow": 56, "of_real": {"core": 0.04}}]}
    rows = [simulated_row(64, core=0.02)]
    page = render(EMPTY_PAGE, merge_results([("real.json", real), ("simulated.json", simulated_file(rows))]))
    assert "| 64 | 8 | 56 | not measured |" in table_lines(page, "real")[2] and "0.04 core, 2 times" in page


def test_figures_without_a_result_file_are_not_measured(tmp_path: Path) -> None:
    page = render(EMPTY_PAGE, capacity.read_results(tmp_path))
    for name in ("glance", "left-out", "slopes", "sizes", "real", "data-path", "runs", "options", "worst"):
        assert "not measured" in "\n".join(table_lines(page, name)), name
    for line in table_lines(page, "slopes")[2:]:
        cells = line.strip("| ").split(" | ")
        assert cells[1] == "not measured" and cells[5] == "not measured" and cells[6] == "-"
    for line in table_lines(page, "options")[2:]:
        assert line.count("not measured") == 4, line
    write_files(tmp_path, simulated=simulated_file([simulated_row(size) for size in SIZES]))
    page = render(EMPTY_PAGE, capacity.read_results(tmp_path))
    assert "not measured" in "\n".join(table_lines(page, "data-path"))
    *cells, slowest_series = table_lines(page, "glance")[2].split(" | ")
    # There is no second series
    assert "not measured" not in " | ".join(cells) and slowest_series == "not measured |"


def test_incomplete_run_is_marked() -> None:
    page = render(
        EMPTY_PAGE,
        merge_results(
            [("simulated.json", simulated_file([simulated_row(8)], complete=False, ended="memory"))]
        ),
    )
    assert "incomplete: memory" in "\n".join(table_lines(page, "runs"))


def test_no_estimate_exceeds_the_capacity_of_the_frames() -> None:
    bound, basis_function = max_bytes_per_s(5700), BASIS_FUNCTIONS["N log2 N"]
    for coefficient, capped in (
        (bound / basis_function(5700) * 0.9, False),
        (bound / basis_function(5700) * 1.1, True),
    ):
        rows = [simulated_row(size, bytes_out=coefficient * basis_function(size)) for size in SIZES]
        bytes_out = Model(merge_results([("simulated.json", simulated_file(rows))])).control_estimate(
            "bytes_out"
        )
        assert bytes_out.capped is capped and bytes_out.value == pytest.approx(
            bound if capped else coefficient * basis_function(5700)
        )
        assert ("calculated upper bound" in bytes_out.text("bytes/s")) is capped
        assert ("capped at the calculated capacity of the frames" in bytes_out.status_text) is capped


def test_limit_of_the_code_between_the_measured_sizes_and_the_target_is_reported() -> None:
    for sizes, past_bound in ((SIZES, True), ((128, 256, 512, 1024, 2048), False)):
        memory = Model(
            merge_results([("simulated.json", simulated_file([simulated_row(size) for size in sizes]))])
        ).control_estimate("memory")
        assert (
            memory.past_bound is past_bound
            and ("beyond a limit of the code" in memory.status_text) is past_bound
        )


def test_delegates_of_cells_have_the_cost_of_both_fleets() -> None:
    rows = [simulated_row(size, bytes_out=model_value("bytes_out", size, 1000.0, 0.0, 2.0)) for size in SIZES]
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows))]))
    (line,) = [
        line for line in table_lines(page, "options") if line.startswith("| cells of 57, 100 delegates")
    ]
    # 1000 + 2 x 57 x log2 57, and in addition 1000 + 2 x 100 x log2 100
    assert "1.66 KB/s, within budget, 0.0793 of it; delegate 3.99 KB/s" in line
    assert "within the measured sizes" in line


def test_options_are_capped_at_the_capacity_of_the_frames() -> None:
    rows = [simulated_row(size, bytes_out=1000.0 * size) for size in SIZES]
    page = render(EMPTY_PAGE, merge_results([("simulated.json", simulated_file(rows))]))
    line = table_lines(page, "options")[-1]
    assert line.startswith(
        f"| all members, as now | {format_value(max_bytes_per_s(5700), 'bytes/s')}, **15.2 times the budget**"
    )


def test_range_hashes_overflow_is_calculated_from_the_code() -> None:
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
def test_values_are_formatted_with_their_unit(value: float | None, unit: str, text: str) -> None:
    assert format_value(value, unit) == text


# -- the benchmark -------------------------------------------------------------------------------------------


def test_benchmark_compares_the_estimates_with_the_budgets() -> None:
    rows = [
        simulated_row(
            size,
            bytes_out=model_value("bytes_out", size, 1000.0, 0.0, 0.05),
            start_bytes=50.0 * size,
            load_error=0.06,
            false_deaths=size == 8,
        )
        for size in SIZES
    ]
    figures, _ = scale.figures(merge_results([("simulated", simulated_file(rows))]).simulated)
    kept = {name: figure.kept for name, figure in figures.items()}
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
    assert figures["control bytes out at 5,700, over its budget"].value == pytest.approx(
        (1000.0 + 0.05 * 5700 * math.log2(5700)) / 21e3
    )
    assert figures["bytes of a start, 256 over 128"].value == pytest.approx(2.0)
    assert figures["false deaths"].value == 1.0


def test_benchmark_predicts_the_second_series_and_applies_the_bound_to_it() -> None:
    rows = [simulated_row(size, bytes_out=100.0 * size**1.5) for size in SIZES]
    slow_rows = [simulated_row(size, heed_core=None) for size in SIZES]
    name = "size left out, worst relative error"
    assert not scale.figures(rows)[0][name].kept
    figures, details = scale.figures(rows, slow_rows)
    assert figures[name].kept and figures[name].bound == 0.15
    # The error of the first series is still reported
    assert abs(details["bytes_out, error of the size left out"]) > 0.15
    assert abs(details["bytes_out at 0.125 loads told a second, error of the size left out"]) < 1e-6
    assert scale.figures(rows)[0].keys() == figures.keys()
    slow_rows[-1]["core"] *= 1.5
    assert not scale.figures(rows, slow_rows)[0][name].kept
    del slow_rows[-1]["core"]
    for row in slow_rows:
        row.pop("core", None)
    assert scale.figures(rows, slow_rows)[0][name].value == math.inf


def test_benchmark_fails_all_figures_that_were_not_measured() -> None:
    figures, _ = scale.figures([{"members": size} for size in SIZES])
    assert not any(figure.kept for figure in figures.values())


# -- the command ---------------------------------------------------------------------------------------------


def test_the_committed_page_is_what_the_command_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert capacity.main(["--check"]) == 0


def test_check_exits_with_one_if_the_page_differs_and_writes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    page, results_folder = tmp_path / "PAGE.md", tmp_path / "slopes"
    results_folder.mkdir()
    page.write_text(EMPTY_PAGE)
    arguments = ["--page", str(page), "--slopes", str(results_folder)]
    assert capacity.main([*arguments, "--check"]) == 1 and page.read_text() == EMPTY_PAGE
    assert str(page) in capsys.readouterr().out
    assert capacity.main(arguments) == 0 and capacity.main([*arguments, "--check"]) == 0
    write_files(results_folder, simulated=simulated_file([simulated_row(size) for size in SIZES]))
    assert capacity.main([*arguments, "--check"]) == 1
    assert capacity.main(arguments) == 0 and capacity.main([*arguments, "--check"]) == 0
    page.write_text(page.read_text().replace("passed", "PASSED", 1))
    assert capacity.main([*arguments, "--check"]) == 1
    assert page.read_text().count("text\n\n") == len(TABLES)  # the text outside the markers is unchanged


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("{", "simulated.json: "),
        ("[]", "simulated.json: the file does not contain a JSON object"),
        ('{"form": "other"}', "simulated.json: form: 'other' is not one of simulated, real, data-path"),
        ('{"form": "simulated", "rows": [{}]}', "simulated.json: a row has no number for members"),
    ],
)
def test_invalid_result_file_exits_with_two(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, fault: str
) -> None:
    page, results_folder = tmp_path / "PAGE.md", tmp_path / "slopes"
    results_folder.mkdir()
    page.write_text(EMPTY_PAGE)
    (results_folder / "simulated.json").write_text(text)
    assert capacity.main(["--check", "--page", str(page), "--slopes", str(results_folder)]) == 2
    assert fault in capsys.readouterr().err and page.read_text() == EMPTY_PAGE


def test_page_without_markers_exits_with_two(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    page = tmp_path / "PAGE.md"
    for text, table in (
        ("", "glance"),
        (EMPTY_PAGE.replace("<!-- roles -->\n", ""), "roles"),
        (EMPTY_PAGE + "<!-- roles -->\n<!-- end of roles -->", "roles"),
    ):
        page.write_text(text)
        assert capacity.main(["--page", str(page), "--slopes", str(tmp_path)]) == 2
        assert page.read_text() == text
        assert capsys.readouterr().err == (
            f"{page}: table {table}: the page needs its begin and end marker once each, in this order\n"
        )
    with pytest.raises(InvalidPage):
        render("", merge_results([]))
    assert capacity.main(["--page", str(tmp_path / "none.md"), "--slopes", str(tmp_path)]) == 2
