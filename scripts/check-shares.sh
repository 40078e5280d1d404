#!/usr/bin/env bash
# The fault soak stays under a tenth of all Go lines, generated code aside. Tests
# have no cap.
set -euo pipefail
cd "$(dirname "$0")/.."
all=$(git ls-files '*.go' | grep -v '^gen/' | xargs cat | wc -l)
soak=$(git ls-files '*.go' | { grep -i soak || true; } | xargs -r cat | wc -l)
echo "$soak of $all lines of Go are the soak"
[ $((soak * 10)) -le "$all" ] || { echo "the soak is over a tenth"; exit 1; }
