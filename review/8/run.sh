#!/usr/bin/env bash
# Plays case 8; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-standins-2 readers-restarted review/8/record.txt
