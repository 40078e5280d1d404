#!/usr/bin/env bash
# Fails if a client reads responses with http.Transport alone, which takes invalid heads and, during uploads, parts of
# bodies: clients use package httpclient, or upstream.
set -euo pipefail
cd "$(dirname "$0")/.."

found=$(git grep -nE 'http\.(Transport\{|DefaultClient|DefaultTransport|Get\(|Head\(|Post\(|PostForm\(|ReadResponse\()' -- \
  '*.go' ':!*_test.go' ':!review' ':!internal/httpclient' ':!internal/upstream' |
  grep -v 'httpclient\.New(&http\.Transport{' || true)
if [ -n "$found" ]; then
  echo "responses that aren't checked:" >&2
  echo "$found" >&2
  exit 1
fi
