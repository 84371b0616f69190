#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: the project's own emulator, whose
# libraries are those of the deploy file's build (target/deps).
set -eu
cd "$(dirname "$0")/.."
target=target/review-3
rm -rf "$target"
mkdir -p "$target"
cp -r packages/emulator/swifthoist_emulator "$target/"
find "$target" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$target"
