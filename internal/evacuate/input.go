package evacuate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const (
	// reportTimeout limits the fetch of a list of runs. Without the list, the plan covers only
	// this entry's own runs.
	reportTimeout = 300 * time.Millisecond
	// reportDelay is the age of a report when it is received: the remaining time in a report
	// exceeds the time until the engine terminates by half a second.
	reportDelay = 500 * time.Millisecond
	// projectionIndex is the index of the memory projection in which a target must have room.
	// Its horizon is some seconds of decoding.
	projectionIndex = 1
	// maxUtilization is the share of a target's memory up to which copies are placed there.
	// The rest is reserved for the growth of the target's runs.
	maxUtilization = 0.9
	// maxSpareUtilization is the share of a target's memory up to which generations are placed
	// there that would be lost otherwise. The rest is what the target's runs add until a report
	// arrives: up to 24 runs generate 30 to 65 tokens a second for half a second.
	maxSpareUtilization = 0.97
	// moveOverhead is the time of a move besides the copy of the memory: the difference
	// between the time of a handoff and its bytes divided by the link rate.
	moveOverhead = 20 * time.Millisecond
	// crossDataCenterFactor is how many times longer a copy to another data centre takes
	// (PROTOCOL, model servers).
	crossDataCenterFactor = 2
	bitsPerByte           = 8
)

// planInput builds the input of a plan, with reports that are fetched from all engines
// concurrently.
func (e *Evacuator) planInput(ctx context.Context, group []fleet.Endpoint, sessions map[string]*relay.Session) evacuation.Input {
	in := evacuation.Input{Sources: make([]evacuation.Source, len(group)), DisableSlack: e.cfg.Disabled.CopySlack, Refused: e.refused}
	var reports sync.WaitGroup
	for i, source := range group {
		service, ok := e.cfg.Service(source.Targets[0])
		if !ok || service.Engine == nil {
			continue
		}
		in.Link = engineLink(service.Engine)
		reports.Go(func() { in.Sources[i] = e.planSource(ctx, source, service.Engine, sessions) })
	}
	reports.Wait()
	in.Targets = e.planTargets(group, in.Sources)
	return in
}

// planSource describes a leaving engine to the planner.
func (e *Evacuator) planSource(ctx context.Context, endpoint fleet.Endpoint, engine *table.Engine, sessions map[string]*relay.Session) evacuation.Source {
	report, err := e.fetchReport(ctx, endpoint)
	if isUnreachable(err) {
		// Each copy would wait for a connection timeout too. The next pass tries again.
		e.cfg.Log.Warn("leaving engine not reachable; nothing is moved in this pass", "endpoint", endpoint.ID, "error", err)
		e.cfg.OnRefused(causeSourceUnreachable)
		return evacuation.Source{ID: endpoint.ID, DataCenter: endpoint.DataCenter}
	}
	if err != nil {
		e.cfg.Log.Warn("fetching the list of runs failed; planning with local runs only", "endpoint", endpoint.ID, "error", err)
	}
	return evacuation.Source{
		ID:         endpoint.ID,
		DataCenter: endpoint.DataCenter,
		Runs:       e.mergeRuns(report, sessions, endpoint.ID, engine.TokensPerEvent),
		Remaining:  remainingTime(report),
	}
}

// logPlan logs the runs of each leaving engine, the number of planned moves, and the free memory of
// all targets.
func (e *Evacuator) logPlan(in evacuation.Input, steps []evacuation.Step) {
	free := 0
	for _, t := range in.Targets {
		free += max(t.FreeTokens, 0)
	}
	for _, source := range in.Sources {
		local, planned := 0, 0
		for _, r := range source.Runs {
			if r.Local {
				local++
			}
		}
		for _, s := range steps {
			if s.Source == source.ID {
				planned++
			}
		}
		e.cfg.Log.Info("evacuation", "endpoint", source.ID, "mine", local, "runs", len(source.Runs),
			"targets", len(in.Targets), "steps", planned, "left_ms", source.Remaining.Milliseconds(), "free_tokens", free)
	}
}

func (e *Evacuator) fetchReport(ctx context.Context, source fleet.Endpoint) (engines.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := e.cfg.Engines.Report(ctx, source)
	if err != nil {
		return engines.Report{}, err
	}
	if report.EffectiveIncarnation(source) != source.Incarnation {
		return engines.Report{}, fleet.InstanceEndedError{Instance: source.Instance()}
	}
	return report, nil
}

// mergeRuns combines an engine's list of runs with this entry's sessions there that the list
// doesn't contain yet.
func (e *Evacuator) mergeRuns(report engines.Report, sessions map[string]*relay.Session, endpointID string, tokensPerEvent int) []evacuation.Run {
	var merged []evacuation.Run
	listed := map[string]bool{}
	for _, r := range report.Runs {
		listed[r.RequestID] = true
		outputTokens := min(r.Events*tokensPerEvent, r.Tokens)
		merged = append(merged, evacuation.Run{RequestID: r.RequestID, Tokens: r.Tokens, OutputTokens: outputTokens, Local: sessions[r.RequestID] != nil, Moved: e.wasMoved(r.RequestID)})
	}
	for id, s := range sessions {
		if !listed[id] && s.Endpoint().ID == endpointID {
			merged = append(merged, evacuation.Run{RequestID: id, Tokens: s.Tokens(tokensPerEvent), Local: true, Unlisted: true})
		}
	}
	return merged
}

// remainingTime returns the time until the engine terminates, corrected by the age of the
// report, or zero if the engine didn't report it.
func remainingTime(r engines.Report) time.Duration {
	if r.LeavesIn == 0 {
		return 0
	}
	return max(r.LeavesIn-reportDelay, time.Millisecond)
}

func engineLink(engine *table.Engine) evacuation.Link {
	return evacuation.Link{
		BytesPerToken:         engine.KVBytesPerToken,
		BytesPerSecond:        engine.LinkBitsPerSecond / bitsPerByte,
		Overhead:              moveOverhead,
		CrossDataCenterFactor: crossDataCenterFactor,
	}
}

// planTargets returns the engines that may take generations of a group. They are in the same
// region, which is allowed for every request that runs in the group.
func (e *Evacuator) planTargets(group []fleet.Endpoint, sources []evacuation.Source) []evacuation.Target {
	var targets []evacuation.Target
	e.cfg.Dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		planned := reservedFor(sources, s.Reservations(now))
		for _, status := range s.Status(now) {
			endpoint, ok := e.cfg.Endpoint(status.ID)
			if !ok || status.Leaving || status.Throttled || status.Breaker != retry.Closed || status.DataCenterUnreachable || endpoint.Targets[0] != group[0].Targets[0] || endpoint.Region != group[0].Region || contains(group, status.ID) {
				continue
			}
			if target, hasSlot := planTarget(status, endpoint.DataCenter, planned[status.ID], e.cfg.Disabled); hasSlot {
				targets = append(targets, target)
			}
		}
	})
	return targets
}

// planTarget describes an engine to the planner. It returns false if all slots are taken. Free
// memory is what its runs, the prompts in its queue and reservations leave within some seconds. Spare
// memory ignores what the runs and the queued prompts will use only then. planned is what the
// reservations for runs of the plan itself take.
func planTarget(status scheduler.EndpointStatus, dataCenter string, planned room, disabled DisabledFeatures) (target evacuation.Target, hasSlot bool) {
	status.ReservedTokens -= planned.tokens
	status.ReservedSlots -= planned.slots
	if disabled.Reservations {
		status.QueuedPromptTokens = 0
	}
	target = evacuation.Target{ID: status.ID, DataCenter: dataCenter}
	capacity := float64(status.CapacityTokens)
	taken := status.UnattributedTokens + status.ReservedTokens
	target.FreeTokens = int(maxUtilization*capacity) - int(status.Projected[projectionIndex]) - status.QueuedPromptTokens - taken
	if !disabled.Retargeting {
		freeNow := int(maxSpareUtilization*capacity) - int(status.Projected[0]) - taken
		target.SpareTokens = max(freeNow-target.FreeTokens, 0)
	}
	if status.Slots > 0 {
		target.FreeSlots = status.Slots - status.Running - status.PeersRunning - status.ReservedSlots
		return target, target.FreeSlots > 0
	}
	return target, true
}

// room is memory in tokens, and slots.
type room struct{ tokens, slots int }

// reservedFor returns the reservations for the runs of the sources, by endpoint. They are part of
// the plan that is being made: other entries that plan for the same group have announced them.
func reservedFor(sources []evacuation.Source, reservations []scheduler.Reservation) map[string]room {
	runs := map[uint32]bool{}
	for _, source := range sources {
		for _, r := range source.Runs {
			runs[evacuation.RunHash(r.RequestID)] = true
		}
	}
	planned := map[string]room{}
	for _, r := range reservations {
		if runs[r.Run] {
			known := planned[r.Endpoint]
			planned[r.Endpoint] = room{known.tokens + r.Tokens, known.slots + 1}
		}
	}
	return planned
}

func contains(group []fleet.Endpoint, id string) bool {
	return slices.ContainsFunc(group, func(e fleet.Endpoint) bool { return e.ID == id })
}
