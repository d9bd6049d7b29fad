"""The validation of the fleet file, and the commands that read it."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from snowwick.fleet.file import FleetFileError, load, parse

ROOT = Path(__file__).parent.parent
VALID_FILE = 'version = 1\n[links]\nlisten = "127.0.0.1:7946"\nkey_file = "key"\nseeds = ["127.0.0.1:7947"]\n'


def add_key_file(path: Path, mode: int = 0o600, key: bytes = b"sixteen bytes at least") -> Path:
    """Write a key file to a folder; returns the folder."""
    (path / "key").write_bytes(key)
    (path / "key").chmod(mode)
    return path


@pytest.mark.parametrize(
    "change, fault",
    [
        (("version = 1", "version = 2"), "version: must be 1, not 2"),
        (('listen = "127.0.0.1:7946"\n', ""), "links.listen: is missing"),
        (("7946", "79460"), "links.listen: port of '127.0.0.1:79460' is above 65535"),
        (('["127.0.0.1:7947"]', '["nowhere"]'), "links.seeds.0: "),
        (('["127.0.0.1:7947"]', "[]\nperiod_ms = 5"), "links.period_ms: "),
        (('"key"', '"none"'), "links.key_file: cannot read"),
        (('"key"', '"key"\nold_key_file = "key"'), "links.old_key_file: holds the same key"),
        (("[links]", "[more]\n[links]"), "more: unknown key"),
        (("[links]", "[share]\nhealthy = true\n[links]"), "share.healthy: unknown key"),
    ],
)
def test_each_fault_starts_with_its_key_path(tmp_path: Path, change: tuple[str, str], fault: str) -> None:
    with pytest.raises(FleetFileError) as caught:
        parse(VALID_FILE.replace(*change), add_key_file(tmp_path))
    assert any(line.startswith(fault) for line in caught.value.faults), caught.value.faults


def test_a_key_file_that_others_can_read_or_that_is_short_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(
        FleetFileError, match=r"links.key_file: .* is accessible to group or others; run chmod 600 on it"
    ):
        parse(VALID_FILE, add_key_file(tmp_path, 0o640))
    with pytest.raises(FleetFileError, match=r"links.key_file: .* holds 5 bytes"):
        parse(VALID_FILE, add_key_file(tmp_path, key=b"short"))


def test_the_example_is_valid_and_the_check_command_reads_it(tmp_path: Path) -> None:
    (add_key_file(tmp_path) / "key").rename(tmp_path / "fleet.key")
    file = tmp_path / "fleet.toml"
    file.write_text((ROOT / "deploy" / "fleet.toml").read_text())
    assert load(file).links.period_ms == 200
    valid_result, missing_result = [
        subprocess.run(
            [sys.executable, "-m", "snowwick", "fleet", "check", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        for path in (file, tmp_path / "none")
    ]
    assert valid_result.returncode == 0 and "2 seeds, 1 keys" in valid_result.stdout
    assert missing_result.returncode == 2 and "cannot read" in missing_result.stderr


def test_no_fleet_module_is_loaded_without_a_fleet_file() -> None:
    program = (
        "import sys, snowwick.__main__, snowwick.net.service; "
        "print([m for m in sys.modules if 'fleet' in m or 'msgspec' in m or 'snowwick.lab' in m])"
    )
    result = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stderr
