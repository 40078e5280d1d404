// Package operatorapi holds the messages of an entry's operator address.
package operatorapi

import (
	"math"

	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Paths of the operator address.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathExplain = "/explain"
	PathWaiting = "/waiting"
)

// Query parameters of PathExplain.
const (
	ParamWorkspace    = "workspace"
	ParamKind         = "kind"
	ParamPromptTokens = "prompt_tokens"
)

// Status is what an entry believes, and how old each belief is.
type Status struct {
	VM          string         `json:"vm"`
	DataCenter  string         `json:"data_center"`
	Ready       bool           `json:"ready"`
	Stopping    bool           `json:"stopping"`
	UptimeMS    int64          `json:"uptime_ms"`
	Values      []Value        `json:"values"`
	TableErrors []string       `json:"table_errors,omitempty"`
	Members     []Member       `json:"members"`
	Endpoints   []Endpoint     `json:"endpoints"`
	Leaves      []Leave        `json:"leaves"`
	Waiting     int            `json:"waiting"`
	Tickets     Tickets        `json:"tickets"`
	Violations  map[string]int `json:"invariant_violations"`
}

// Value is one published value.
type Value struct {
	Name string `json:"name"`
	// Era counts the restores of the platform's store; the revisions are of it.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// AgeMS is the time since this entry adopted it.
	AgeMS int64 `json:"age_ms"`
	// SeenRevision is the highest revision seen, good or bad, of SeenEra.
	SeenEra      uint64 `json:"seen_era,omitempty"`
	SeenRevision uint64 `json:"seen_revision"`
}

// Member is another entry.
type Member struct {
	VM         string `json:"vm"`
	DataCenter string `json:"data_center"`
	Status     string `json:"status"`
	AgeMS      int64  `json:"age_ms"`
}

// Endpoint is one endpoint.
type Endpoint struct {
	ID           string  `json:"id"`
	Leaving      bool    `json:"leaving"`
	Breaker      string  `json:"breaker"`
	Running      int     `json:"running"`
	PeersRunning int     `json:"peers_running"`
	Projected    float64 `json:"projected_tokens"`
	Capacity     int     `json:"capacity_tokens"`
	GapMS        float64 `json:"time_between_tokens_ms"`
	ReportAgeMS  int64   `json:"report_age_ms"`
	Preemptions  int     `json:"preemptions"`
}

// Leave is an endpoint known to be leaving.
type Leave struct {
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
}

// Tickets counts the runs and records of the at-most-once ledger.
type Tickets struct {
	Running int `json:"running"`
	Records int `json:"records"`
}

// Explanation says what an entry would do with a request.
type Explanation struct {
	Found        bool        `json:"found"`
	Row          string      `json:"row"`
	Era          uint64      `json:"table_era,omitempty"`
	Revision     uint64      `json:"table_revision"`
	InFlight     int         `json:"in_flight"`
	MaxInFlight  int         `json:"max_in_flight"`
	Queued       int         `json:"queued"`
	MaxQueued    int         `json:"max_queued"`
	Ahead        int         `json:"waiting_ahead"`
	ExpectedWait string      `json:"expected_wait"`
	Projected    []float64   `json:"projected_tokens"`
	Candidates   []Candidate `json:"candidates"`
	Chosen       string      `json:"chosen"`
	// Waiting are the requests that wait for the same target, in order, at most MaxWaiting.
	Waiting []WaitingRequest `json:"waiting"`
}

// MaxWaiting is how many waiting requests of a target are listed.
const MaxWaiting = 50

// WaitingRequest is a request that waits at the entry.
type WaitingRequest struct {
	Target    string `json:"target"`
	Workspace string `json:"workspace"`
	Kind      string `json:"kind"`
	Rank      int    `json:"rank"`
	Priority  int    `json:"priority"`
	WaitedMS  int64  `json:"waited_ms"`
	// LeftMS is the time until the end of the objective; negative if that has passed.
	LeftMS int64 `json:"left_ms"`
	// UsedShare is the recent use of the workspace at this entry as a multiple of the mean.
	UsedShare float64 `json:"used_share"`
	// MaxBacklog bounds the pending prefill tokens of an engine that gets the request; -1 for none.
	MaxBacklog float64 `json:"max_backlog_tokens"`
	Reason     string  `json:"reason"`
}

// NewWaiting converts the scheduler's description of waiting requests.
func NewWaiting(waiting []scheduler.WaitingRequest) []WaitingRequest {
	out := make([]WaitingRequest, 0, len(waiting))
	for _, w := range waiting {
		maxBacklog := w.MaxBacklog
		if math.IsInf(maxBacklog, 1) {
			maxBacklog = -1
		}
		out = append(out, WaitingRequest{
			Target: w.Target, Workspace: w.Workspace, Kind: w.Kind, Rank: w.Rank, Priority: w.Priority,
			WaitedMS: w.Waited.Milliseconds(), LeftMS: w.TimeLeft.Milliseconds(), UsedShare: w.UsedShare,
			MaxBacklog: maxBacklog, Reason: string(w.Reason),
		})
	}
	return out
}

// Candidate is one endpoint as the scheduler rates it.
type Candidate struct {
	ID       string  `json:"id"`
	Local    bool    `json:"local"`
	Leaving  bool    `json:"leaving"`
	Broken   bool    `json:"broken"`
	Fill     float64 `json:"fill"`
	Fits     bool    `json:"fits"`
	Slowness float64 `json:"slowness"`
	Kept     bool    `json:"kept"`
	Score    float64 `json:"score"`
	// Tier comes before Score; lower ones go first.
	Tier int `json:"tier"`
	// StartMS is the expected time to the first token in milliseconds; zero if it isn't estimated.
	StartMS int64 `json:"start_ms"`
	// GapRatio is the expected longest time between two events relative to the row's objective;
	// zero if unknown.
	GapRatio float64 `json:"gap_ratio"`
}
