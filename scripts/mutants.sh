#!/usr/bin/env bash
# Switches off, in a scratch copy and one at a time, the mechanisms behind the
# promises, and runs the tests that must then fail. Exits 1 if one stays green.
# An argument runs only those whose name begins so.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
green=0
only=${1:-}

mutant() { # PROMISE FILE SED PACKAGES
  local promise=$1 file=$2 expr=$3 packages=$4
  case $promise in "$only"*) ;; *) return ;; esac
  rm -rf "$scratch/copy"
  mkdir -p "$scratch/copy"
  git ls-files -z | xargs -0 cp --parents -t "$scratch/copy"
  sed -i "$expr" "$scratch/copy/$file"
  if cmp -s "$file" "$scratch/copy/$file"; then
    echo "STALE  $promise: the edit no longer applies to $file"
    green=1
    return
  fi
  if ! (cd "$scratch/copy" && go build ./... >"$scratch/out" 2>&1); then
    echo "BROKEN $promise: the edit doesn't build"
    green=1
    return
  fi
  # shellcheck disable=SC2086
  if (cd "$scratch/copy" && timeout 180 go test -count=1 $packages >"$scratch/out" 2>&1); then
    echo "GREEN  $promise: $file: $expr"
    green=1
  else
    echo "red    $promise: $file: $expr ($(grep -m1 -oE -- '--- FAIL: [A-Za-z]+|\[FAIL\].{0,60}|panic: .{0,60}' "$scratch/out"))"
  fi
}

P=./internal/proof
mutant "one generation: foreign chunks taken" pkg/stream/stream.go 's/if a.bound \&\& c.Generation != a.generation {/if false {/' ./pkg/stream
mutant "one generation: duplicates taken" pkg/stream/stream.go 's/if c.Index < a.nextIndex {/if false {/' ./pkg/stream
mutant "one generation: reset after release" pkg/stream/stream.go 's/if a.released > 0 {/if false {/' ./pkg/stream
mutant "own answer: replies not matched" internal/engineclient/engineclient.go 's/got != "" \&\& got != requestID/got == "\\n"/' ./internal/engineclient
mutant "not run: any failure counts as proof" pkg/retry/retry.go 's/return f == NotSent || f == RefusedBeforeExecution/return true/' ./pkg/retry
mutant "not run: connected counts as not sent" internal/engineclient/engineclient.go '/^func (c \*Client) send/,/^}/s/retry.LinkLost/retry.NotSent/' ./internal/engineclient
mutant "at most once: records not kept" pkg/claims/claims.go 's/if r := l.records\[key\]; r != nil {/if r := l.records[key]; false {/' "$P ./pkg/claims"
mutant "at most once: refusals not burnt" pkg/claims/claims.go 's/^\tr.phase = finished$/\tr.phase = finished\n\tif err != nil \&\& err.Outcome == outcome.NotRun {\n\t\tdelete(l.records, key)\n\t}/' "$P"
mutant "at most once: old owner not frozen" pkg/claims/handover.go 's/func (l \*Ledger) Freeze() { l.frozen = true }/func (l *Ledger) Freeze() {}/' "$P ./pkg/claims"
mutant "at most once: handover adopted again" pkg/claims/handover.go 's/if l.adopted\[incarnation\] {/if l.HasAuthority(incarnation) {/' ./pkg/claims
mutant "at most once: handover taken by any process" pkg/claims/handover.go 's/if !bytes.Equal(msg.GetToIncarnation(), l.cfg.Incarnation\[:\]) {/if bytes.Equal(msg.GetToIncarnation(), nil) {/' "$P ./pkg/claims"
mutant "at most once: expired tickets run" pkg/claims/claims.go 's/if auth.age(now, t.MintedMS) > l.cfg.Validity {/if false {/' "$P ./pkg/claims"
mutant "at most once: signature not checked" pkg/claims/claims.go 's/if !hmac.Equal(t.mac, /if hmac.Equal(nil, /' ./pkg/claims
mutant "leaving: a stale list brings back" pkg/drain/drain.go 's/return ok \&\& incarnation <= leave/return ok \&\& incarnation < leave/' "$P"
mutant "leaving: not told to peers" internal/proof/world_test.go 's/added := n.drains.Add(drain.Leave/added := drain.New().Add(drain.Leave/' "$P"
mutant "revision: adopted whatever its order" pkg/register/register.go 's/if rev <= r.highest {/if false {/' "$P ./pkg/register"
mutant "orders: planned against a newer number" pkg/fencing/fencing.go 's/if r.Fencing > uint64(snapshot.Revision) || converged/if converged/' ./pkg/fencing
stop="./internal/e2e -run TestPlannedStop"
mutant "planned stop: open requests cut" internal/entry/lifecycle.go 's/err := s.callers.Drain(drain)/err := s.callers.Close()/' "$stop"
mutant "planned stop: tickets not handed over" internal/entry/lifecycle.go 's/^\te.handOver(drain)$/\t_ = e.handOver/' "$stop"
mutant "planned stop: runs begin after it" internal/owner/owner.go 's/(o.stopping || /(false || /' ./internal/owner
mutant "planned stop: responses to peers are cut" internal/entry/lifecycle.go 's/if s.peers.Drain(drain) != nil {/if true {/' "./internal/entry -run BeforeTheStopEnds"
mutant "planned stop: forwarded requests have no outcome" internal/peering/server.go 's/shutdown.Abortable(ctx, s.open)/shutdown.Abortable(ctx, context.Background())/' "./internal/peering -run AtTheStopOfTheOwner"
mutant "peers: handovers use kept connections" internal/peering/remote.go '/^func (c \*Client) handOverTo/,/^}/s/^\tc.cfg.HTTP.CloseIdleConnections()$//' "./internal/peering -run CallsOnKept"
mutant "peers: forwarded requests end with their connection" internal/peering/remote.go 's/ \&\& !relay.reused.Load() {/ {/' "./internal/peering -run CallsOnKept"
mutant "silent connections: replaced one by one" internal/peering/client.go 's/if reused {/if false {/' "./internal/peering -run TestOneTimeout"
dg="./internal/gateway -run Delegated|AnotherPeer"
mutant "delegation: delegated again" internal/gateway/delegation.go 's/if delegationOf(r.Context()) != nil ||/if/' "$dg"
mutant "delegation: uncertain outcomes tried elsewhere" internal/peering/delegation.go 's/case !connected, connect.CodeOf/case true, connect.CodeOf/' ./internal/peering
mutant "delegation: one peer only" internal/gateway/delegation.go 's/maxDelegates = 3/maxDelegates = 1/' "$dg"
mutant "delegation: planned stop doesn't wait" internal/gateway/listen.go 's/^\tg.awaitDelegated(open)$/\t_ = open/' "$dg"
mutant "delegation: no bound" internal/gateway/delegation.go 's/make(chan struct{}, g.cfg.MaxDelegated)/make(chan struct{}, 1000+g.cfg.MaxDelegated)/' "$dg"
mutant "delegation: off" internal/gateway/delegation.go 's/g.cfg.Without.has(mechDelegation) {/true {/' "./internal/gateway -run TestEntriesPartitioned"
mutant "reachability: probed by requests only" internal/gateway/reachability.go 's/probesPerTarget = 2/probesPerTarget = 0/' "./internal/gateway -run TestAnEntryIsReadyAgain"
mutant "reachability: failing endpoints probed" pkg/scheduler/reachability.go 's/ || !s.any(target, s.disconnected) {/ {/' "./pkg/scheduler -run TestOnlyDisconnected"
mutant "reachability: a connection proves any endpoint" pkg/retry/breaker.go 's/^\tif b.Unreachable() {/\tif b.open {/' "./pkg/retry -run TestConnectionCloses"
mutant "limits: small uses not told" pkg/limits/limits.go 's/max(n+c.peerUsage(k), n\*c.entries)/n+c.peerUsage(k)/' ./pkg/limits
mutant "urgent: no overcommit" pkg/scheduler/versions.go 's/c.UrgentOvercommit = true/c.UrgentOvercommit = false/' ./pkg/scheduler
mutant "parts: news needed" pkg/scheduler/versions.go 's/c.PartitionMemory = true/c.PartitionMemory = false/' ./pkg/scheduler
mutant "moves: nothing moved that begins late" internal/gateway/parts.go 's/g.evacuator.GenerationStarted(g.work, at)//' "./internal/gateway -run TestGenerations"
mutant "moves: stopped while the link is busy" internal/evacuate/move.go 's/if !e.cfg.Disabled.CopyRefresh {/if false {/' "./internal/gateway -run TestAGeneration"
mutant "moves: no slack between copies" pkg/evacuation/evacuation.go 's/{80 \* time.Millisecond, 40 \* time.Millisecond, 0}/{0}/' ./pkg/evacuation
mutant "moves: links of targets not counted" pkg/evacuation/evacuation.go 's/^\tbest.busyUntil = end$//' ./pkg/evacuation
U="./pkg/scheduler ./pkg/routing -run Gap|LongAnswers|AnswersAreLong|Alike|Disturb|RareSort|UnknownSpeed|BoundedRate|Proportion|JudgedBySpeed|WeighedAgainst|EarliestStart|Backlog|Tier"
mutant "placement: no tiers" pkg/scheduler/versions.go 's/c.Pipeline = c.Pipeline.WithGapObjective()/c.Pipeline.Tiers = nil/' "$U"
mutant "placement: one speed for all" pkg/scheduler/expected_start.go 's/return s.cfg.EngineSpeed \&\& s.cfg.PrefillRate > 0/return false/' "$U"
mutant "placement: backlog in tokens" pkg/routing/gap.go 's/b.ScaleTime = scale/_ = scale/' "$U"
mutant "placement: short answers take what long ones need" pkg/routing/gap.go 's/if c.MeetsGap || !c.StartsWithMargin/if false/' "$U"
mutant "placement: streams disturbed" pkg/routing/gap.go 's/if c.DisturbsStreams {/if false {/' "$U"
mutant "placement: peers' streams not protected" pkg/scheduler/gap_objective.go 's/if e.peersRunning > 0 {/if false {/' "$U"
mutant "placement: removed objectives kept" pkg/scheduler/gap_objective.go 's/if g.byRow\[row\] == maxGap {/if maxGap == 0 || g.byRow[row] == maxGap {/' "$U"
mutant "placement: rare engines not looked for" pkg/scheduler/gap_objective.go 's/if gaps == routing.AnyGaps || len(s.isolated) > 0/if true || len(s.isolated) > 0/' "$U"
mutant "placement: startScale 3450" pkg/scheduler/versions.go 's/startScale = 1150/startScale = 3450/' "$U"
mutant "placement: startScale 383" pkg/scheduler/versions.go 's/startScale = 1150/startScale = 383/' "$U"
mutant "placement: gapSafety 2.7" pkg/scheduler/gap_objective.go 's/\(gapSafety *= \)0.9/\12.7/' "$U"
mutant "placement: gapSafety 0.3" pkg/scheduler/gap_objective.go 's/\(gapSafety *= \)0.9/\10.3/' "$U"
mutant "placement: longAnswerTime 6 s" pkg/scheduler/gap_objective.go 's/\(longAnswerTime *= \)2 \*/\16 */' "$U"
mutant "placement: longAnswerTime 667 ms" pkg/scheduler/gap_objective.go 's/\(longAnswerTime *= \)2 \*/\10.667e9 + 0 */' "$U"
mutant "placement: minGapRatio 3.6" pkg/scheduler/gap_objective.go 's/\(minGapRatio *= \)1.2/\13.6/' "$U"
mutant "placement: minGapRatio 0.4" pkg/scheduler/gap_objective.go 's/\(minGapRatio *= \)1.2/\10.4/' "$U"
mutant "placement: preferredStartMargin 2.1 s" pkg/scheduler/gap_objective.go 's/\(preferredStartMargin *= \)2 \*/\16 */' "$U"
mutant "placement: preferredStartMargin 233 ms" pkg/scheduler/gap_objective.go 's/\(preferredStartMargin *= \)2 \*/\1233 * time.Millisecond + 0 */' "$U"
mutant "placement: maxCandidateSpeedAge 60 ms" pkg/scheduler/expected_start.go 's/\(maxCandidateSpeedAge *= \)20 /\160 /' "$U"
mutant "placement: maxSpeedAge 600 ms" pkg/scheduler/expected_start.go 's/\(maxSpeedAge *= \)200 /\1600 /' "$U"
mutant "placement: maxSpeedAge 67 ms" pkg/scheduler/expected_start.go 's/\(maxSpeedAge *= \)200 /\167 /' "$U"
mutant "placement: localSortSample 12" pkg/scheduler/gap_objective.go 's/\(localSortSample *= \)4/\112/' "$U"
mutant "placement: localSortSample 1" pkg/scheduler/gap_objective.go 's/\(localSortSample *= \)4/\11/' "$U"
mutant "placement: sortSample 18" pkg/scheduler/gap_objective.go 's/\(\bsortSample *= \)6/\118/' "$U"
mutant "placement: sortSample 2" pkg/scheduler/gap_objective.go 's/\(\bsortSample *= \)6/\12/' "$U"
mutant "placement: explorationShare 3.0" pkg/scheduler/gap_objective.go 's/\(explorationShare *= \)1.0 /\13.0 /' "$U"
mutant "placement: explorationShare 0.333" pkg/scheduler/gap_objective.go 's/\(explorationShare *= \)1.0 /\10.333 /' "$U"
mutant "placement: avoidGapsLocalityWeight 0.3" pkg/routing/gap.go 's/\(avoidGapsLocalityWeight *= \)0.1/\10.3/' "$U"
mutant "placement: avoidGapsLocalityWeight 0.033" pkg/routing/gap.go 's/\(avoidGapsLocalityWeight *= \)0.1/\10.033/' "$U"
mutant "notices: others' prompts not counted" pkg/scheduler/versions.go 's/c.PrefillRate = DefaultPrefillRate/c.PrefillRate = 0/' ./pkg/scheduler
mutant "notices: not sent" internal/gateway/tell.go 's/if g.notices == nil || g.cfg.Without.has(mechNotices) {/if true {/' "./internal/gateway -run TestEntriesTellOfPrompts"
mutant "notices: refused prompts not told to be read" internal/relay/relay.go 's/^\tdefer read()$/\t_ = read/' "./internal/gateway -run TestEntriesTellThat"
mutant "notices: reading estimated" pkg/scheduler/versions.go 's/c.PrefillFromNotices = true/c.PrefillFromNotices = false/' ./pkg/scheduler
mutant "notices: unknown engines elsewhere used" pkg/scheduler/versions.go 's/c.RequireRemoteReports = true/c.RequireRemoteReports = false/' ./pkg/scheduler
mutant "notices: requests that wait not told" internal/peering/loads.go 's/toByte(rep.Waiting)/0/' ./internal/peering
mutant "notices: loads told to all" internal/notices/notices.go 's/recipients = append(recipients, peers\[pick(len(peers))\])/recipients = append(recipients, peers...)/' ./internal/notices
mutant "exchange: answers compressed" internal/peering/client.go 's/^const minCompressBytes = 64 << 10/const minCompressBytes = 1/' ./internal/peering
mutant "exchange: large tables not compressed" internal/peering/client.go 's/^const minCompressBytes = 64 << 10/const minCompressBytes = 64 << 20/' ./internal/peering
mutant "exchange: leaves repeated by all who hear" internal/peering/cluster_state.go 's/if r.GetDataCenter() != cs.view.Self().GetDataCenter() {/if true {/' ./internal/peering
mutant "starts: silent peers awaited" internal/controllers/catchup.go 's/peerSyncTimeout = 150 \* time.Millisecond/peerSyncTimeout = time.Hour/' ./internal/controllers
mutant "starts: store read though peers know" internal/controllers/catchup.go 's/if !c.Ready() {/if true {/' ./internal/controllers
mutant "starts: old copy believed to be new" platform/store.go 's/^\tout.Revision = newest$//' "./internal/gateway -run TestTheFirstStart"
mutant "notices: not bounded" internal/notices/notices.go 's/count := max(min(len(peers), limit-n.sentInSecond), 0)/count := len(peers)/' ./internal/notices
mutant "store: read while the view settles" internal/controllers/load_poller.go 's/if !pause.For(ctx, c.StartDelay)/if !pause.For(ctx, 0)/' ./internal/controllers
mutant "store: a pause after a deaf watch" internal/controllers/value_watcher.go 's/case err != nil \&\& wait > 0:/case false:/' "./internal/controllers -run TestFailedWatch"
mutant "store: deaf watches held on to" platform/published.go 's/WatchOverrun = 500 \* time.Millisecond/WatchOverrun = 2 * time.Second/' "./platform -run TestAWatch"
mutant "store: all watchers wait long" internal/controllers/value_watcher.go 's/c.MaxFirstWatcherWait == 0 || !c.role(now).First {/true || !c.role(now).First {/' "./internal/controllers -run TestFirstWatcher"
mutant "store: each change read alone" internal/controllers/value_watcher.go 's/pause.For(ctx, spacing)/pause.For(ctx, time.Millisecond)/' ./internal/controllers
mutant "store: second watchers ask as often" internal/controllers/value_watcher.go 's/^\treturn c.SecondaryWatchSpacing$/\treturn c.WatchSpacing/' ./internal/controllers
mutant "resume: the caller's event not passed on" platform/headers.go 's/if s.Resume {/if false {/' "./internal/gateway -run TestACallerResumes"
mutant "resume: broken streams not gone on with" pkg/retry/retry.go 's/a.Released > 0 \&\& !a.Resumable/a.Released > 0/' "./internal/gateway -run TestAResumable"
mutant "resume: run again for nobody" pkg/retry/retry.go 's/ || a.Failure == CallerGone {/ {/' ./pkg/retry
mutant "whole: a handoff takes any answer" internal/relay/pass.go 's/failure := unfit(resp, true)/failure := refused(resp)/' "./internal/gateway -run TestOnlyAStream"
mutant "whole: a repeat takes any answer" internal/relay/relay.go 's/unfit(resp, j.Delivered.HeaderSent)/unfit(resp, false)/' "./internal/gateway -run TestAnErrorAfter"
mutant "whole: a first copy's target may err" internal/relay/pass.go 's/failure := unfit(resp, true)/failure := unfit(resp, h.Stopped)/' "./internal/gateway -run TestTheTargetOf"
mutant "whole: a rest without events" internal/relay/pass.go 's/if p.state.HeaderSent \&\& p.state.Events.AwaitingContinuation() {/if false {/' "./internal/gateway -run TestOnlyAStream"
mutant "whole: another generation joined" pkg/stream/events.go 's/if s.awaitingContinuation \&\& id != s.lastID+1 {/if false {/' "./pkg/stream ./internal/gateway -run Continuation|TestOnlyAStream"
mutant "whole: events without ids" pkg/stream/events.go 's/if !ok \&\& s.hasID {/if false {/' "./pkg/stream ./internal/gateway -run IDs|TestOnlyAStream"
mutant "whole: an unknown end is the end" internal/relay/pass.go 's/if h == nil || err == nil \&\& h.ended {/if h == nil || err == nil \&\& !h.Stopped {/' "./internal/gateway -run TestAStreamWithout"
mutant "whole: an answer without the id" internal/relay/relay.go 's/ \&\& resp.RequestID == "":/ \&\& false:/' "./internal/gateway -run TestAnAnswerWithout"
mutant "whole: the end of an error awaited" internal/upstream/pool.go 's/discardTimeout = 20 \* time.Millisecond/discardTimeout = time.Minute/' "./internal/gateway -run TestAnErrorThat"
mutant "refusals: held though nobody serves" pkg/scheduler/versions.go 's/c.RefuseUnservable = true/c.RefuseUnservable = false/' ./pkg/scheduler
mutant "data centres: each endpoint learnt alone" pkg/scheduler/versions.go 's/c.DataCenterBreakers = true/c.DataCenterBreakers = false/' ./pkg/scheduler
mutant "readiness: stranded entries ready" pkg/readiness/readiness.go 's/case c.CutOff \&\& len(c.UnservableTargets) > 0:/case false:/' ./pkg/readiness
mutant "bursts: prompts sent wherever" pkg/scheduler/versions.go 's/c.EnforceStartObjective = true/c.EnforceStartObjective = false/' ./pkg/scheduler
mutant "bursts: others' work forgotten" pkg/scheduler/scheduler.go 's/if s.cfg.PeerLoadFromReports || s.cfg.PeerLoadFromReportsAndNotices {/if false {/' ./pkg/scheduler
mutant "bursts: read rates not learnt" pkg/scheduler/prefill_rate.go 's/return max(s.cfg.PrefillRate, s.queue(target).learnedPrefillRate)/return s.cfg.PrefillRate/' ./pkg/scheduler
mutant "bursts: pace not learnt" pkg/scheduler/versions.go 's/c.LearnEffectivePrefillRate = true/c.LearnEffectivePrefillRate = false/' ./pkg/scheduler
mutant "breakers: any endpoint probes its data centre" pkg/scheduler/reachability.go 's/ \&\& s.mayProbe(e)$//' "./pkg/scheduler -run Probe"
mutant "breakers: probes without a result awaited" pkg/retry/breaker.go 's/^\tb.probeInFlight = false\n}$//;/func (b \*Breaker) RecordInconclusive/,/^}/s/^\tb.probeInFlight = false$//' "./pkg/scheduler -run Probe"
mutant "breakers: probes end with the answer" pkg/scheduler/scheduler.go 's/^\t\ts.recordAnswer(now, it.endpoint)$//' ./pkg/scheduler
mutant "records: any state used" platform/endpoints.go 's/^\tcase stateReady:$/\tcase stateReady, "live", "starting":/' ./platform
mutant "records: fields given twice" platform/object.go 's/o.twice\[name\] = true/o.twice[name] = false/' ./platform
mutant "records: too deep for the registry" platform/endpoints.go 's/slices.Concat(\[\]byte("\[\["), record, \[\]byte("\]\]"))/slices.Concat(record)/' ./platform
mutant "records: long ones kept whole" platform/endpoints.go 's/if len(out) <= maxBadBytes || out\[0\] != .{. {/if true {/' ./platform
mutant "records: long ones read by no field" platform/endpoints.go 's/ || len(out) <= maxKeptBytes \&\& namesEndpoint(out)//' ./platform
mutant "store: a value too deep costs the list" platform/store.go 's/if err != nil \&\& strings.HasSuffix(err.Error(), "exceeded max depth") {/if false {/' ./platform
mutant "peers: a value too large costs the exchange" internal/peering/convert.go 's/if len(d.GetContent()) <= MaxDocumentBytes {/if true {/' "./internal/peering -run TooLargeForAMessage"
mutant "store: odd records fill a list" platform/listing.go 's/odd > maxOddBytes {/false {/' "./platform -run TestAListOfTooMany"
mutant "store: too many records refuse a list" platform/listing.go 's/if l.bytes > maxListBytes {$/if false {/' "./platform -run TestAListOfTooMany"
mutant "store: what watches add isn't bounded" internal/gateway/reader.go 's/if len(v.Content) > peering.MaxDocumentBytes {/if len(v.Content) < -peering.MaxDocumentBytes {/' "./internal/gateway -run TestOddEntriesThatCome"
mutant "store: long lists given up" platform/published.go 's/listTimeout = 15 \* time.Second/listTimeout = 1200 * time.Millisecond/' "./platform -run TestALongList"
mutant "store: silent lists awaited" platform/store.go 's/timer := time.AfterFunc(silence, /timer := time.AfterFunc(time.Hour, /' "./platform -run TestALongList"
mutant "records: hidden starts used" pkg/fleet/registry.go 's/ \&\& known\[e.Targets\[0\]\] > missing\[e.Targets\[0\]\]/ \&\& known[e.Targets[0]] < 0/' ./platform
mutant "records: told with each list" platform/published.go 's/if p.told\[b.ID\] != now {/if true {/' ./platform
mutant "records: bad ones held" pkg/fleet/retention.go 's/^\t\tdelete(r.latest, b.ID)$//' ./pkg/fleet
mutant "reports: no load is an idle engine" platform/object.go 's/o.add(field, "missing")/_ = field/' "./platform -run TestABadReport"
mutant "store: no entries are no endpoints" platform/store.go 's/if w.Entries == nil || w.AsOf == nil {/if w.AsOf == nil {/' ./platform
mutant "keys: an empty one opens" pkg/table/route.go 's/^\t\t\tif k == "" {$/\t\t\tif false {/' ./platform
restarts="./internal/gateway -run"
mutant "lives: reports of another counted" pkg/scheduler/scheduler.go 's/if e == nil || e.spec.Incarnation != instance.Incarnation {/if e == nil {/' ./pkg/scheduler
mutant "lives: a leave marks the next" pkg/scheduler/scheduler.go 's/^\t\t\tdelete(s.leaving, spec.ID)$//' ./pkg/scheduler
mutant "lives: a leave is known too late" internal/peering/cluster_state.go 's/^\t\tcs.setLeaving(p)$//' ./internal/peering
mutant "lives: named by their ids" internal/peering/loads.go 's/if instance.HasIncarnation() {/if false {/' ./internal/peering
mutant "lives: late reports told on" internal/peering/homes.go 's/ \&\& cs.isListed(r.Instance()) {/ {/' ./internal/peering
mutant "lives: reports kept for the next" internal/peering/cluster_state.go 's/!listed || e.Instance() != r.Instance()/!listed || e.ID != r.Endpoint/' ./internal/peering
mutant "lives: a clock set back keeps out" internal/peering/cluster_state.go 's/cs.drains.SetListed(e.ID, e.Incarnation)/cs.drains.Observe(e.ID, e.Incarnation)/' ./internal/peering
mutant "lives: those that are over come back" pkg/drain/drain.go 's/s.obsolete\[endpoint\] = max(s.obsolete\[endpoint\], s.highest\[endpoint\])/s.obsolete[endpoint] = 0/' ./pkg/drain
mutant "lives: connections of all" internal/upstream/pool.go 's/p.take(e.Instance())/p.take(fleet.Instance{Endpoint: e.ID})/;s/resp.life = e.Instance()/resp.life = fleet.Instance{Endpoint: e.ID}/' ./internal/upstream
mutant "lives: connections kept" internal/upstream/pool.go 's/p.listed != nil \&\& !p.listed(life) || //' ./internal/upstream
mutant "lives: a late record believed" pkg/fleet/instance.go 's/|| e.Incarnation >= latest.Incarnation {/|| latest.ID != "" {/' "./pkg/fleet"
mutant "lives: a late record acted on" internal/gateway/gateway.go 's/fleet.StaleRecordFilter{SuppressionPeriod: earlierLifeHold}/fleet.StaleRecordFilter{}/' "$restarts TestLateNews"
mutant "lives: a late report acted on" internal/engines/engines.go 's/if r.Incarnation == 0 || !e.Instance().HasIncarnation() {/if true {/' "$restarts TestLateNews"
mutant "lives: copies of others taken up" internal/relay/pass.go 's/if f.cfg.Over != nil \&\& f.cfg.Over(l) {/if false {/' "$restarts TestThe.*StartsAgain"
mutant "lives: the next one evacuated" internal/evacuate/evacuate.go 's/if _, leaving := e.leaving\[source.Instance()\]; leaving {/if len(e.leaving) > 0 {/' "$restarts TestTheNextLife"
mutant "lives: a run that the next one doesn't know has ended" internal/evacuate/move.go 's/ \&\& e.sameInstance(ctx, source):/:/' "$restarts TestTheNextLifeKnows"
mutant "lives: engines not asked for their starts" internal/evacuate/move.go 's/^\t\th.Void(err)$/\t\th.Lost()/' "$restarts TestAStartThatIsNotListed"
mutant "lives: moved for another" internal/gateway/beliefs.go 's/; ok \&\& e.Instance() == fleet.Instance(l) {/; ok {/' "$restarts TestALeaveOfALife"
Q=pkg/quarantine/quarantine.go
J=pkg/quarantine/attribution.go
W=pkg/quarantine/assessment.go
crash="./internal/gateway -run TestARequestThatCrashesEndpoints"
mutant "crashing requests: never contained" $Q 's/case !c.contained(now):/case true:/' "$crash"
mutant "crashing requests: a whole run doesn't clear" $Q 's/if s.candidates\[id\] == nil {/if true {/' ./pkg/quarantine
mutant "crashing requests: ends from before a whole run count" $Q 's/if other.Completed \&\& other.Identity == f.Identity/if false/' ./pkg/quarantine
mutant "crashing requests: what another explains counts" $W 's/if attributed\[t.EventID\] == 0 {/if attributed[t.EventID] >= 0 {/' ./pkg/quarantine
mutant "crashing requests: what came whole before is suspected" $Q 's/; completed \&\& !f.Completed \&\& f.OccurredAt/; completed \&\& f.Completed \&\& f.OccurredAt/' ./pkg/quarantine
mutant "crashing requests: who had enough ends last first" $J 's/a.thresholdReachedAt().Compare(b.thresholdReachedAt())/b.thresholdReachedAt().Compare(a.thresholdReachedAt())/' ./pkg/quarantine
mutant "crashing requests: tied ones contained at once" $W 's/return maxShared >= minAmbiguousShared \&\& 2\*maxShared >= terminations/return false/' ./pkg/quarantine
mutant "crashing requests: judged before others have told" $W 's/latest(c.isolatedSince, unsharedAt).Add(attributionDelay)/latest(c.isolatedSince, unsharedAt)/' ./pkg/quarantine
mutant "crashing requests: what ran before counts" pkg/quarantine/isolation.go 's/return !isolated || sent.After(since)/return !isolated || sent != since/' ./pkg/quarantine
mutant "crashing requests: nobody is acquitted" $J 's/if !c.attributed || slices.ContainsFunc/if true || slices.ContainsFunc/' ./pkg/quarantine
mutant "crashing requests: kept apart at one endpoint" pkg/quarantine/isolation.go 's/if assignments\[e\] > i\/len(endpoints) {/if assignments[e] > i {/' "./pkg/quarantine ./pkg/scheduler"
mutant "crashing requests: others don't avoid" pkg/scheduler/isolation.go 's/return slices.DeleteFunc(slices.Clone(endpoints), func(e \*endpoint) bool { return avoided\[e\] })/return endpoints/' ./pkg/scheduler
mutant "crashing requests: ends that others tell aren't counted" pkg/quarantine/event.go 's/if !known || endedAt.After(until) {/if known || !known || endedAt.After(until) {/' ./pkg/quarantine
mutant "members: late seeds are not asked again" internal/controllers/controllers.go 's/^\tgo c.contactUnknownSeeds(ctx)$//' ./internal/controllers
mutant "closed data centres: used" pkg/scheduler/scheduler.go 's/s.leaving\[spec.ID\] || spec.Closed/s.leaving[spec.ID]/' ./pkg/scheduler
mutant "closed data centres: not told to others" pkg/fleet/registry.go 's/closed\[rec.ClosedDataCenter\] = true/closed[rec.ClosedDataCenter] = false/' "./internal/gateway -run TestAClosed"
mutant "regions: not kept to" pkg/scheduler/regions.go 's/return len(allowed) == 0 || slices.Contains(allowed, region)/return true || slices.Contains(allowed, region)/' ./pkg/scheduler
mutant "regions: who can go nowhere waits" pkg/scheduler/regions.go 's/if !r.regionRestricted() ||/if true ||/' ./pkg/scheduler
mutant "cold endpoints: unbounded" pkg/scheduler/cold.go 's/return len(e.coldSendTimes) < s.coldRateShare(e)/return true/' ./pkg/scheduler
mutant "cold endpoints: every entry has the rest" pkg/scheduler/cold.go 's/if s.rotatedRank(e, entries) < remainder {/if remainder > 0 {/' ./pkg/scheduler
mutant "prompts in turn: urgent ones unbound" pkg/scheduler/ttft.go 's/(s.cfg.FIFOPrefill || !it.req.Urgent())/!it.req.Urgent()/' ./pkg/scheduler
mutant "priorities at engines" platform/headers.go 's/h.Set(HeaderInstance, s.Endpoint)/h.Set(HeaderInstance, s.Endpoint)\n\th.Set(headerPriority, "3")/' ./platform
mutant "crashing requests: tied ones never contained" $J 's/return c.unattributed >= AmbiguousThreshold || /return /' ./pkg/quarantine
mutant "crashing requests: tied ones held long" $J 's/^\treturn AmbiguousPeriod$/\treturn ContainmentPeriod/' ./pkg/quarantine
mutant "crashing requests: tried by many at once" $Q 's/probe = status == HalfOpen/probe = status > Contained/' ./pkg/quarantine
mutant "crashing requests: tried by all entries" $Q 's/return slot%s.entries == s.rank/return slot >= 0/' ./pkg/quarantine
mutant "crashing requests: never tried again" $Q 's/case remaining > 0:/case true:/' ./pkg/quarantine
mutant "crashing requests: unbounded" $J 's/if len(s.facts) <= MaxFacts {/if true {/' ./pkg/quarantine
mutant "crashing requests: one life counts twice" pkg/quarantine/event.go 's/return xxhash.Sum64(append(data, listed.Endpoint...))/return xxhash.Sum64(append(data, listed.Endpoint...)) + rand.Uint64()/;s/"encoding\/binary"/"encoding\/binary"\n\t"math\/rand\/v2"/' ./internal/crashwatch
mutant "crashing requests: another workspace's are the same" pkg/quarantine/identity.go 's/\[\]byte(workspace), //' ./pkg/quarantine
mutant "crashing requests: not told" internal/peering/client.go 's/RequestFactKeys: encodeKeys(guard.Keys()), //' ./internal/peering
mutant "crashing requests: told by none but who saw them" internal/peering/server.go 's/resp.RequestFacts, resp.WantedRequestFacts = encodeFacts(now, missing), encodeKeys(wanted)/resp.WantedRequestFacts, _ = encodeKeys(wanted), missing/' ./internal/peering
mutant "crashing requests: sent again by the runner" internal/runner/runner.go 's/if r.cfg.BeginAttempt == nil {/if true {/' ./internal/runner
mutant "crashing requests: not refused at once" internal/filters/quarantined/quarantined.go 's/if err := guard.Check(job.FromRequest(r)); err != nil {/if err := guard.Check(job.FromRequest(r)); false {/' ./internal/filters/quarantined
mutant "crashing requests: an announced end counts" internal/crashwatch/crashwatch.go 's/if w.cfg.TerminationExpected(endpoint) {/if false {/' ./internal/crashwatch
mutant "crashing requests: a broken connection counts" internal/crashwatch/crashwatch.go 's/w.cfg.Probe(ctx, endpoint) == upstream.Ended/w.cfg.Probe(ctx, endpoint) >= 0/' ./internal/crashwatch
mutant "crashing requests: an end that a start hid doesn't count" internal/crashwatch/crashwatch.go 's/if w.cfg.Superseded(endpoint) {/if false {/' ./internal/crashwatch
mutant "crashing requests: callers that left forgotten" internal/crashwatch/crashwatch.go 's/w.abandoned = append(w.abandoned, abandonedRun{run, endpoint.Instance()})//' ./internal/crashwatch
mutant "crashing requests: ends not seen by an entry" internal/entry/entry.go 's/OnBroken:     e.onBroken,//' ./internal/entry
C=pkg/quarantine/combination.go
E=pkg/quarantine/part_evidence.go
R=pkg/quarantine/part_records.go
checks=pkg/quarantine/part_checks.go
mutant "crashing parts: never contained" $C 's/return (c.overLimit || c.culprit) \&\& /return false \&\& /' ./pkg/quarantine
mutant "crashing parts: contained without isolation" $C 's/known := t.occurredAt.Sub(c.isolatedSince) > attributionDelay/known := true/' ./pkg/quarantine
mutant "crashing parts: confirmed without an endpoint of their own" $C 's/if alone \&\& e.hasEndpoint(c, t.occurredAt, culprits) {/if alone {/' ./pkg/quarantine
mutant "crashing parts: inactive ones keep their endpoints" $checks 's/compareAt(now)/compareCombinations/' ./pkg/quarantine
mutant "crashing parts: another cause beside isn't considered" $C 's/ \&\& !e.otherCause(t.eventID, c)//' ./pkg/quarantine
mutant "crashing parts: completed runs don't clear" $R 's/return completed \&\& f.OccurredAt.Sub(completedAt) < PartClearedPeriod/return completed \&\& f.OccurredAt.Sub(completedAt) < -PartClearedPeriod*100/' ./pkg/quarantine
mutant "crashing parts: what completed before is cleared for long" $R 's/PartClearedPeriod = 500 \* time.Millisecond/PartClearedPeriod = ClearedPeriod/' ./pkg/quarantine
mutant "crashing parts: what another explains is suspected" $E 's/^\te.dropExplained()$//' ./pkg/quarantine
mutant "crashing parts: instances that terminate together count each" $C 's/ >= minTerminationSpacing {/ >= 0 {/' ./pkg/quarantine
mutant "crashing parts: terminations of culprits count against others" $E 's/if p.ranAt(culprit, f.EventID) \&\& /if false \&\& /' ./pkg/quarantine
mutant "crashing parts: a repeated request explains nothing" $E 's/ \&\& !whole.explain(terminations) {/ {/' ./pkg/quarantine
mutant "crashing parts: explain no requests" $W 's/case parts.mayExplain(unattributed):/case false:/' ./pkg/quarantine
mutant "crashing parts: make no request ambiguous" $W 's/ || parts.ambiguous(unattributed)$//' ./pkg/quarantine
mutant "crashing parts: are no other cause for a request" $W 's/ \&\& !parts.repeatedBeside(t.EventID) {$/ {/' ./pkg/quarantine
mutant "crashing parts: known a fact late" $J 's/^\ts.parts.prepare()$//;s/^\ts.parts.recompute(s)$/\ts.parts.prepare()\n\ts.parts.recompute(s)/' ./pkg/quarantine
mutant "crashing parts: sent at once when their endpoint is back" $C 's/ \&\& c.instances() < PartProbeThreshold:/:/' ./pkg/quarantine
mutant "crashing parts: runs before the isolation count" $checks 's/return c == nil || sent.After(c.isolatedSince)/return c == nil || true/' ./pkg/quarantine
mutant "crashing parts: as short after failed probes" $C 's/period = min(period\*partBackoff, ContainmentPeriod)/period = min(period, ContainmentPeriod)/' ./pkg/quarantine
mutant "crashing parts: probed by all entries" $checks 's/ || !s.mayProbe(now, c) {/ {/' ./pkg/quarantine
mutant "crashing parts: probed by many at once" $checks 's/s.probing\[c.identity\] = true/s.probing[c.identity] = false/' ./pkg/quarantine
mutant "crashing parts: several suspects run as one" $checks 's/ \&\& !includes(combinationAt(best), combinationAt(i)) {/ \&\& false {/' "./pkg/quarantine ./pkg/scheduler"
mutant "crashing parts: unbounded" $R 's/if len(p.facts) <= MaxPartFacts {/if true {/' ./pkg/quarantine
mutant "crashing parts: malformed facts taken" $R 's/known || !f.valid() || /known || /' "./pkg/quarantine ./internal/peering"
mutant "crashing parts: the last part counts" internal/job/job.go 's/max(len(j.PromptParts)-1, 0)/len(j.PromptParts)/' ./internal/job
mutant "crashing parts: not told" internal/peering/client.go 's/PartFactKeys: encodeKeys(guard.PartKeys()), //' ./internal/peering
mutant "crashing parts: told by none but who saw them" internal/peering/server.go 's/resp.PartFacts, resp.WantedPartFacts = encodePartFacts(now, missingParts), encodeKeys(wantedParts)/resp.WantedPartFacts, _ = encodeKeys(wantedParts), missingParts/' ./internal/peering
mutant "crashing parts: not pushed" internal/peering/client.go 's/ \&\& len(resp.GetWantedPartFacts()) == 0 {/ {/' ./internal/peering
mutant "crashing parts: not refused" internal/contain/contain.go 's/return refusalError(g.set.CheckParts(now, parts))/return refusalError(g.set.CheckParts(now, parts[:0]))/' ./internal/contain
mutant "crashing parts: isolated ones run anywhere" pkg/quarantine/isolation.go 's/for _, c := range s.parts.isolated(now) {/for _, c := range s.parts.isolated(now)[:0] {/' ./pkg/scheduler
mutant "crashing parts: survival clears nothing" internal/relay/pass.go 's/p.f.cfg.OnSurvived(p.j)$//' ./internal/relay
mutant "crashing parts: an end without a length is a completed run" internal/relay/relay.go 's/case framed \&\& f.cfg.OnWhole != nil:/case f.cfg.OnWhole != nil:/' "./internal/gateway -run TestRequestsSharingAPart.*/streams_that_end"
mutant "crashing parts: an end without a length is never a broken run" internal/crashwatch/crashwatch.go 's/case presence == upstream.Ended || w.cfg.Superseded(endpoint):/case false:/' ./internal/crashwatch
K=internal/clock/clock.go
mutant "suspensions: not counted" $K 's/return time.Now().Add(TotalSuspended())/return time.Now()/' ./internal/clock
mutant "suspensions: deadlines not ended" $K 's/^\t\texpire()$/\t\t_ = expire/' "./internal/clock ./internal/gateway -run Suspended"
mutant "suspensions: deadlines end late" $K 's/if remaining := Until(deadline); remaining > 0 {/if remaining := Until(deadline); remaining > 0 {\n\t\t\treturn/' ./internal/clock
mutant "suspensions: waits go on" $K 's/timer.Reset(max(Until(deadline), 0))/_ = deadline/' ./internal/clock
mutant "suspensions: short ones lost" $K 's/^\tstate.baseline = suspended$/\tstate.baseline = suspended + 1/;s/if suspension < minSuspension {/if suspension < minSuspension {\n\t\tstate.baseline = suspended/' ./internal/clock
mutant "suspensions: peers blamed" pkg/membership/membership.go 's/n.updatedAt = n.updatedAt.Add(suspension)/n.updatedAt = n.updatedAt.Add(0)/' ./pkg/membership
mutant "suspensions: table relied on" internal/gateway/suspended.go 's/if g.doubtful.Load() {/if false {/' "./internal/gateway -run Suspension"
mutant "suspensions: requests' time not counted" internal/runner/runner.go 's/ctx, cancel := clock.WithDeadline(ctx, j.Deadline())/ctx, cancel := context.WithTimeout(ctx, clock.Until(j.Deadline()))/' "./internal/gateway -run Suspended"
mutant "suspensions: a stop between two reads counts" internal/clock/kernel.go 's/if after-monotonic <= maxReadSpan {/if after-monotonic >= 0 {/' ./internal/clock

N=pkg/backpressure
mutant "throttling: limits not kept" $N/set.go 's/return st.bucket.hasToken()/return true/' "./pkg/scheduler -run Limited"
mutant "throttling: each entry takes all" $N/share.go 's/perSharer := rate \/ float64(sharers)/perSharer := rate/' "./pkg/scheduler -run Limited"
mutant "throttling: all entries share" $N/share.go 's/if s.rank.forEndpoint(e) >= sharers {/if false {/' "./pkg/scheduler ./internal/peering -run Limit"
mutant "throttling: not told to others" internal/peering/limits.go 's/r.Limits = encodeLimits(now, s.Backpressure().Announcements())/_ = encodeLimits/' "./internal/peering -run Limit"
mutant "throttling: not told to other data centres" internal/peering/limits.go 's/from = backpressure.FromOtherDataCenter/from = backpressure.FromSameDataCenter/' "./internal/peering -run Limit"
mutant "throttling: taken back by an earlier request's answer" $N/reports.go 's/Limit: limit, ReportedAt: sent}, true/Limit: limit, ReportedAt: received}, true/' ./pkg/backpressure
mutant "throttling: taken back by an error" $N/reports.go 's/case limit.Kind == Unlimited \&\& served:/case limit.Kind == Unlimited:/' ./pkg/backpressure
mutant "throttling: older news believed" $N/reports.go 's/case !r.ReportedAt.After(st.reportedAt):/case false:/' ./pkg/backpressure
mutant "throttling: forgotten with the record" $N/reports.go 's/now.Sub(st.unlistedSince) >= unlistedRetention/true/' ./pkg/backpressure
mutant "throttling: who finds no room waits" pkg/scheduler/throttling.go 's/if s.backpressure.Idle() {/if true {/' "./pkg/scheduler -run Limited"
S=pkg/scheduler
mutant "precedence: backlog not limited" $S/versions.go 's/c.LimitByPrecedence = true/c.LimitByPrecedence = false/' "./$S -run Precedence|LowerPrecedence|Levels"
mutant "precedence: memory not reserved, urgent ones don't wait" $S/versions.go 's/c.ReserveByDemand = true/c.ReserveByDemand = false/' "./$S -run Precedence|Urgent|ExpectedStart"
mutant "precedence: order by latest start" $S/versions.go 's/c.OrderByPrecedence = true/c.OrderByPrecedence = false/' "./$S -run Heavy|OrderedByShare"
mutant "precedence: late refusals" $S/versions.go 's/c.RefuseByForecast = true/c.RefuseByForecast = false/' "./$S -run Callers|ALimitDrops|ColdEndpointRefuses"
mutant "precedence: rank ignored" $S/precedence.go 's/return level{r.Rank, r.Row.Priority}/return level{0, r.Row.Priority}/' "./$S -run LowerPrecedence|OrderedByShare"
mutant "precedence: unused kinds count for longer" $S/precedence.go 's/demandWindow = 30/demandWindow = 90/' "./$S -run LowerPrecedence"
mutant "precedence: used kinds count for shorter" $S/precedence.go 's/demandWindow = 30/demandWindow = 10/' "./$S -run LowerPrecedence"
mutant "precedence: larger margin" $S/precedence.go 's/(d.objective - startMargin + aged)/(d.objective - 3*startMargin + aged)/' "./$S -run LowerPrecedence"
mutant "precedence: smaller margin" $S/precedence.go 's/(d.objective - startMargin + aged)/(d.objective - startMargin\/3 + aged)/' "./$S -run LowerPrecedence"
mutant "precedence: no ageing" $S/precedence.go 's/^\treturn max(now.Sub(it.req.ArrivedAt)-objective\/2, 0)$/\treturn 0*objective/' "./$S -run LowerPrecedence"
mutant "precedence: ages three times as fast" $S/precedence.go 's/-objective\/2, 0)/-objective\/6, 0)/' "./$S -run LowerPrecedence"
mutant "precedence: lowest level starves" $S/precedence.go 's/exemptOneIn = 3/exemptOneIn = 9/' "./$S -run Levels"
mutant "precedence: every request exempt" $S/precedence.go 's/exemptOneIn = 3/exemptOneIn = 1/' "./$S -run Levels"
mutant "precedence: idle engine refused" $S/precedence.go 's/return backlog < 1 || /return /' "./$S -run LowerPrecedence"
mutant "memory: start as if it were free" $S/memory_room.go 's/if wait := s.memoryWait(now, e, it); wait > 0 {/if wait := s.memoryWait(now, e, it); wait > maxExpectedWait {/' "./$S -run ExpectedStart"
mutant "memory: requests waiting there ignored" $S/memory_room.go 's/s.reservesByDemand(e.spec.Targets\[0\]) || e.report.Waiting == 0/s.reservesByDemand(e.spec.Targets[0]) || true/' "./$S -run ExpectedStart"
mutant "memory: urgent requests never wait" $S/memory_room.go 's/return s.soonestStart(now, it) <= left/return false/' "./$S -run Urgent"
mutant "memory: urgent requests wait though all are late" $S/memory_room.go 's/return s.soonestStart(now, it) <= left/return true/' "./$S -run Urgent"
mutant "memory: urgent requests refused when late" $S/submit.go 's/it.req.Urgent() {$/false {/' "./$S -run SlowQueue"
mutant "admission: urgent prompts refused when late" $S/admission.go 's/return it.req.Urgent() \&\& it.req.PromptTokens > 0/return false/' "./$S -run SlowQueue"
mutant "shares: three times the mean allowed" $S/fair_share.go 's/shareExcess           = 2.0/shareExcess           = 6.0/' "./$S -run Heavy"
mutant "shares: less than the mean allowed" $S/fair_share.go 's/shareExcess           = 2.0/shareExcess           = 0.67/' "./$S -run Heavy"
mutant "shares: nothing left to others" $S/fair_share.go 's/excessFraction = 0.5/excessFraction = 0.0/' "./$S -run Heavy"
mutant "shares: use not charged" $S/fair_share.go 's/^\tsh.next\[workspace\] = start + cost$/\tsh.next[workspace] = start/' "./$S -run OrderedByShare"
mutant "shares: aged requests have no turn" $S/fair_share.go 's/q.sinceAgedTurn >= agedTurn/false/' "./$S -run OrderedByShare"
mutant "shares: aged requests have a third of the turns" $S/fair_share.go 's/agedTurn = 4$/agedTurn = 12/' "./$S -run OrderedByShare|AgedTurn"
mutant "shares: late requests first" $S/fair_share.go 's/compareTrueFirst(!o.late, !other.late)/compareTrueFirst(o.late, other.late)/' "./$S -run OrderedByShare"
mutant "shares: unbounded" $S/fair_share.go 's/len(sh.next) >= maxShareWorkspaces {$/false {/' "./$S -run Bounded"
mutant "admission: waiting ones never hopeless" $S/admission.go 's/waitingTolerance = 1.5/waitingTolerance = 4.5/' "./$S -run ALimitDrops"
mutant "admission: waiting ones hopeless early" $S/admission.go 's/waitingTolerance = 1.5/waitingTolerance = 0.5/' "./$S -run ALimitDrops"
mutant "admission: objective ignored" $S/admission.go 's/if objective := it.req.Row.Objective; objective > 0 \&\& /if objective := it.req.Row.Objective; objective < 0 \&\& /' "./$S -run Callers"
mutant "admission: callers told to return together" $S/admission.go 's/q.nextReturn = at.Add(interval)/q.nextReturn = at/' "./$S -run RefusedCallers"
mutant "admission: cold endpoints unlimited" $S/admission.go 's/if e.spec.ColdLimit.RequestsPerSecond > 0 \&\& now.Before(e.coldUntil)/if e.spec.ColdLimit.RequestsPerSecond < 0 \&\& now.Before(e.coldUntil)/' "./$S -run ColdEndpointRefuses"
mutant "admission: limits not known" $S/admission.go 's/if s.backpressure.Idle() \&\& !now.Before(s.coldUntil) {/if true {/' "./$S -run Limited"
mutant "throttling: generations moved there" internal/evacuate/input.go 's/status.Throttled || //' "./internal/gateway -run TakeMore"
mutant "pauses: not kept by requests" $N/set.go 's/if s.PauseRemaining(now, e.Instance()) > 0 {/if false {/' "./pkg/scheduler -run Pause"
mutant "pauses: not kept by calls of engines" internal/upstream/pool.go 's/if p.hooks.Admit == nil {/if true {/' "./internal/gateway -run Pause"
mutant "pauses: cut short by a shorter one" $N/pause.go 's/if until.After(previous) {/if true {/' "./pkg/scheduler -run Pause"
mutant "pauses: moved generations don't wait" internal/relay/pass.go 's/^\tp.awaitPause(ctx, h.Target)$/\t_ = p.awaitPause/' "./internal/gateway -run Pause"
mutant "leaves: not taken from answers" internal/gateway/asks.go 's/if a.Leaving {/if false {/' "./internal/gateway -run Leav"
mutant "leaves: forgotten with the record" pkg/drain/drain.go 's/if !hasIncarnation || now.Sub(s.unlistedSince\[endpoint\]) >= UnlistedRetention {/if hasIncarnation || !hasIncarnation {/' ./pkg/drain
mutant "changes of the list: another result believed" internal/published/changes.go 's/ || xxhash.Sum64(v.Content) != v.ContentHash//' ./internal/published
mutant "changes of the list: the whole never asked for" internal/published/published.go 's/if name != Fleet || !s.needsFullFleet {/if true {/' ./internal/published
mutant "changes of the list: always the whole" internal/published/changes.go 's/^\tif !allowChanges || v.Name != Fleet/\tif true || v.Name != Fleet/' ./internal/published
mutant "changes of the list: records of the list before in another's place" platform/published.go 's/if bytes.Equal(p.elements\[i\], element) {/if len(p.elements[i]) == len(element) {/' ./platform

R="./internal/gateway -run AfterARestore"
mutant "restores: configurations ordered by the store" platform/published.go 's/Revision: configurationOrder(it.Value)/Revision: revision.ID(it.Revision)/' "$R"
mutant "restores: eras not read" platform/store.go 's/if text == "" {/if true {/' ./platform
mutant "restores: a watch of another era believed" platform/store.go 's/if era != since.Era() {/if era != since.Era() \&\& false {/' "./platform -run Era"
mutant "restores: pages of two eras taken for a list" platform/store.go 's/if at.Era() != out.Revision.Era() {/if false {/' "./platform -run Era"
mutant "restores: a stale list of the era before believed" platform/store.go 's/if newest > out.Revision {/if false {/' "./platform -run Restore"
mutant "restores: a watch begins at a stale list" internal/gateway/reader.go 's/if watchable {/if true {/' "./internal/gateway -run Stale"
mutant "restores: an earlier era followed" internal/gateway/reader.go 's/if all.Revision.Epoch() < r.registry.Revision().Epoch() {/if false {/' "./internal/gateway -run NotBeenRestored"
mutant "restores: changes of another era applied" pkg/fleet/registry.go 's/if asOf.Epoch() != r.revision.Epoch() {/if false {/' ./pkg/fleet
mutant "restores: a list of a later era that is the same is no news" pkg/fleet/registry.go 's/if asOf.Epoch() == r.revision.Epoch() \&\& maps/if maps/' ./pkg/fleet
mutant "restores: values in doubt taken at once" pkg/register/register.go 's/ || now.Sub(r.uncertainSince) < r.settlePeriod//' "./pkg/register ./internal/published -run Restore"
mutant "restores: values in doubt never taken" pkg/register/register.go 's/now.Sub(r.uncertainSince) < r.settlePeriod/now.After(r.uncertainSince)/' ./pkg/register
mutant "restores: values in doubt not looked at again" internal/published/published.go 's/if p := s.pending\[name\]; certain/if p := s.pending[name]; !certain/' "./internal/published -run Pending"
mutant "restores: what is told counts as read" pkg/register/register.go 's/if source == FromStore \&\& r.uncertainSince/if r.uncertainSince/' ./pkg/register
mutant "restores: whatever is told is certain" internal/published/published.go 's/if v.Certain {/if true {/' "./internal/published -run NativeTables"
mutant "restores: certainty isn't passed on" internal/peering/convert.go 's/Certain: d.GetCertain()}/Certain: false}/' "./internal/peering -run Certain"
mutant "restores: what had left is used" pkg/fleet/restore.go 's/if r.excluded\[e.Instance()\] {/if false {/' "./pkg/fleet ./internal/gateway -run AnEndpointGone"
mutant "restores: most of a target kept out" pkg/fleet/restore.go 's/return removed\[target\] > maxRemovedRatio\*active\[target\]/return false/' ./pkg/fleet
mutant "restores: closed data centres open" pkg/fleet/restore.go 's/^\t\tr.retainedClosed = r.closedDataCenters$/\t\tr.retainedClosed = nil/' "./pkg/fleet -run Closed"
mutant "restores: what the copy lacks is gone" pkg/fleet/retention.go 's/retainAll || liveBefore\[t\] > 1/liveBefore[t] > 1/' "./pkg/fleet ./internal/gateway -run Copy"
mutant "restores: fencing numbers go back" pkg/fencing/fencing.go 's/Fencing: uint64(snapshot.Revision), Desired/Fencing: snapshot.Revision.Number(), Desired/' ./pkg/fencing
mutant "restores: a rewind without a new era not noticed" pkg/revision/revision.go 's/id.Number() < previous.Number() \&\& previous.Rewinds() < MaxRewinds/false/' "./pkg/revision ./internal/gateway -run Given|RewindStarts"
mutant "restores: rewinds that others noticed not followed" pkg/revision/revision.go 's/peerRevision.Epoch() > previous.Epoch()/false/' "./pkg/revision -run RewindStarts"
mutant "restores: a watch beyond what the store has goes on" platform/store.go 's/at < since.Number()/at < 1/' "./platform -run TestAWatchBeyond"
mutant "store: nobody stands in for watchers that lost it" internal/controllers/value_watcher.go 's/higherRanked < 2\*WatchersPerDataCenter \&\& higherActive < WatchersPerDataCenter/false/' "./internal/gateway -run WatchersAreCutOff"
mutant "store: a lost store is not declared" internal/gateway/beliefs.go 's/g.beliefs.SetStoreLost(!up)/_ = up/' "./internal/gateway -run WatchersAreCutOff"
mutant "lists: each comes into force at once" internal/published/pacing.go 's/if !now.Before(s.pacer.nextApply) {/if true {/' "./internal/published -run NotQuadratic"
mutant "lists: whole ones are passed on whole" internal/published/changes.go 's/return fleet.Diff(previous.Content, v.Content, v.Revision.Number())/return nil, errChangesUnknown/' "./internal/published -run FullList"
mutant "reads: idle engines read as often as others" internal/peering/homes.go 's/case !cs.confirmIdle(now, e.Instance()):/default:/' "./internal/peering -run PollsScale"
mutant "reads: told prompts do not end idleness" pkg/scheduler/remote_load.go 's/e.ownRunning == 0 \&\& e.peersRunning == 0 \&\& s.pendingPrefillTokens(now, e) == 0/e.ownRunning == 0/' "./internal/peering -run Idle"
mutant "lists: what waits is not passed on" internal/gateway/beliefs.go 's/^\tg.applyLater(until)$/\tg.applyLater(until)\n\tselect {\n\tcase <-g.exchange.RoundRequests:\n\tdefault:\n\t}/' "./internal/gateway -run ListThatWaits"
mutant "lists: whole ones sent to all who ask" internal/peering/large_documents.go 's/if l.inFlightBytes > 0 \&\& l.inFlightBytes+size > maxInFlightLargeBytes {/if false {/' "./internal/peering -run Large"
mutant "service latency: off" pkg/scheduler/versions.go 's/c.ServiceLatency = true/c.ServiceLatency = false/' "./pkg/scheduler -run HangingService"
mutant "service latency: recent latency kept three times as long" pkg/scheduler/service_latency.go 's/recentDecay = 500 \* time.Millisecond/recentDecay = 1500 * time.Millisecond/' "./pkg/scheduler -run Outlasts"
mutant "service latency: recent latency forgotten three times as soon" pkg/scheduler/service_latency.go 's/recentDecay = 500 \* time.Millisecond/recentDecay = 167 * time.Millisecond/' "./pkg/scheduler -run Outlasts"
mutant "service latency: ordinary samples kept three times as long" pkg/scheduler/service_latency.go 's/ordinaryWindow = 20 \* time.Second/ordinaryWindow = 60 * time.Second/' "./pkg/scheduler -run OldObservations"
mutant "service latency: ordinary samples of a third of the time" pkg/scheduler/service_latency.go 's/ordinaryWindow = 20 \* time.Second/ordinaryWindow = 7 * time.Second/' "./pkg/scheduler -run OldObservations"
mutant "service latency: ordinary latency from all answers" pkg/scheduler/service_latency.go 's/) < ordinaryInterval {/) < 0 {/' "./pkg/scheduler -run Outlasts"
mutant "service latency: unanswered requests count three times as long" pkg/scheduler/service_latency.go 's/unansweredWindow = 10 \* time.Second/unansweredWindow = 30 * time.Second/' "./pkg/scheduler -run OldObservations"
mutant "service latency: unanswered requests count for a third of the time" pkg/scheduler/service_latency.go 's/unansweredWindow = 10 \* time.Second/unansweredWindow = 3 * time.Second/' "./pkg/scheduler -run OldObservations"
mutant "service latency: estimates hardly learn" pkg/scheduler/service_latency.go 's/estimateWeight = 1.0/estimateWeight = 3.0/' "./pkg/scheduler -run Outlasts"
mutant "service latency: single answers overrule" pkg/scheduler/service_latency.go 's/estimateWeight = 1.0/estimateWeight = 0.33/' "./pkg/scheduler -run Outlasts"
mutant "service latency: failures look idle" pkg/scheduler/service_latency.go 's/failureLatencies = 2$/failureLatencies = 0/' "./pkg/scheduler -run FailingService|ServiceState"
mutant "service latency: failures not bounded" pkg/scheduler/service_latency.go 's/ \&\& len(l.failures) < maxRecentFailures//' "./pkg/scheduler -run ServiceState"
mutant "service latency: kinds not bounded" pkg/scheduler/service_latency.go 's/if len(l.kinds) >= maxServiceKinds {/if false {/' "./pkg/scheduler -run ServiceState"
mutant "service latency: errors are latencies" pkg/scheduler/service_latency.go 's/case res.Complete \&\& !res.ErrorAnswer:/case true:/' "./pkg/scheduler -run ErrorAnswers"
mutant "service latency: requests in flight not looked at" pkg/scheduler/service_latency.go 's/for _, it := range l.running {/for _, it := range l.running[:0] {/' "./pkg/scheduler -run OldObservations"
mutant "service latency: unknown latency three times as long" pkg/scheduler/service_latency.go 's/unknownServiceLatency = 50 \* /unknownServiceLatency = 150 * /' "./pkg/scheduler -run UnknownEndpoints"
mutant "service latency: unknown links three times as long" pkg/scheduler/service_latency.go 's/unknownLinkLatency = 30 \* /unknownLinkLatency = 90 * /' "./pkg/scheduler -run UnknownEndpoints"
mutant "service latency: unknown links a third as long" pkg/scheduler/service_latency.go 's/unknownLinkLatency = 30 \* /unknownLinkLatency = 10 * /' "./pkg/scheduler -run UnknownEndpoints"
mutant "service latency: own load not counted" pkg/scheduler/service_choice.go 's/ \* (1 + load)$/ * (1 + 0*load)/' "./pkg/scheduler -run OwnRequests"
mutant "service latency: three times the share of slots" pkg/scheduler/service_choice.go 's/slotOvercommit = 2$/slotOvercommit = 6/' "./pkg/scheduler -run OwnSlots"
mutant "service latency: one slot an entry" pkg/scheduler/service_choice.go 's/minOwnSlots = 2$/minOwnSlots = 1/' "./pkg/scheduler -run OwnSlots"
mutant "service latency: three times the least slots" pkg/scheduler/service_choice.go 's/minOwnSlots = 2$/minOwnSlots = 6/' "./pkg/scheduler -run OwnSlots"
mutant "service latency: targets with engines too" pkg/scheduler/service_choice.go 's/s.cfg.ServiceLatency \&\& it.req.PromptTokens == 0 \&\& s.target(it.req.Row.Target).servicesOnly/s.cfg.ServiceLatency/' "./pkg/scheduler -run PlainServicesOnly"
mutant "service latency: jitter three times as large" pkg/routing/routing.go 's/completionJitter = 0.25/completionJitter = 0.75/' "./pkg/scheduler -run FastestService"
mutant "service latency: error answers not marked" internal/relay/relay.go 's/ErrorAnswer: answer.Status >= http.StatusBadRequest/ErrorAnswer: false/' "./internal/relay -run ErrorAnswers"
mutant "service latency: error answers not told" internal/runner/runner.go 's/ErrorAnswer: result.ErrorAnswer, //' "./internal/runner -run Successes"
mutant "service latency: predictions not counted" internal/metrics/metrics.go 's/if t.ExpectedLatency > 0 {/if false {/' ./internal/metrics

RM=pkg/scheduler/reserved_memory.go
mutant "move room: not counted" pkg/scheduler/choose.go 's/ + s.reservedTokens(now, e)//' ./pkg/scheduler
mutant "move room: slots not counted" pkg/scheduler/endpoint.go 's/+len(e.reserved.entries)+1/+1/' ./pkg/scheduler
mutant "move room: lease of 6 s" $RM 's/reservationLease = 2 \* time.Second/reservationLease = 6 * time.Second/' ./pkg/scheduler
mutant "move room: lease of 0.7 s" $RM 's/reservationLease = 2 \* time.Second/reservationLease = 700 * time.Millisecond/' ./pkg/scheduler
mutant "move room: counts beside the report" $RM 's/r.copiedAt.Before(madeAt)/madeAt.IsZero()/' ./pkg/scheduler
mutant "move room: absurd reservations taken" $RM 's/if tokens <= 0 || others+float64(tokens) > float64(e.spec.CapacityTokens) || count >= limit {/if tokens <= limit-limit-100 {/' ./pkg/scheduler
mutant "move room: urgent prompts sent into it" pkg/scheduler/choose.go 's/case s.exceedsReserved(c) != s.exceedsReserved(other):/case false:/' ./pkg/scheduler
mutant "move room: not announced" internal/gateway/parts.go 's/Announce:     g.announceReservations,//' "./internal/gateway -run ReservedRoom"
mutant "move room: notices beyond the limit" internal/notices/reservations.go 's/r.peers, r.Skipped = n.reserve(dataCenter, maxPromptNoticesPerSecond)/r.peers = n.peers[dataCenter]/' ./internal/notices
mutant "move room: one plan counted twice" internal/evacuate/input.go 's/status.ReservedTokens -= planned.tokens/_ = planned/' "./internal/evacuate -run PlanTarget"
mutant "move room: queued prompts not counted" internal/evacuate/input.go 's/ - status.QueuedPromptTokens//' "./internal/evacuate -run PlanTarget"
mutant "move room: no spare memory" internal/evacuate/input.go 's/maxSpareUtilization = 0.97/maxSpareUtilization = 0.32/' "./internal/evacuate -run PlanTarget"
mutant "move room: kept where the run isn't copied" internal/evacuate/reserve.go 's/^\te.releaseBooking(step.RequestID)$//' "./internal/evacuate -run Follow"
mutant "next target: waits for the next plan" internal/evacuate/step.go 's/if e.cfg.Disabled.Retargeting {/if true {/' "./internal/gateway -run NextTarget"
mutant "next target: refusals kept for 1.5 s" pkg/evacuation/refusals.go 's/refusalTTL = 500 /refusalTTL = 1500 /' ./pkg/evacuation
mutant "next target: refusals kept for 0.17 s" pkg/evacuation/refusals.go 's/refusalTTL = 500 /refusalTTL = 170 /' ./pkg/evacuation
mutant "next target: smaller runs refused too" pkg/evacuation/refusals.go 's/ \&\& tokens >= known.tokens//' ./pkg/evacuation
mutant "next target: too late" pkg/evacuation/refusals.go 's/a.CopyTime > c.Remaining/a.CopyTime > 3*c.Remaining/' ./pkg/evacuation
mutant "next target: one that leaves" internal/evacuate/step.go 's/e.isLeaving(target) || //' "./internal/evacuate -run LeavingTargets"
mutant "next target: a source out of reach asked again" internal/evacuate/input.go 's/if isUnreachable(err) {/if false {/' "./internal/evacuate -run Unreachable"
mutant "loss: not weighed" pkg/evacuation/evacuation.go 's/q.planAll(byValue) > p.plannedValue {/q.planAll(byValue) < 0 {/' ./pkg/evacuation
mutant "loss: moved runs like others" pkg/evacuation/evacuation.go 's/compareBool(b.run.Moved, a.run.Moved),//' ./pkg/evacuation
mutant "loss: moved runs soon forgotten" internal/evacuate/reserve.go 's/movedRunTTL = time.Minute/movedRunTTL = 20 * time.Second/' "./internal/evacuate -run Remembered"
E=pkg/enginespeed
mutant "engine speeds: not learned" pkg/scheduler/versions.go 's/c.EngineSpeed = true/c.EngineSpeed = false/' ./pkg/scheduler
mutant "engine speeds: a move is an observation" pkg/scheduler/scheduler.go 's/^\tit.lastTokenAt = time.Time{}$/\t_ = it.lastTokenAt/' "./pkg/scheduler -run MoveIsNo"
mutant "engine speeds: first tokens after a move count" pkg/scheduler/engine_speed.go 's/if it.moved ||/if/' "./pkg/scheduler -run MoveIsNo"
mutant "engine speeds: gaps in which a prefill begins count" pkg/scheduler/engine_speed.go 's/it.lastTokenAt.IsZero() || !same ||/it.lastTokenAt.IsZero() || same \&\& !same ||/' "./pkg/scheduler -run MixedGaps"
mutant "engine speeds: events with a prefill count as others" pkg/scheduler/engine_speed.go 's/s.pendingPrefillTokens(now, e) > 0$/false/' "./pkg/scheduler -run EngineSpeed"
mutant "engine speeds: events of other data centres count" pkg/scheduler/engine_speed.go 's/return e.spec.DataCenter == s.cfg.DataCenter ||/return true ||/' "./pkg/scheduler -run EngineSpeed"
mutant "engine speeds: a restart inherits" pkg/scheduler/scheduler.go 's/^\ts.keepSpeeds()$//;s/^\t\ts.keepSpeeds()$//' "./pkg/scheduler -run EngineSpeed"
mutant "engine speeds: not told with prefills" internal/gateway/tell.go 's/p.AnnouncePrefilled(g.beliefs.OwnEngineSpeed(to.Instance()))/p.AnnouncePrefilled(nil)/' "./internal/gateway -run TestEntriesTell"
mutant "engine speeds: not told after events" internal/gateway/parts.go 's/^\t\tOnEvents:       g.onEvents,$//' "./internal/gateway -run TestEntriesTell"
mutant "engine speeds: not told to other data centres" internal/peering/loads.go 's/^\t\t\tappendSpeed(loads, l.Speed)$//' "./internal/peering -run Speed"
mutant "engine speeds: arrays of another length used" internal/peering/speeds.go 's/if len(codes) != len(l.GetEndpoints()) {/if len(codes) == 0 {/' "./internal/peering -run Speed"
mutant "engine speeds: notices beyond the limit" internal/notices/notices.go 's/n.reserve(dataCenter, maxSpeedNoticesPerSecond)/n.reserve(dataCenter, 1<<20)/' "./internal/notices"
mutant "engine speeds: absurd ones used" $E/exchange.go 's/o.empty() || !o.valid(m.targets\[targetName\])/o.empty()/' ./$E
mutant "engine speeds: old ones used" $E/exchange.go 's/if o.Age > estimateTTL {/if false {/' ./$E
mutant "engine speeds: peers' ones unused" $E/exchange.go 's/^\t\tin.plain.addPeer(.*$/\t\t_ = in/' ./$E
mutant "engine speeds: no slowdowns" $E/slowdown.go 's/^\ts.begin(now, s.streakFactor)$//' ./$E
mutant "engine speeds: slowdowns change the ordinary speed" $E/model.go 's/^\tif in.slow.transient(now) {$/\tif false {/' ./$E
mutant "engine speeds: false slowdowns stand" $E/slowdown.go 's/s.contradicting = true/s.contradicting = false/' ./$E
mutant "engine speeds: a pause of the process is a slowdown" $E/slowdown.go 's/if now.Sub(s.countedAt) < tokenTime\/2 {/if false {/' ./$E
mutant "engine speeds: one late event is a slowdown" $E/slowdown.go 's/confirmingEvents = 3$/confirmingEvents = 1/' ./$E
mutant "engine speeds: slowdowns noticed late" $E/slowdown.go 's/confirmingEvents = 3$/confirmingEvents = 9/' ./$E
mutant "engine speeds: slowdowns with a prefill noticed late" $E/slowdown.go 's/confirmingPrefillEvents = 2/confirmingPrefillEvents = 6/' ./$E
mutant "engine speeds: slowdowns end late" $E/slowdown.go 's/ordinaryEvents = 2/ordinaryEvents = 6/' ./$E
mutant "engine speeds: slow from a third of the factor" $E/slowdown.go 's/slowFactor     = 1.6/slowFactor     = 1.1/;s/ordinaryFactor = 1.3/ordinaryFactor = 1.0/' ./$E
mutant "engine speeds: slow from three times the factor" $E/slowdown.go 's/slowFactor     = 1.6/slowFactor     = 4.8/' ./$E
mutant "engine speeds: slowdowns believed for long" $E/slowdown.go 's/slowdownTTL = 2 \* time.Second/slowdownTTL = 6 * time.Second/' ./$E
mutant "engine speeds: slowdowns forgotten soon" $E/slowdown.go 's/slowdownTTL = 2 \* time.Second/slowdownTTL = 600 * time.Millisecond/' ./$E
mutant "engine speeds: a lasting change is transient" $E/slowdown.go 's/maxSlowdownDuration = 3 \* time.Second/maxSlowdownDuration = 9 * time.Second/' ./$E
mutant "engine speeds: high quantile" $E/samples.go 's/tokenTimeQuantile = 0.25/tokenTimeQuantile = 0.75/' ./$E
mutant "engine speeds: faded late" $E/model.go 's/estimateTTL  = 10 \* time.Second/estimateTTL  = 30 * time.Second/' ./$E
mutant "engine speeds: faded soon" $E/model.go 's/estimateTTL  = 10 \* time.Second/estimateTTL  = 3300 * time.Millisecond/' ./$E
mutant "engine speeds: unbounded" $E/model.go 's/maxFactor = 8/maxFactor = 24/' ./$E
mutant "engine speeds: peaks of few" $E/target.go 's/minEpisodes = 3/minEpisodes = 1/' ./$E
mutant "engine speeds: peaks of many" $E/target.go 's/minEpisodes = 3/minEpisodes = 9/' ./$E
mutant "engine speeds: peaks kept for long" $E/target.go 's/episodeTTL  = time.Minute/episodeTTL  = 3 * time.Minute/' ./$E
mutant "engine speeds: told though a peer told" $E/exchange.go 's/peerNoticeWindow = 300/peerNoticeWindow = 30/' ./$E

mutant "retry spread: off" pkg/scheduler/versions.go 's/c.SpreadRetries = true/c.SpreadRetries = false/' "./pkg/scheduler -run NewEngine"
mutant "retry spread: a third" pkg/scheduler/retry_spread.go 's/retrySpreadPerEntry = 3 /retrySpreadPerEntry = 1 /' "./pkg/scheduler -run NewEngine"
mutant "retry spread: three times" pkg/scheduler/retry_spread.go 's/maxRetrySpread = 200 /maxRetrySpread = 600 /' "./pkg/scheduler -run OneWaitingPrompt"
mutant "prefill efficiency: not learned" pkg/scheduler/prefill_rate.go 's/^\t\t\tq.observePrefillEfficiency(.*$//' "./pkg/scheduler -run PrefillEfficiency"
mutant "service latency: unknown endpoints have the median" pkg/scheduler/service_choice.go 's/^\ts.assumeUnknownAsFastest(now)$//' "./pkg/scheduler -run NewEndpointIsUsed"
mutant "precedence: also where no kind has time to wait" pkg/scheduler/versions.go 's/c.PrecedenceWhereKindsYield = true/c.PrecedenceWhereKindsYield = false/' "./pkg/scheduler -run NeedsTime"
mutant "precedence: time to wait from a third" pkg/scheduler/precedence.go 's/^const minYieldRatio = 2$/const minYieldRatio = 1/' "./pkg/scheduler -run NeedsTime"
mutant "precedence: time to wait from three times" pkg/scheduler/precedence.go 's/^const minYieldRatio = 2$/const minYieldRatio = 6/' "./pkg/scheduler -run NeedsTime"
mutant "shutdown: cut requests have no cause" internal/gateway/listen.go 's/^\t\tg.cut(ctx, s.callers)$//' "./internal/gateway -run AccountedFor"
mutant "shutdown: no abort" internal/gateway/listen.go 's/^\t\tg.abort(shutdown.ErrStopping)$/\t\t_ = shutdown.ErrStopping/' "./internal/gateway -run AtAStop"
mutant "shutdown: waiting requests stay" pkg/scheduler/dispatch.go 's/^\ts.refuseBeforeStop(now, q)$//' "./pkg/scheduler -run Outlast"
mutant "shutdown: what may outlast the stop is taken" pkg/scheduler/shutdown.go 's/^\treturn outcome.Stopping()$/\treturn nil/' "./pkg/scheduler -run Outlast"
mutant "shutdown: the mean run time decides" pkg/scheduler/run_time.go 's/longRunDeviations = 4/longRunDeviations = 0/' "./pkg/scheduler -run Outlast"
mutant "shutdown: requests are taken after the drain delay" internal/filters/drain/drain.go 's/Deadline()) {$/Deadline()) \&\& w == nil {/' "./internal/filters/drain -run Late"
mutant "shutdown: delegated requests aren't withdrawn" internal/peering/delegation.go 's/^\t\t\twithdraw(call, client, id)$//' "./internal/gateway -run DelegatedRequestsHeldAtAStop"
mutant "shutdown: withdrawn requests are served" internal/peering/withdraw.go 's/if slices.Contains(d.withdrawn\[:\], id) {/if false \&\& slices.Contains(d.withdrawn[:], id) {/' "./internal/peering -run AfterItsWithdrawal"
mutant "shutdown: ended requests are delegated" internal/peering/delegation.go 's/^\tif s.ended {$/\tif false {/' "./internal/peering -run ConnectionOpens"
mutant "shutdown: bodies aren't ended" internal/filters/body/body.go 's/^\t\t_ = control.SetReadDeadline(time.Now())$//' "./internal/gateway -run BodyArrives"
mutant "shutdown: refusals are interrupted" internal/filters/body/body.go 's/^\t\t<-interrupted$//' "./internal/filters/body -run AStopDoesNot"
mutant "shutdown: responses don't close" internal/filters/drain/drain.go 's/httpserver.CloseAfter(w, closing())/_ = closing/' "./internal/gateway -run ResponsesOfAStopping"
mutant "shutdown: requests that arrive late are dropped" internal/httpserver/server.go '/^func (s \*Server) Drain/,/^}/s/^\t_ = s.listener.Close()$/\treturn s.cfg.HTTP.Shutdown(ctx)/' "./internal/httpserver -run Arrive"
mutant "connections: opened ahead for a short time" internal/httpserver/connections.go 's/return ofHead.Add(l.idleTimeout - l.headerTimeout)/return ofHead/' "./internal/httpserver -run OpenedAhead"
mutant "closing: requests are handled" internal/httpserver/server.go 's/if s.connections.phase(c) == closed {/if s.connections.phase(c) == closed \&\& false {/' "./internal/httpserver -run IsNotHandled"
mutant "closing: requests are handled whose context has ended" internal/httpserver/server.go 's/if r.Context().Err() != nil {/if false {/' "./internal/httpserver -run WhoseContextHasEnded"
mutant "closing: bytes are handed on" internal/httpserver/connections.go 's/case n > 0 \&\& !c.all.received(c, time.Now()):/case n > 0 \&\& !c.all.received(c, time.Now()) \&\& false:/' "./internal/httpserver -run WhileTheirConnection"
mutant "closing: connections don't resume" internal/httpserver/connections.go 's/^\t\tl.resume(c)$/\t\treturn false/' "./internal/httpserver -run WhileTheirConnection"
mutant "closing: deadlines stay" internal/httpserver/connections.go 's/^\t_ = c.Conn.SetReadDeadline(c.readDeadline)$//' "./internal/httpserver -run WhileTheirConnection"
mutant "closing: ending connections read on" internal/httpserver/connections.go 's/if c.all.phase(c) != serving {/if false {/' "./internal/httpserver -run ReadsNoMore"
mutant "closing: heads are cut in the middle" internal/httpserver/connections.go 's/case c.state == http.StateNew || c.receiving:/case c.state == http.StateNew:/' "./internal/httpserver -run OfWhichPart|UntilItsClient"
mutant "closing: closed connections reopen" internal/httpserver/connections.go 's/^\t\tif c.phase == closed {$/\t\tif false {/' "./internal/httpserver -run StaysClosed|WhileTheirConnection"
mutant "closing: early bytes are forgotten" internal/httpserver/connections.go '/^func (l \*connections) update/,/^}/s/if c.idle(now) {/if true {/' "./internal/httpserver -run AByteThatComes"
mutant "closing: responses before an unread request are cut" internal/httpserver/connections.go 's/c.answered \&\& c.unread()/false/' "./internal/httpserver -run APipelinedRequest"
mutant "closing: drains miss unread requests" internal/httpserver/connections.go 's/c.receiving = c.receiving || c.unread()$/_ = c.unread/' "./internal/httpserver -run APipelinedRequest"
mutant "closing: aborted responses of HTTP/1.0 appear complete" internal/httpserver/connections.go 's/case c.all.cuts(c):/case false:/' "./internal/httpserver -run ACutResponse"
mutant "closing: cut responses of HTTP/1.0 appear complete" internal/httpserver/connections.go 's/if c.http10 \&\& c.state == http.StateActive {/if false {/' "./internal/httpserver -run ACutResponse"
mutant "closing: heads that are cut are answered" internal/httpserver/connections.go 's/ \&\& !c.all.active(c):$/ \&\& false:/' "./internal/httpserver -run AHeadThatIsCut"
mutant "closing: parts of pipelined heads are answered" internal/httpserver/connections.go '/if c.all.phase(c) != serving {/,/}/s/_ = c.Conn.Close()//' "./internal/httpserver -run APipelinedRequest"
mutant "closing: a stop that is held up has no time to answer" internal/gateway/listen.go 's/^\t\tpause.For(ctx, schedule.AnswerTime())$/\t\tpause.For(ctx, clock.Until(schedule.Close))/' "./internal/gateway -run HeldUp"
mutant "closing: writes don't count" internal/httpserver/connections.go 's/^\tc.all.writes(c)$//' "./internal/httpserver -run AByteThatComes|DuringADrain|HoldUp"
mutant "closing: a drain doesn't wait" internal/httpserver/connections.go 's/return len(l.open) > 0/return len(l.open) > l.ending/' "./internal/httpserver"
mutant "closing: drains miss what is being accepted" internal/httpserver/connections.go '/^func (l \*connections) add/,/^}/s/if l.draining {/if false {/' "./internal/httpserver -run WhileADrainEnds"
mutant "closing: refusals wait for the body" internal/httpserver/server.go 's/_ = c.SetReadDeadline(time.Now().Add(arrivedTimeout))/_ = arrivedTimeout/' "./internal/httpserver -run ARefusal"
mutant "closing: bodies stay unread" internal/httpserver/connections.go 's/^\t_, _ = io.Copy(io.Discard, c.Conn)$/\t_ = io.EOF/' "./internal/httpserver -run ARefusal"
mutant "closing: connections with requests are closed" internal/httpserver/connections.go 's/^\tcase c.state == http.StateActive:$/\tcase false:/' "./internal/httpserver -run WhileTheirConnection|DuringADrain|IdleLongest"
mutant "closing: late requests aren't ended" internal/shutdown/shutdown.go 's/if open.Err() != nil {/if false {/' ./internal/filters/drain
mutant "closing: responses begin after the end" internal/shutdown/shutdown.go 's/if detach() {/if detach() || true {/' "./internal/gateway -run NoResponseBegins"
mutant "closing: delegated responses begin after the end" internal/peering/delegation.go 's/if !r.mayBegin() {/if false {/' "./internal/peering -run NoDelegatedResponse"
mutant "closing: incomplete answers are followed after the end" internal/answer/answer.go 's/ \&\& !shutdown.BeginResponse(ctx) {/ \&\& shutdown.BeginResponse(ctx) \&\& false {/' ./internal/answer
mutant "closing: delegated requests are released before their responses" internal/peering/delegation.go 's/^\t\tdefer release()$/\t\trelease()/' "./internal/peering -run ReleasedOnce"
mutant "closing: responses that cross a withdrawal are dropped" internal/peering/withdraw.go 's/ || connect.CodeOf(err) == connect.CodeNotFound {/ {/' "./internal/peering -run CrossesIts"
mutant "closing: requests that have ended are sent" internal/upstream/pool.go 's/if ctx.Err() != nil {$/if false {/' "./internal/upstream -run HasEndedIsNotSent"
mutant "closing: looks renew connections" internal/upstream/pool.go 's/^\tp.idle\[life\] = append/\tc.lastUsed = clock.Now()\n&/' "./internal/upstream -run ALookDoesNot"
mutant "closing: requests without a body are repeated" internal/engineclient/engineclient.go 's/if body == nil {/if false {/' "./internal/engineclient -run NoSilent"
mutant "memory: refused bodies hold theirs" internal/filters/body/body.go 's/^\t\t\theld.Release()$//' "./internal/filters/body -run HoldsNoMemory"
mutant "memory: refused calls wait for ever" internal/peering/memory.go 's/^\t\t\t_ = http.NewResponseController(w).SetReadDeadline(.*$//' "./internal/peering -run WithoutRoomThat"
mutant "ended: delegated" internal/peering/delegation.go '/^func (d \*Delegator) Delegate/,/^}/s/if ctx.Err() != nil {/if false {/' "./internal/peering -run HasEndedIsNotDelegated"
mutant "ended: sent while it is withdrawn" internal/peering/delegation.go 's/if sending.end() \&\& context.Cause/if sending.end(); context.Cause/' "./internal/peering -run EndsBeforeItIsSent"
mutant "ended: delegated to the next peer" internal/gateway/delegation.go 's/ || !ownRefusals\[err.Code\] || ctx.Err() != nil {/ || !ownRefusals[err.Code] {/' "./internal/gateway -run WithdrawnAtAStop"
mutant "ended: sent on an open connection" internal/upstream/pool.go '/^func (p \*Pool) exchange/,/^}/s/if ctx.Err() != nil {/if false {/' "./internal/upstream -run HasEndedIsNotSent"
mutant "unread: the end has no time" internal/filters/respond/respond.go 's/^\t\ts.allow()$//' "./internal/gateway -run EndComesLate"
mutant "memory: heads unbounded" internal/upstream/conn.go 's/if !c.headLimited {/if true {/' "./internal/upstream -run WithoutEnd"
mutant "memory: fields unbounded" internal/upstream/pool.go 's/if fields > maxHeadFields {/if false {/' "./internal/upstream -run ManyFields"
mutant "memory: idle connections aren't swept" internal/upstream/pool.go 's/^\t\tp.sweep()$//' "./internal/upstream -run IdleConnection"
mutant "memory: budgets grant all" internal/membudget/membudget.go 's/if b.used.Add(n) > b.limit {/if b.used.Add(n) < 0 {/' "./internal/membudget ./internal/peering -run WithoutEnd|Bounds|Resizes|Reservation"
mutant "memory: responses of peers unbounded" internal/peering/memory.go 's/if !b.message.held.Resize(2 \* b.message.size) {/if false {/' "./internal/peering -run WithoutEnd"
mutant "memory: compressed calls unbounded" internal/peering/memory.go 's/if !d.memory.Resize(2 \* d.size) {/if false {/' "./internal/peering -run WithoutEnd"
mutant "memory: large answers are refused" internal/relay/relay.go 's/if errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, membudget.ErrExhausted) {/if false {/' "./internal/gateway -run AnyLength"
mutant "memory: large answers are repeated" pkg/retry/retry.go 's/if a.Begun || a.Released > 0 \&\& !a.Resumable/if a.Released > 0 \&\& !a.Resumable/' "./internal/gateway -run LargeAnswerThatBreaks"
mutant "readership: not announced" internal/gateway/parts.go 's/^\tg.config.Announce = g.announceReader$//; s/^\tg.readers = readership.New/\tg.readers = nil; _ = readership.New/' "./internal/gateway -run ReadersEnd"
mutant "readership: announced for long" pkg/readership/readership.go 's/now.Sub(a.at) >= s.cfg.Timeout/now.Sub(a.at) >= 4*s.cfg.Timeout/' ./pkg/readership
mutant "readership: nobody steps back" pkg/readership/readership.go 's/reads \&\& !s.enough(readingAbove, askingAbove):/reads \&\& (true || !s.enough(readingAbove, askingAbove)):/' ./pkg/readership
mutant "readership: all ask" pkg/readership/readership.go 's/^\tmaxAsking = 2$/\tmaxAsking = 20/' ./pkg/readership
mutant "readership: ends aren't announced" pkg/readership/readership.go 's/^\t\tdelete(s.announcements, vm)$//' ./pkg/readership

mutant "own answer: two tries on a connection" internal/upstream/conn.go 's/return !c.carried\[xxhash.Sum64String(requestID)\]/return true/' "./internal/upstream -run LateAnswer"
mutant "own answer: two calls on a connection" internal/upstream/conn.go 's/^\t\treturn !c.anonymous$/\t\treturn true/' "./internal/upstream -run LateAnswerToACall"
mutant "own answer: connections are never used up" internal/upstream/conn.go 's/return len(c.carried) >= maxCarried/return false/' "./internal/upstream -run BoundedNumber"
mutant "own answer: answers without an ID are taken" internal/upstream/pool.go 's/if a.RequestID != r.ID \&\& a.RequestID == "" \&\& !c.anonymous {/if false {/; s/^\t\tif a.RequestID != r.ID {$/\t\tif a.RequestID != "" \&\& a.RequestID != r.ID {/' "./internal/upstream -run WithoutAnID"
mutant "cut answers: a cut head as a malformed one" internal/upstream/pool.go 's/case err != nil \&\& c.headErr != nil:/case false:/' ./internal/upstream
mutant "cut answers: codings of HTTP/1.0 ignored" pkg/responsehead/responsehead.go 's/if coded \&\& p.version10 {/if coded \&\& p.version10 \&\& !p.fields {/' ./pkg/responsehead
mutant "cut answers: streams without events" internal/relay/pass.go 's/if !resp.Framed \&\& !p.state.HeaderSent {/if false {/' "./internal/gateway -run TestAStreamThatEnds"
mutant "cut answers: calls without a body" internal/engineclient/engineclient.go 's/^\tif body == nil {$/\tif false {/' ./internal/engineclient
mutant "cut answers: delegated parts" internal/peering/delegation.go 's/^\tcase started:$/\tcase false:/' "./internal/peering -run TestAResponseOfAPeerCut"

hf="./internal/hostfaults -run"
mutant "daemons: a log without a reader ends them" internal/earlysignals/earlysignals.go 's/^\tsignal.Ignore(syscall.SIGPIPE)$//' "$hf Streams"
mutant "daemons: SIGHUP before main ends them" internal/earlysignals/constructor.go 's/signal(SIGHUP, SIG_IGN);//' "$hf Hangups"
mutant "daemons: SIGHUP isn't caught" internal/earlysignals/earlysignals.go 's/^\tsignal.Notify(hangups, syscall.SIGHUP)$//' "$hf BadSettings"
mutant "daemons: taken addresses aren't waited for" internal/waitfor/waitfor.go 's/if !pause.For(ctx, wait) {/if pause.For(ctx, wait) || true {/' "$hf Ports"
mutant "settings: unchecked" platform/settings.go 's/if err := s.checkEssential(); err != nil {/if err := s.checkEssential(); false {/' "$hf BadSettings"
mutant "settings: odd fields are taken" platform/settings.go 's/if s.Bounds.Grace <= 0 {/if false {/' "$hf OddSettings"

up=internal/upstream hc=internal/httpclient
mutant "broken answers: uploads that failed" $up/pool.go '/^func (r \*Response) Read/,/^}/s/if !r.Framed {/if false {/' "./$up -run EndsWell"
mutant "broken answers: uploads that go on" $up/upload.go 's/^\t<-u.done$/\tif !u.complete() {\n\t\treturn nil\n\t}/' "./$up -run EndsWell"
mutant "broken answers: framed ones await uploads" $up/pool.go '/^func (r \*Response) Read/,/^}/s/if !r.Framed {/if true {/' "./$up -run AFramedBody"
mutant "broken answers: discarded ones await uploads" $up/pool.go '/^func (r \*Response) Discard/,/^}/s/if !r.reusable {/if false {/' "./$up -run Discarding"
mutant "broken answers: heads of endpoints unchecked" $up/pool.go 's/case c.headInvalid != nil:/case false:/;s/case !c.head.Done():/case false:/' "./$up -run InvalidHead"
mutant "broken answers: heads read ahead unchecked" $up/conn.go 's/c.checkHead(buffered)$/c.checkHead(buffered[:0])/' "./$up -run SurplusAnswerIsChecked"
mutant "broken answers: clients, uploads that failed" $hc/conn.go 's/if err := c.uploadError(); err != nil {/if err := c.uploadError(); err == net.ErrClosed {/' "./$hc -run EndsWell"
mutant "broken answers: clients, uploads that are held up" $hc/conn.go 's/^\tcase <-written:$/&\n\tdefault:/' "./$hc -run HeldUp"
mutant "broken answers: clients, the last write" $hc/conn.go '/^func (c \*conn) uploadError/,/^}/s/c.writing.Lock()/_ = 0/;/^func (c \*conn) uploadError/,/^}/s/defer c.writing.Unlock()/_ = 0/' "./$hc -run LastWrite"
mutant "broken answers: clients, framed ones await uploads" $hc/conn.go 's/ \&\& !c.head.Framed$//' "./$hc -run AFramedBody"
mutant "broken answers: clients, heads unchecked" $hc/transport.go 's/case err == nil \&\& headErr == nil:/case err == nil:/' "./$hc -run InvalidHead"
mutant "broken answers: clients, heads after informational ones" $hc/conn.go 's/case c.parser.Head().Informational():/case false:/' "./$hc -run InvalidHead"
mutant "broken answers: clients, unsolicited responses" $hc/conn.go '/^func (c \*conn) begin/,/^}/s/, c.headErr = responsehead.Head{}, errNoHead/ = responsehead.Head{}/' "./$hc -run Unsolicited"
mutant "broken answers: invalid heads read on" $up/conn.go '/^func (c \*conn) Read/,/^}/s/if c.headInvalid != nil {/if false {/' "./$up -run InvalidHead"
mutant "broken answers: clients, invalid heads read on" $hc/conn.go 's/if err := c.checkHead(); errors.Is(err, ErrInvalidHead) {/if err := c.checkHead(); false {/' "./$hc -run InvalidHead"
mutant "broken answers: statuses of peers" internal/peering/delegation.go 's/!responsehead.IsFinalStatus(status) {/!responsehead.IsFinalStatus(200) {/' "./internal/peering -run InvalidStatus"
rh="pkg/responsehead/responsehead.go"
mutant "broken answers: any status" $rh 's/if p.head.Status < minStatus || p.head.Status > maxStatus || /if /' ./pkg/responsehead
mutant "broken answers: protocols that nobody asked for" $rh 's/ || p.head.Status == statusSwitchingProtocols {/ {/' ./pkg/responsehead
mutant "broken answers: any version" $rh 's/if !strings.HasPrefix(line, protocol) || len(minor) != 1 || .*{/if len(minor) == 100 {/' ./pkg/responsehead
mutant "broken answers: any name" $rh 's/if !isTokenByte(b) {/if !isTextByte(b) {/' ./pkg/responsehead
mutant "broken answers: any value" $rh 's/if !isTextByte(b) {/if b == 0 {/' ./pkg/responsehead
mutant "broken answers: a CR within a line" $rh 's/case p.cr:/case p.cr \&\& b == 0:/' ./pkg/responsehead

exit $green
