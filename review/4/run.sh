#!/usr/bin/env bash
# Plays case 4; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-standins-2 stop-with-queue review/4/record.txt
