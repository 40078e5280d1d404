#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins-2 ./review/standins-2
