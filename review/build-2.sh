#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python without libraries, so this only compiles them.
cd "$(dirname "$0")/.." || exit 2
for folder in review/cast review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || .venv/bin/python -m compileall -q "$folder" || exit 1
done
