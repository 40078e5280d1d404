#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The gateway comes from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
