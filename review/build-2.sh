#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are
# Python modules and use only the libraries in target/deps, which the deploy
# file's build installs; this compiles them into a folder of its own.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m compileall -q \
    bamboospring/testing review/estate_2.py review/5 review/6
