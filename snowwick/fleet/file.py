"""The fleet file that operators write: its format (version 1) and its validation."""

from __future__ import annotations

import os
import stat
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec

from snowwick.toml_reader import TomlReader

MIN_KEY_BYTES = 16  # a shorter key can be guessed

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:\d{1,5}$")]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class FleetFileError(ValueError):
    """The file cannot be used; ``faults`` has one line per fault, which begins with a key path."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Links(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How this balancer and the other members reach each other."""

    listen: Address
    key_file: str
    seeds: list[Address]  # members to join
    address: Address | None = None  # where others reach this balancer, if not at ``listen``
    old_key_file: str | None = None  # its key is also accepted from others, while keys are replaced
    period_ms: Annotated[float, msgspec.Meta(ge=20.0, le=5000.0)] = 200.0
    routes: dict[str, Address] = {}  # by a member's address: the address to use instead from here


class Share(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What this balancer publishes to the other members and applies from them."""

    health: bool = True
    list: bool = True
    load: bool = True
    rights: bool = True
    discovery: str = "discovery"  # balancers with the same name here compare their list versions


class FleetFile(msgspec.Struct, frozen=True):
    """The validated file."""

    links: Links
    share: Share
    keys: tuple[bytes, ...]  # frames are sent under the first one and accepted under any
    digest: str  # of the settings that should be the same at all balancers, where differences are logged


def _read_key(reader: TomlReader, path: str, name: str, folder: Path) -> bytes | None:
    """Read a key file, which only this user may have access to; None where a fault was added.

    ``path`` is the key path of the setting that names the file.
    """
    file_path = folder / name
    try:
        with file_path.open("rb") as file:
            file_status = os.fstat(file.fileno())
            data = file.read(4096).strip()
    except OSError as error:
        reader.add_fault(path, f"cannot read {file_path}: {error.strerror}")
        return None
    if file_status.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        reader.add_fault(path, f"{file_path} is accessible to group or others; run chmod 600 on it")
    elif file_status.st_uid != os.geteuid():
        reader.add_fault(path, f"{file_path} is owned by another user")
    elif len(data) < MIN_KEY_BYTES:
        reader.add_fault(path, f"{file_path} holds {len(data)} bytes; a key needs at least {MIN_KEY_BYTES}")
    else:
        return blake2b(data, digest_size=32, person=b"snowwick-fleet").digest()
    return None


def parse(text: str, folder: Path) -> FleetFile:
    """Validate a file's text; the names of key files are relative to ``folder``.

    Raises FleetFileError with all faults found.
    """
    reader = TomlReader()
    raw = reader.parse(text, {"links", "share"})
    links = (
        reader.read_struct("links", reader.read_table(raw, "links", required=True), Links) if raw else None
    )
    share = reader.read_struct("share", reader.read_table(raw, "share"), Share) if raw else None
    keys: list[bytes] = []
    if links is not None:
        for path, name in (("links.key_file", links.key_file), ("links.old_key_file", links.old_key_file)):
            if name is not None and (key := _read_key(reader, path, name, folder)) is not None:
                keys.append(key)
        for path, address in [
            ("links.listen", links.listen),
            ("links.address", links.address),
            *((f"links.seeds.{index}", seed) for index, seed in enumerate(links.seeds)),
            *((f"links.routes.{member}", route) for member, route in links.routes.items()),
        ]:
            if address is not None and int(address.rpartition(":")[2]) > 65535:
                reader.add_fault(path, f"port of {address!r} is above 65535")
        if len(keys) == 2 and keys[0] == keys[1]:
            reader.add_fault("links.old_key_file", "holds the same key as links.key_file")
    if reader.faults or links is None or share is None:
        raise FleetFileError(reader.faults)
    # Without addresses and key files, which differ between balancers
    common_settings = repr((links.period_ms, msgspec.structs.astuple(share)))
    return FleetFile(links, share, tuple(keys), blake2b(common_settings.encode(), digest_size=6).hexdigest())


def load(path: str | Path) -> FleetFile:
    """Read and validate a file; raises FleetFileError, also where it cannot be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FleetFileError([f"cannot read {path}: {error}"]) from error
    return parse(text, Path(path).parent)
