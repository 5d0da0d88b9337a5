#!/bin/sh
# Runs the case in the directory $1; exits with 2 if it cannot run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c 'import aiohttp, damasksaddle_platform' || exit 2
exec python3 "$1/case.py"
