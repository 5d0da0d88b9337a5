#!/bin/sh
# Builds what the scripts start beside the gateway: only stand-ins of review/lib, which
# use the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
