#!/bin/sh
# Builds the stand-ins of the cases.  They use the standard library only, so this compiles them with the
# interpreter of the deploy file's build; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review/build.sh: run the line build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
