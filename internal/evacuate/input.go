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
	// reportTimeout is for the list of runs: without it the plan is made of what
	// this entry knows.
	reportTimeout = 300 * time.Millisecond
	// reportAge is how old a report is when it is read: what engines said of the time
	// that they had left was half a second more than they lived.
	reportAge = 500 * time.Millisecond
	// growth is the horizon, by index, at which a target needs to have room: some
	// seconds of decoding.
	growth = 1
	// usableShare is the share of a target's memory that copies may fill; the rest
	// is for the growth of what runs there.
	usableShare = 0.9
	// overhead is what moving one generation takes besides the copy of its memory: the
	// difference of handoffs' times and their bytes over the link's rate.
	overhead = 20 * time.Millisecond
	// farFactor is by how much longer a copy to another data centre takes
	// (PROTOCOL, model servers).
	farFactor   = 2
	bitsPerByte = 8
)

// input asks the engines for their runs, all at the same time.
func (e *Evacuator) input(ctx context.Context, group []fleet.Endpoint, mine map[string]*relay.Session) evacuation.Input {
	in := evacuation.Input{Sources: make([]evacuation.Source, len(group)), Targets: e.targets(group), DisableSlack: e.cfg.Off.CopySlack}
	var reports sync.WaitGroup
	for i, source := range group {
		service, ok := e.cfg.Service(source.Targets[0])
		if !ok || service.Engine == nil {
			continue
		}
		in.Link = link(service.Engine)
		reports.Go(func() { in.Sources[i] = e.source(ctx, source, service.Engine, mine) })
	}
	reports.Wait()
	return in
}

// source describes a leaving engine.
func (e *Evacuator) source(ctx context.Context, at fleet.Endpoint, engine *table.Engine, mine map[string]*relay.Session) evacuation.Source {
	report, err := e.report(ctx, at)
	if err != nil {
		e.cfg.Log.Warn("no list of runs, the plan is made of the own ones", "endpoint", at.ID, "error", err)
	}
	return evacuation.Source{
		ID:         at.ID,
		DataCenter: at.DataCenter,
		Runs:       runs(report, mine, at.ID, engine.TokensPerEvent),
		Remaining:  left(report),
	}
}

// logPlan logs what is known of each leaving engine and how much of it is moved.
func (e *Evacuator) logPlan(in evacuation.Input, steps []evacuation.Step) {
	for _, source := range in.Sources {
		mine, planned := 0, 0
		for _, r := range source.Runs {
			if r.Local {
				mine++
			}
		}
		for _, s := range steps {
			if s.Source == source.ID {
				planned++
			}
		}
		e.cfg.Log.Info("evacuation", "endpoint", source.ID, "mine", mine, "runs", len(source.Runs),
			"targets", len(in.Targets), "steps", planned, "left_ms", source.Remaining.Milliseconds())
	}
}

func (e *Evacuator) report(ctx context.Context, source fleet.Endpoint) (engines.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := e.cfg.Engines.Report(ctx, source)
	if err != nil {
		return engines.Report{}, err
	}
	if report.IncarnationAt(source) != source.Incarnation {
		return engines.Report{}, fleet.InstanceEndedError{Instance: source.Instance()}
	}
	return report, nil
}

// runs joins an engine's list with the streams that it doesn't show yet.
func runs(report engines.Report, mine map[string]*relay.Session, at string, perEvent int) []evacuation.Run {
	var out []evacuation.Run
	listed := map[string]bool{}
	for _, r := range report.Runs {
		listed[r.RequestID] = true
		made := min(r.Events*perEvent, r.Tokens)
		out = append(out, evacuation.Run{RequestID: r.RequestID, Tokens: r.Tokens, OutputTokens: made, Local: mine[r.RequestID] != nil})
	}
	for id, s := range mine {
		if !listed[id] && s.Endpoint().ID == at {
			out = append(out, evacuation.Run{RequestID: id, Tokens: s.Tokens(perEvent), Local: true, Unlisted: true})
		}
	}
	return out
}

// left corrects the time that an engine still has by the age of its report.
func left(r engines.Report) time.Duration {
	if r.LeavesIn == 0 {
		return 0
	}
	return max(r.LeavesIn-reportAge, time.Millisecond)
}

func link(engine *table.Engine) evacuation.Link {
	return evacuation.Link{
		BytesPerToken:         engine.KVBytesPerToken,
		BytesPerSecond:        engine.LinkBitsPerSecond / bitsPerByte,
		Overhead:              overhead,
		CrossDataCenterFactor: farFactor,
	}
}

// targets lists the engines that may take generations of a group. They are of the same region,
// which every request that runs there may go to.
func (e *Evacuator) targets(group []fleet.Endpoint) []evacuation.Target {
	var out []evacuation.Target
	e.cfg.Dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		for _, st := range s.Status(now) {
			at, known := e.cfg.Endpoint(st.ID)
			if !known || st.Leaving || st.Throttled || st.Breaker != retry.Closed || at.Targets[0] != group[0].Targets[0] || at.Region != group[0].Region || contains(group, st.ID) {
				continue
			}
			out = append(out, evacuation.Target{
				ID:         st.ID,
				DataCenter: at.DataCenter,
				FreeTokens: int(usableShare*float64(st.CapacityTokens)) - int(st.Projected[growth]) - st.UnattributedTokens,
			})
		}
	})
	return out
}

func contains(group []fleet.Endpoint, id string) bool {
	return slices.ContainsFunc(group, func(e fleet.Endpoint) bool { return e.ID == id })
}
