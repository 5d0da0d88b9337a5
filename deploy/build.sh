#!/bin/sh
# Installs the dependencies if their lists changed, and copies the project's packages.
set -eu
deps=target/deps
mkdir -p "$deps"
if ! cmp -s requirements.txt target/requirements.txt || ! cmp -s constraints.txt target/constraints.txt; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -c constraints.txt -r requirements.txt
    cp requirements.txt constraints.txt target/
fi
for package in damasksaddle damasksaddle_protocol damasksaddle_node damasksaddle_gateway damasksaddle_platform; do
    rm -rf "${deps:?}/$package"
done
cp -r packages/core/src/damasksaddle packages/protocol/src/damasksaddle_protocol packages/node/src/damasksaddle_node packages/gateway/src/damasksaddle_gateway platform/src/damasksaddle_platform "$deps/"
