"""The program as a process, its configuration and its signals."""

from __future__ import annotations

import ast
import fcntl
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from types import TracebackType
from typing import IO, Any

import pytest
from wire import SETTINGS, World, address_of, open_listener

from snowwick.broker import contract as contracts
from snowwick.config import BadConfig, check, load

ROOT = Path(__file__).parent.parent
# What the decision module may import: nothing for sockets, files, processes, threads or clocks
DECISION_IMPORTS = {
    "__future__",
    "bisect",
    "collections",
    "collections.abc",
    "crowgap",
    "dataclasses",
    "enum",
    "hashlib",
    "math",
    "random",  # for seeded generators only
    "typing",
}
GOOD: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}


class Process(subprocess.Popen[str]):
    """A process that is killed if the test fails; ``Popen`` would wait for it and block the test run."""

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if error_type is not None:
            self.kill()
        super().__exit__(error_type, error, trace)


def python(*arguments: str, **environment: str) -> Process:
    return Process(
        [sys.executable, *arguments],
        cwd=ROOT,
        text=True,
        env={**os.environ, **environment},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def program(path: Path, command: str = "serve", **environment: str) -> Process:
    return python("-m", "snowwick", command, GW_CONFIG=str(path), **environment)


def address_in(stream: IO[str] | None) -> str:
    """Return the address at the end of the next line, which a program prints once it serves."""
    assert stream is not None
    return stream.readline().split()[-1]


def test_drain_moves_all_clients_and_answers_late_requests(tmp_path: Path) -> None:
    """SIGKILL follows 0.7 s after SIGTERM and the longest deadline; connections open by then are lost."""
    servers, path = open_listener(), tmp_path / "config.json"
    servers.settimeout(5.0)
    known = {"version": 1, "full": True, "servers": [World.list_entry("s-1", servers)]}
    path.write_text(json.dumps({**GOOD, "known": known}))
    with program(path) as process:
        address_parts = address_in(process.stderr).split(":")
        client = socket.create_connection((address_parts[0], int(address_parts[1])), 5.0)
        client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=n\r\n")
        destination = servers.accept()[0]
        destination.settimeout(5.0)
        assert destination.recv(4096).startswith(b"OPEN 1 k1 d=")
        destination.sendall(b"UP r\r\n")
        assert client.recv(4096) == b"UP r\r\n"
        process.send_signal(signal.SIGTERM)
        terminated_at = time.monotonic()
        late_client = socket.create_connection((address_parts[0], int(address_parts[1])), 5.0)
        assert client.recv(4096) == b"MOVE\r\n" and client.recv(4096) == b""
        assert destination.recv(4096) == b""
        late_client.sendall(b"OPEN 2 k2 d=1200,c=feed,t=n\r\n")
        assert late_client.recv(4096).startswith(b"BUSY ")
        for sock in (client, destination, late_client, servers):
            sock.close()
        assert process.wait(10.0) == 0
        assert time.monotonic() - terminated_at < 1.9


@pytest.mark.parametrize(
    "change,key",
    [
        ({"listen": None}, "listen"),
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "a:b"}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "settings"),
        ({"settings": []}, "settings"),
        ({"settings": {"classes": [{"name": "x"}]}}, "settings.*deadline"),
        ({"settings": {"classes": [{"name": "x", "deadline": "soon"}]}}, "settings"),
        ({"settings": {**SETTINGS, "familyInfo": 3}}, "settings"),
        ({"limits": 5}, "limits"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"seed": 1.5}, "seed"),
        ({"known": {"version": 1}}, "known.servers"),
        *[
            ({"settings": {**SETTINGS, "nInstances": bad}}, "settings.nInstances: ")
            for bad in (0, -1, "40", 2.5, True)
        ],
        *[
            ({"settings": {**SETTINGS, "nInstances": 2, "selfIndex": bad}}, "settings.selfIndex: ")
            for bad in (2, -1, "0", None)
        ],
        ({"name": 7}, "name"),
    ],
)
def test_bad_configuration_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(BadConfig, match=f"^{key}"):
        check({**GOOD, **change})


def test_environment_overrides_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    loaded = load({"GW_CONFIG": str(path), "GW_NAME": "n3", "GW_LISTEN": "127.0.0.2:9"})
    assert (loaded.name, loaded.listen, loaded.discovery) == ("n3", ("127.0.0.2", 9), ("127.0.0.1", 1))
    with pytest.raises(BadConfig, match="GW_CONFIG"):
        load({})


def test_bad_configuration_ends_the_program_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"listen": "127.0.0.1:0"}')
    with program(path) as process:
        _, output = process.communicate(timeout=20.0)
    assert process.returncode == 2 and output.count("\n") == 1 and "settings" in output


def test_address_in_use_is_named(tmp_path: Path) -> None:
    occupied, path = open_listener(), tmp_path / "config.json"
    path.write_text(json.dumps({**GOOD, "listen": address_of(occupied)}))
    with program(path) as process:
        _, output = process.communicate(timeout=20.0)
    occupied.close()
    assert process.returncode != 0 and output.startswith("snowwick: listen") and "Traceback" not in output


def serves_until_terminated(process: subprocess.Popen[str], address_parts: list[str]) -> None:
    """Check that the process still answers and exits with code 0 on SIGTERM, although a SIGHUP follows."""
    with socket.create_connection((address_parts[0], int(address_parts[1])), 5.0) as client:
        client.sendall(b"PING\r\n")
        assert client.recv(4096) == b"PONG\r\n"
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)  # a second SIGTERM has no further effect
    assert process.wait(10.0) == 0


def test_hangup_signal_reloads_the_file_and_does_not_end_the_process(tmp_path: Path) -> None:
    """By default SIGHUP ends a process, and with it the balancer at each new configuration."""
    path, new_discovery = tmp_path / "config.json", open_listener()
    path.write_text(json.dumps(GOOD))
    # The variable applies to the start only; the replaced file takes precedence after a reload.
    with program(path, GW_DISCOVERY="127.0.0.1:1") as process:
        address_parts = address_in(process.stderr).split(":")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert "not JSON" in process.stderr.readline()
        path.write_text(json.dumps({**GOOD, "discovery": address_of(new_discovery)}))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        new_discovery.settimeout(5.0)
        call, _ = new_discovery.accept()
        call.settimeout(5.0)
        assert call.recv(4096).startswith(b"GET /v1/endpoints HTTP/1.1\r\n")
        serves_until_terminated(process, address_parts)
        call.close()
        new_discovery.close()


def ignores_hangup(pid: int) -> bool:
    ignored_mask = re.search(r"SigIgn:\s*([0-9a-f]+)", Path(f"/proc/{pid}/status").read_text())
    return ignored_mask is not None and bool(int(ignored_mask[1], 16) & 1)


def test_hangup_signal_during_the_start_neither_ends_the_process_nor_is_lost(tmp_path: Path) -> None:
    """SIGHUP is sent to all balancers at once, also to those that are just starting."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    path, new_discovery = tmp_path / "config.json", open_listener()
    path.write_text(json.dumps(GOOD))
    command = run.replace(".venv/bin/python", sys.executable)
    log = tmp_path / "log"
    with (
        log.open("w") as sink,
        subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stderr=sink, env={**os.environ, "GW_CONFIG": str(path)}
        ) as process,
    ):
        try:
            deadline = time.monotonic() + 20.0
            while not ignores_hangup(process.pid):
                assert time.monotonic() < deadline and process.poll() is None
            path.write_text(json.dumps({**GOOD, "discovery": address_of(new_discovery)}))
            while "serving" not in log.read_text() and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                assert process.poll() is None, f"the process died: {log.read_text()}"
            new_discovery.settimeout(10.0)
            call, _ = new_discovery.accept()
            call.close()
        finally:
            process.kill()
    new_discovery.close()


@pytest.mark.parametrize(
    "text,fault",
    [
        ("", "is not JSON"),
        (json.dumps(GOOD)[:-40], "is not JSON"),
        ("[]", "must hold an object"),
        (json.dumps({"listen": "127.0.0.1:0"}), "settings"),
    ],
)
def test_reload_of_a_faulty_file_changes_nothing_and_names_the_fault(
    tmp_path: Path, text: str, fault: str
) -> None:
    """A file that is being written when the signal arrives is empty or truncated."""
    path, discovery = tmp_path / "config.json", open_listener()
    discovery.settimeout(5.0)
    path.write_text(json.dumps({**GOOD, "discovery": address_of(discovery)}))
    with program(path) as process:
        address_parts = address_in(process.stderr).split(":")
        call, _ = discovery.accept()  # a call is in progress when the signals arrive
        path.write_text(text)
        assert process.stderr is not None
        process.send_signal(signal.SIGHUP)
        output = process.stderr.readline()
        process.send_signal(signal.SIGHUP)
        assert fault in output and "the old configuration stays" in output
        assert fault in process.stderr.readline()
        serves_until_terminated(process, address_parts)
        call.close()
        discovery.close()


def test_log_reader_that_stops_reading_does_not_block_the_service(tmp_path: Path) -> None:
    """Once the pipe is full (after some 1,300 answers), a blocking write would stop the service."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with program(path) as process:
        address_parts = address_in(process.stderr).split(":")
        assert process.stderr is not None
        fcntl.fcntl(process.stderr, fcntl.F_SETPIPE_SZ, 4096)  # one page, full after some fifty lines
        for number in range(200):
            with socket.create_connection((address_parts[0], int(address_parts[1])), 5.0) as client:
                client.sendall(b"OPEN %d k d=1200,c=nobody\r\n" % number)
                assert client.recv(4096) == b"ERR\r\n", number
        output = os.read(process.stderr.fileno(), 65536)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10.0) == 0
        output += process.stderr.read().encode()
        counts = [int(text) for text in re.findall(rb"^log: (\d+) lines left out$", output, re.M)]
        assert sum(counts) + output.count(b" garbled ") >= 200 and sum(counts) > 100, output


def test_json_log_prints_each_event_as_an_object_with_its_fields(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with program(path, SNOWWICK_LOG_FORMAT="json") as process:
        assert process.stderr is not None
        first = json.loads(process.stderr.readline())
        host, port = first["address"].split(":")
        with socket.create_connection((host, int(port)), 5.0) as client:
            client.sendall(b"OPEN {x} k d=1\r\n")
            assert client.recv(4096) == b"ERR\r\n"
        process.terminate()
        events = [first, *map(json.loads, process.stderr.read().splitlines())]
    assert {"serving", "connection-ended", "ending"} <= {event["event"] for event in events}
    ended = next(event for event in events if event["event"] == "connection-ended")
    assert (ended["id"], ended["reason"], ended["balancer"]) == ("{x}", "garbled", "balancer")


def test_example_configuration_is_valid(tmp_path: Path) -> None:
    with program(ROOT / "example" / "config.json", "check-config") as process:
        output, _ = process.communicate(timeout=20.0)
    assert process.returncode == 0 and "listen 127.0.0.1:8081" in output


def test_example_serves_as_the_readme_says() -> None:
    with python("example/toy_server.py", "--discovery", "127.0.0.1:0") as toy:
        with program(
            ROOT / "example" / "config.json", GW_LISTEN="127.0.0.1:0", GW_DISCOVERY=address_in(toy.stdout)
        ) as process:
            with python("example/toy_client.py", address_in(process.stderr)) as client:
                output, _ = client.communicate(timeout=60.0)
            process.terminate()
            assert process.wait(10.0) == 0
        toy.terminate()
    assert client.returncode == 0 and output.splitlines()[-2:] == ["hello", "BYE"]


def test_two_team_example_enforces_the_contract_of_the_smaller_team() -> None:
    with python("example/toy_server.py", "--discovery", "127.0.0.1:0") as toy:
        with program(
            ROOT / "example" / "two-teams.json",
            GW_LISTEN="127.0.0.1:0",
            SNOWWICK_CONTRACTS="example/contracts.toml",
            GW_DISCOVERY=address_in(toy.stdout),
        ) as process:
            balancer_address, outputs = address_in(process.stderr), []
            for tenant in ("depot", "retail", "retail", "depot"):
                with python("example/toy_client.py", balancer_address, tenant) as client:
                    outputs.append(client.communicate(timeout=60.0)[0].splitlines())
            process.terminate()
            assert process.wait(10.0) == 0
        toy.terminate()
    assert all(lines[-1] == "BYE" for lines in outputs)
    assert outputs[2][0].startswith("BUSY ") and outputs[2][1].startswith(
        "UP "
    )  # refused with a retry delay, then admitted
    assert outputs[3][0].startswith("UP ")


def imports(path: Path) -> set[str]:
    """Return the modules that a source file imports anywhere."""
    modules = set[str]()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            modules.add("." * node.level + (node.module or ""))
    return modules


def test_deploy_file_names_existing_paths_and_commands() -> None:
    """Operators start and measure what this file names.

    Its decision module may import nothing that does I/O or reads a clock.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (ROOT / path).exists(), path
    contracts.load(ROOT / "deploy" / "contracts.toml")
    for path in deploy["policy"]:
        assert imports(ROOT / path) <= DECISION_IMPORTS, path
    run = deploy["run"].partition("exec ")[2].split()  # the part before it is run by the shell itself
    assert run[-1] == "serve"
    with python(*run[1:-1], "version") as process:
        assert "snowwick" in process.communicate(timeout=20.0)[0]
    with python(*deploy["sim"].split()[2:]) as process:
        assert process.communicate('{"moment":1.0,"input":[]}\n', timeout=20.0)[0] == '{"out":[]}\n'


def test_process_of_a_failing_test_is_killed(tmp_path: Path) -> None:
    """A test that fails in the middle must not wait forever for its process."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with pytest.raises(AssertionError), program(path) as process:
        address_in(process.stderr)
        raise AssertionError
    assert process.returncode == -signal.SIGKILL
