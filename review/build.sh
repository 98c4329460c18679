#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python sources, and use
# the libraries that the build of the deploy file puts under target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.keyvalue, review.harness.fleet'
