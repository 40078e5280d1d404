// Package scheduler decides, at one entry, which request goes to which endpoint
// and when, and which is refused.
//
// # Design
//
// Entries schedule independently. An entry's view of its own in-flight requests is
// exact, its view of the peers' load is what they last published, and its view of the
// endpoints' load comes from reports that arrive with a lag. From these it keeps, per
// endpoint, a projection of the memory in use now and over the next steps (package
// lengths). A request is dispatched to an endpoint when its own projection fits in
// addition, with a margin of Config.MarginStdDevs standard deviations.
//
// Waiting requests are ordered by the latest time at which they may start, urgent ones
// first. The first request of a target that doesn't fit blocks all non-urgent requests
// behind it, so that small requests can't starve large ones. A fraction of each
// endpoint's memory is reserved for urgent requests, so that large requests can't starve
// them. A request whose expected wait, by the observed drain rate, exceeds what its row of
// the table allows is refused at once, unless it displaces waiting requests of a lower
// value per cost.
//
// From version v17 on, precedence is the rank of the workspace and then the priority of the row. A
// request leaves prefill and memory of engines to requests of higher precedence; waiting requests
// are ordered by precedence, by the shares of their workspaces and by the end of their objective; and
// a request is refused as soon as it isn't expected to start in time.
//
// Files that handle one overload or failure condition say in a comment at the top which
// one, and the reason for each threshold stands beside it: ttft.go and prefill_rate.go
// (prompts arrive faster than engines process them), run_time.go (requests wait for a
// slot or memory), pending_prompts.go (engines are slower than estimated), reachability.go
// (a data centre is cut off), remote_load.go (only other data centres have free capacity),
// throttling.go (endpoints limit their request rate), peer_load.go (several entries send to
// the same engines), cold.go (endpoints restart with a lower capacity), isolation.go (requests
// crash engines), and service_latency.go and service_choice.go (plain services differ in speed or
// have transient slowdowns). precedence.go and memory_room.go keep engines free for urgent
// requests in a burst, fair_share.go orders what waits, admission.go decides what is refused,
// engine_speed.go, expected_start.go and gap_objective.go place requests where engines differ in
// speed, and reserved_memory.go keeps room for generations that move (engines leave during a
// burst of prompts).
//
// # States
//
//	Submit --> [queued] --Next--> [running] --Finish--> done
//	   |          |
//	   v          v
//	refused    refused
//
// A request that was proven not to have run is submitted again by the caller.
//
// Policies do no I/O and read no clock: the caller passes the time and serialises calls.
package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// MinUrgentPriority is the lowest priority in the table that counts as urgent.
const MinUrgentPriority = 7

// ID identifies a request at its entry.
type ID uint64

// Request holds the properties of a request that a policy depends on.
type Request struct {
	ID        ID
	Workspace string
	Kind      string
	Row       table.Row
	// PromptTokens is the length of the prompt in tokens; zero for plain services.
	PromptTokens int
	// MaxTokens is the caller's bound on the output, in tokens; zero means none.
	MaxTokens int
	// ArrivedAt is when the entry received the request.
	ArrivedAt time.Time
	// Deadline is when its caller no longer waits; zero for the timeout of the row after its arrival.
	Deadline time.Time
	// Avoid is the ID of an endpoint where the request failed before; empty if none.
	Avoid string
	// PermittedRegions limits the workspace's requests to these regions; empty means no limit.
	// The regions of the row apply in addition.
	PermittedRegions []string
	// Rank is the rank of the workspace; a lower rank takes precedence.
	Rank int
	// Identity, if set, returns the identity of the request's content, by which isolated
	// requests are recognised. It hashes the body, so it is called only while some request
	// is isolated.
	Identity func() quarantine.Identity
	// SharedParts, if set, returns the parts of the prompt that other requests may have.
	SharedParts func() []quarantine.Part
}

// Urgent reports whether the request may use the capacity reserved for urgent requests.
func (r *Request) Urgent() bool { return r.Row.Priority >= MinUrgentPriority }

// deadline returns when the caller no longer waits.
func (r *Request) deadline() time.Time {
	if !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.ArrivedAt.Add(r.Row.Timeout)
}

// Dispatch instructs the caller to send a request to an endpoint.
type Dispatch struct {
	ID       ID
	Endpoint fleet.Endpoint
	// ExpectedLatency is the expected time until the answer of a plain service; zero if unknown.
	ExpectedLatency time.Duration
}

// Refusal instructs the caller to end a waiting request with an error.
type Refusal struct {
	ID  ID
	Err *outcome.Error
}

// Actions are the decisions of one call of Next. The slices are valid until the next call.
type Actions struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}

// Result is how a dispatched request ended.
type Result struct {
	// Complete is set if the whole output was received. Output lengths are learned from
	// complete requests only.
	Complete bool
	// ErrorAnswer is set if the output is an error of the endpoint or of the request.
	ErrorAnswer bool
	// Failed is set if the endpoint caused the failure.
	Failed bool
	// Unreachable is set if no connection to the endpoint could be opened.
	Unreachable bool
	// Generated is the number of tokens received.
	Generated int
}

// Report is a load report of an endpoint.
type Report struct {
	Endpoint string
	// Incarnation of the endpoint that reported.
	Incarnation uint64
	// ReportedAt is when the report was made, on this entry's clock.
	ReportedAt time.Time
	// UsedTokens and CapacityTokens are the KV cache memory in use and in total, in tokens.
	UsedTokens     int
	CapacityTokens int
	// Running and Waiting count the requests in the endpoint's batch and in its queue.
	Running int
	Waiting int
	// Preemptions counts preempted requests since the start of the incarnation.
	Preemptions int
}

// Instance returns the endpoint instance that made the report.
func (r Report) Instance() fleet.Instance {
	return fleet.Instance{Endpoint: r.Endpoint, Incarnation: r.Incarnation}
}

// InFlightLoad is the load that the in-flight requests of one entry put on one endpoint.
type InFlightLoad struct {
	Endpoint string
	// Running counts the requests.
	Running int
	// Projected is the memory that the requests are expected to hold, in tokens.
	Projected lengths.Profile
}

// Policy is the scheduling policy of one entry.
type Policy interface {
	// SetEndpoints replaces the endpoints; running requests stay where they are. An endpoint
	// whose incarnation has changed starts without any state of the previous instance.
	SetEndpoints(now time.Time, endpoints []fleet.Endpoint)
	// SetLeaving sets whether the current instance of an endpoint is leaving and so takes no
	// new requests.
	SetLeaving(endpoint string, leaving bool)
	// Submit queues a request, or returns the error with which it is refused.
	Submit(now time.Time, r Request) *outcome.Error
	// Cancel removes a waiting request, for example when its caller disconnects. It returns
	// false if the request isn't waiting.
	Cancel(now time.Time, id ID) bool
	// Next returns the requests to dispatch and to refuse now.
	Next(now time.Time) Actions
	// Progress records how many tokens a running request has generated in total.
	Progress(now time.Time, id ID, generated int)
	// Move records that a running request continues at another endpoint instance.
	Move(id ID, to fleet.Instance)
	// Finish records the end of a running request.
	Finish(now time.Time, id ID, res Result)
	// Report applies a load report. It ignores a report of an instance other than the
	// endpoint's current one.
	Report(now time.Time, r Report)
	// SetPeerLoads replaces the loads published by a peer; nil removes the peer.
	SetPeerLoads(now time.Time, vm string, loads []InFlightLoad)
	// InFlightLoads returns the loads of this entry's own requests, for its peers.
	InFlightLoads() []InFlightLoad
}
