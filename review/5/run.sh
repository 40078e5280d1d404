#!/usr/bin/env bash
# Plays case 5; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-standins-2 not-an-answer review/5/record.txt
