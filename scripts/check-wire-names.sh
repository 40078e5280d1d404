#!/usr/bin/env bash
# The platform's names stay in platform/: no other Go file holds one.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Expect-Instance|Instance-Id|Not-Executed|Server-Signature|Deadline-Ms|Token-Count|Prefix-Hash'
names+='|Length-Hint|Request-Priority|Kv-From|Kv-Backup|Kv-Fetch|Pin-Ms|Expect-Version|Weight-Versions'
names+='|kv-range|kv-watch|kv-key|kv-move|kv-handle|op/config|servers/|/-/report|/-/readyz|BRIDGEHOIST_BOOT'
names+='|Store-Era|HeartbeatMs|Server-Limit|Server-Leaving|SinceRevision|NodeName|RouteType|KvCapacity|ApiKeys|ControlPlane|TargetVersion|KvHandle'
found=$(git ls-files '*.go' | grep -v '^platform/' | xargs grep -nE "$names" || true)
[ -z "$found" ] || { echo "the platform's names outside platform/:"; echo "$found"; exit 1; }
