#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: the project's own
# emulator, beside which review/standin/ holds what the cases add. Run it after
# the build of the deploy file (deploy/build.sh); it needs no network.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/swifthoist_instance ] || {
    echo "run deploy/build.sh first" >&2
    exit 1
}
rm -rf target/review
mkdir -p target/review
cp -r packages/emulator/swifthoist_emulator target/review/
cp -r review/standin target/review/standin
find target/review -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review
