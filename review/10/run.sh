#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the balancer is not held up.
# Writes record.txt in this folder: what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=review/cast .venv/bin/python -c "import stage" || exit 2
PYTHONPATH=review/cast exec .venv/bin/python review/10/case.py
