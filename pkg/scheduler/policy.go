// Package scheduler decides, at one entry, which request goes to which endpoint
// and when, and which is refused.
//
// # Design
//
// Entries don't coordinate. Each sees its own work exactly, the others' work
// as their last shares said, and the endpoints' load reports with a lag. From
// these it keeps, per endpoint, a projection of the memory in use now and over
// the next steps (package lengths). A request is dispatched when its own
// projection fits on top, with a margin of Margin standard deviations.
//
// Waiting requests are ordered by the latest time at which they may start, the
// urgent ones first. The first one of a target that doesn't fit holds back all
// that are not urgent behind it, so that small requests can't starve large
// ones; part of each endpoint is held for the urgent ones, so that large
// requests can't starve them. A request whose wait, computed from the measured
// drain rate, would exceed what its row allows is refused at once, or displaces
// waiting ones that are worth less per token.
//
// Loads are answered in files of their own, which say why each threshold is what it is:
// others.go (several entries fill the same engines), start.go, inflow.go and readrate.go
// (more prompts than the engines can read), runtime.go (requests that wait), reach.go (a
// data centre is cut off).
//
//	Submit --> [queued] --Next--> [running] --Finish--> gone
//	   |          |                   |
//	   v          v                   +--Requeue (proven not run)--> [queued]
//	refused    refused
//
// Policies do no I/O and read no clock; the caller passes the time and
// serialises calls.
package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// UrgentPriority is the lowest priority in the table that counts as urgent.
const UrgentPriority = 7

// ID identifies a request at its entry.
type ID uint64

// Request is what a policy needs to know of a request.
type Request struct {
	ID        ID
	Workspace string
	Kind      string
	Row       table.Row
	// PromptTokens is the length of the prompt; zero for plain services.
	PromptTokens int
	// MaxTokens bounds the output, if the caller set it; zero is no bound.
	MaxTokens int
	// Arrived is when the entry got the request.
	Arrived time.Time
	// Avoid is an endpoint that has failed the request, if any.
	Avoid string
	// Regions, if there are any, are the only ones that the workspace's requests may go to;
	// those of the row bind as well.
	Regions []string
	// Identity, if set, gives what the request asks for, by which those are known that are
	// kept apart. It is asked only while there are any, since it hashes the body.
	Identity func() quarantine.Identity
}

// Urgent reports whether the request may use the room held for urgent ones.
func (r *Request) Urgent() bool { return r.Row.Priority >= UrgentPriority }

// Dispatch sends a request to an endpoint.
type Dispatch struct {
	ID       ID
	Endpoint fleet.Endpoint
}

// Refusal ends a waiting request.
type Refusal struct {
	ID  ID
	Err *outcome.Error
}

// Actions is what Next wants done. Its slices are valid until the next call.
type Actions struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}

// Result is how a dispatched request ended.
type Result struct {
	// Complete says that the whole output came; only then is its length learnt.
	Complete bool
	// Failed says that the endpoint is to blame.
	Failed bool
	// Unreachable says that no connection could be had.
	Unreachable bool
	// Generated counts the tokens that came.
	Generated int
}

// Report is a load report of an endpoint.
type Report struct {
	Endpoint string
	// Incarnation of the endpoint that reported.
	Incarnation uint64
	// At is when the report was made, on this entry's clock.
	At             time.Time
	UsedTokens     int
	CapacityTokens int
	Running        int
	Waiting        int
	// Preemptions counts since the incarnation began.
	Preemptions int
}

// Life names the life of the endpoint that the report is of.
func (r Report) Life() fleet.Instance {
	return fleet.Instance{Endpoint: r.Endpoint, Incarnation: r.Incarnation}
}

// Share is the work that an entry has in flight at one endpoint.
type Share struct {
	Endpoint string
	Running  int
	// Projected is the memory that the work is expected to hold.
	Projected lengths.Profile
}

// Policy decides for one entry.
type Policy interface {
	// SetEndpoints replaces the endpoints; running requests stay where they are. An endpoint
	// of another incarnation than before is a new one, which nothing is known of.
	SetEndpoints(now time.Time, endpoints []fleet.Endpoint)
	// SetLeaving sets whether an endpoint may get new work in its present life.
	SetLeaving(endpoint string, leaving bool)
	// Submit takes a request, or refuses it at once.
	Submit(now time.Time, r Request) *outcome.Error
	// Cancel forgets a waiting request whose caller has gone; it returns false
	// if the request isn't waiting.
	Cancel(now time.Time, id ID) bool
	// Next returns what is to be done now.
	Next(now time.Time) Actions
	// Progress records that a running request has generated so many tokens.
	Progress(now time.Time, id ID, generated int)
	// Move records that a running request goes on at another endpoint, in a life of it.
	Move(id ID, to fleet.Instance)
	// Finish records the end of a running request.
	Finish(now time.Time, id ID, res Result)
	// Report takes a load report, unless it is of another life than the endpoint's present.
	Report(now time.Time, r Report)
	// SetShares takes what a peer said of its work; nil forgets the peer.
	SetShares(now time.Time, vm string, shares []Share)
	// Shares returns this entry's own work, for its peers.
	Shares() []Share
}
