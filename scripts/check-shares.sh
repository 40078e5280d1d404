#!/usr/bin/env bash
# Tests stay under a third of all Go lines, generated code aside.
set -euo pipefail
cd "$(dirname "$0")/.."
all=$(git ls-files '*.go' | grep -v '^gen/' | xargs cat | wc -l)
tests=$(git ls-files '*_test.go' | xargs -r cat | wc -l)
echo "$tests of $all lines of Go are tests"
[ $((tests * 3)) -le "$all" ] || { echo "tests are over a third"; exit 1; }
