"""A toy client: opens a connection through the balancer, sends two lines, and retries when refused.

python example/toy_client.py [HOST:PORT [TENANT]]
"""

from __future__ import annotations

import socket
import sys
import time

MAX_ATTEMPTS = 30


def attempt(host: str, port: int, request_id: int, tenant: str) -> float | None:
    """Make one attempt; returns the seconds until the next one, or None if it was served."""
    with socket.create_connection((host, port), 5.0) as sock, sock.makefile("rwb") as lines:
        lines.write(b"OPEN %d truck-12 c=feed,t=%s,d=1200,g=trucks\r\n" % (request_id, tenant.encode()))
        lines.flush()
        answer = lines.readline().decode().split()
        print(" ".join(answer), flush=True)
        if answer[:1] != ["UP"]:
            return float(answer[1]) / 1000.0 if answer[:1] == ["BUSY"] and answer[1:] else 0.5
        for line in (b"hello\r\n", b"bye\r\n"):
            lines.write(line)
            lines.flush()
            print(lines.readline().decode().strip(), flush=True)
    return None


def main() -> int:
    host, _, port = (sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:8081").rpartition(":")
    tenant = sys.argv[2] if len(sys.argv) > 2 else "demo"
    for request_id in range(1, MAX_ATTEMPTS + 1):
        retry_after_s = attempt(host, int(port), request_id, tenant)
        if retry_after_s is None:
            return 0
        time.sleep(retry_after_s)
    return 1


if __name__ == "__main__":
    sys.exit(main())
