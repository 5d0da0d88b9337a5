#!/bin/sh
# Installs the dependencies if their lists changed, and copies the project's packages.
#
# The directory is prepared beside the one in use and takes its place in one step, so a
# process that starts during a build finds all modules. A build that fails changes nothing.
set -eu
packages="damasksaddle damasksaddle_protocol damasksaddle_node damasksaddle_gateway damasksaddle_platform"
sources="packages/core/src/damasksaddle packages/protocol/src/damasksaddle_protocol packages/node/src/damasksaddle_node packages/gateway/src/damasksaddle_gateway platform/src/damasksaddle_platform"
deps=target/deps
# Builds that run at the same time do not share it.
new=target/deps.$$
trap 'rm -rf "$new"' EXIT
trap 'exit 1' HUP INT TERM

# Exchanges two directories. POSIX has no such command: rename(2) does not replace a
# directory that has files, and with two renames there would be none in between.
exchange() {
    python3 - "$1" "$2" <<'END'
import ctypes
import os
import sys

AT_FDCWD = -100
RENAME_EXCHANGE = 2
first, second = (path.encode() for path in sys.argv[1:])
libc = ctypes.CDLL(None, use_errno=True)
if libc.renameat2(AT_FDCWD, first, AT_FDCWD, second, RENAME_EXCHANGE):
    raise OSError(ctypes.get_errno(), os.strerror(ctypes.get_errno()))
END
}

rm -rf "$new"
mkdir -p "$new"
if [ -d "$deps" ] && cmp -s requirements.txt target/requirements.txt && cmp -s constraints.txt target/constraints.txt; then
    # With the times of the files, so that compiled modules stay valid.
    cp -Rp "$deps/." "$new/"
    for package in $packages; do
        rm -rf "${new:?}/$package"
    done
else
    python3 -m pip install -q --disable-pip-version-check --target "$new" -c constraints.txt -r requirements.txt
fi
# shellcheck disable=SC2086
cp -Rp $sources "$new/"
if [ -d "$deps" ]; then
    exchange "$new" "$deps"
else
    mv "$new" "$deps"
fi
cp requirements.txt constraints.txt target/
