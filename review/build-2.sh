#!/bin/sh
# Builds the stand-ins that the scripts of this review start: the project's own
# emulator. It needs what deploy/build.sh put under target/deps, and no network.
set -eu
cd "$(dirname "$0")/.."
built=target/review-2
rm -rf "$built"
mkdir -p "$built"
cp -r packages/emulator/swifthoist_emulator "$built/"
find "$built" -name __pycache__ -prune -exec rm -rf {} +
PYTHONPATH="target/deps:$built" python3 -m compileall -q "$built"
PYTHONPATH="target/deps:$built" python3 -c 'import swifthoist_emulator.serving'
