#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15, after the build of the deploy file.
#
# They are in lib-3/ and in the cases, and use nothing but the dependencies that the
# build put into target/deps.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/aiohttp || { echo "run deploy/build.sh first" >&2; exit 1; }
PYTHONPATH=../target/deps:lib-3 python3 -c "import harness"
for case in 11 12 13 14 15; do
    [ ! -f "$case/case.py" ] || python3 -m py_compile "$case/case.py"
done
