#!/bin/sh
# TROUBLE=0 leaves the disruption out (see review/estate_2.py).
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" \
    exec timeout 120 python3 -S -m "review.$case.case"
