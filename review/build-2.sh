#!/bin/sh
# Checks that the stand-ins of the second review can start. They are Python modules that
# need only the packages which the deploy file's build puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c '
import ast
import pathlib
import sys

sys.path.insert(0, "review/lib-2")
import fleet

for path in pathlib.Path("review").glob("*/case.py"):
    ast.parse(path.read_text())
'
