#!/bin/sh
# Builds the stand-ins that the cases start: the review's own and the project's.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q bamboospring/testing review
