#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec env PYTHONPATH=../lib python3 case.py
