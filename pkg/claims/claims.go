// Package claims makes non-idempotent requests run at most once, without
// shared state.
//
// # Design
//
// A caller takes a ticket before it sends a non-idempotent request. A ticket
// names the one process incarnation that may ever run the request: its owner.
// An entry that gets a ticket of another owner passes the request on; if the
// owner can't be reached, or has been replaced, the answer is MayHaveRun at
// once. No view of the fleet, no clock of another VM and no other node stands
// between a ticket and its owner, so entries that disagree, a data centre
// that is cut off, and a process that wakes late can't make two runs.
//
// The states of a ticket at its owner:
//
//		            Begin                 Finish
//		[unused] ----------> [running] ----------> [finished] --expiry--> [expired]
//		    |   Burn                                   ^                      ^
//		    +------------------------------------------+                      |
//		    +------------------------ expiry ---------------------------------+
//
//	  - unused: no state is kept; the signature proves that the ticket was minted.
//	  - running: a repeat attaches and gets the whole answer from its start.
//	  - finished: a repeat gets the stored outcome, also when it is NotRun. A
//	    ticket that was answered "not run" is burnt, because a late duplicate of
//	    an earlier attempt could otherwise still run it. The refusal carries a
//	    new ticket.
//	  - expired: refused as MayHaveRun, never run. The age is measured on the
//	    owner's own monotonic clock.
//
// Memory is bounded when tickets are minted: at most MaxTickets are within
// their validity, so at most that many records exist. Answers are kept within
// MaxAnswerBytes, the oldest forgotten first; their records stay.
//
// A planned stop hands the authority, which is the signing secret with the
// records, to exactly one successor. The old owner freezes first and never
// runs again, so the right exists at most once whether or not the message
// arrives. (Brief, "What must always hold"; the ways
// weighed are in docs/design/0002-at-most-once.md.)
//
// The package does no I/O; the caller serialises calls.
package claims

import (
	"cmp"
	"crypto/hmac"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Defaults of Config.
const (
	DefaultValidity       = 2 * time.Minute
	DefaultKeepFinished   = 30 * time.Second
	DefaultMaxTickets     = 20_000
	DefaultMaxAnswerBytes = 8 << 20
)

// Config holds the settings of a ledger.
type Config struct {
	VM          string
	PeerAddress string
	Incarnation Incarnation
	// Secret signs tickets; it never leaves the process but in a handover.
	Secret []byte
	// Validity is how long a ticket may be used after it was minted.
	Validity time.Duration
	// KeepFinished is how long an outcome is kept at least.
	KeepFinished time.Duration
	// MaxTickets bounds the tickets within their validity.
	MaxTickets int
	// MaxAnswerBytes bounds the stored answers.
	MaxAnswerBytes int
}

func (c Config) withDefaults() Config {
	c.Validity = cmp.Or(c.Validity, DefaultValidity)
	c.KeepFinished = cmp.Or(c.KeepFinished, DefaultKeepFinished)
	c.MaxTickets = cmp.Or(c.MaxTickets, DefaultMaxTickets)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}

// Key names a record.
type Key struct {
	Incarnation Incarnation
	Serial      uint64
}

// Answer is a stored answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Action is what to do with a request that carries a ticket.
type Action int

// The actions.
const (
	// Refuse: answer with the error.
	Refuse Action = iota
	// Run: this is the first attempt; the caller runs it and calls Finish.
	Run
	// Attach: it is running; follow it from its start.
	Attach
	// Replay: it is finished; answer with the stored outcome.
	Replay
	// Forward: another entry is the owner.
	Forward
)

// Decision is the answer of Begin.
type Decision struct {
	Action Action
	Key    Key
	// Err is set for Refuse, and for Replay of an outcome other than Complete.
	Err *outcome.Error
	// Answer is set for Replay of a complete answer.
	Answer *Answer
}

type phase int

const (
	running phase = iota
	finished
)

type record struct {
	key        Key
	mintedMS   uint64
	digest     Digest
	phase      phase
	dispatched bool
	finishedAt time.Time
	err        *outcome.Error
	answer     *Answer
}

// authority is the right to run the tickets of one incarnation.
type authority struct {
	secret []byte
	// since and elapsed give the incarnation's own time: elapsed at since.
	since   time.Time
	elapsed time.Duration
}

func (a *authority) age(now time.Time, mintedMS uint64) time.Duration {
	own := a.elapsed + now.Sub(a.since)
	return own - time.Duration(mintedMS)*time.Millisecond
}

// Ledger holds the tickets that this process may run.
type Ledger struct {
	cfg         Config
	authorities map[Incarnation]*authority
	records     map[Key]*record
	serial      uint64
	minted      mintWindow
	answers     answerQueue
	frozen      bool
	// adopted are the incarnations ever taken over, and the own one.
	adopted map[Incarnation]bool
}

// New makes a ledger whose own time starts now.
func New(now time.Time, cfg Config) *Ledger {
	cfg = cfg.withDefaults()
	l := &Ledger{
		cfg:         cfg,
		authorities: map[Incarnation]*authority{},
		records:     map[Key]*record{},
		adopted:     map[Incarnation]bool{cfg.Incarnation: true},
	}
	l.authorities[cfg.Incarnation] = &authority{secret: cfg.Secret, since: now}
	return l
}

// Mint makes a ticket for a workspace. It returns false if the ledger is
// frozen or holds as many tickets as it may.
func (l *Ledger) Mint(now time.Time, workspace string) (string, bool) {
	if l.frozen {
		return "", false
	}
	if l.minted.count(now, l.cfg.Validity) >= l.cfg.MaxTickets {
		return "", false
	}
	own := l.authorities[l.cfg.Incarnation]
	l.serial++
	l.minted.add(now)
	t := Ticket{
		OwnerVM:      l.cfg.VM,
		OwnerAddress: l.cfg.PeerAddress,
		Incarnation:  l.cfg.Incarnation,
		Serial:       l.serial,
		MintedMS:     uint64((own.elapsed + now.Sub(own.since)) / time.Millisecond),
	}
	t.mac = sign(own.secret, t, workspace)
	return t.encode(), true
}

// Holds reports whether this process has the authority over an incarnation.
func (l *Ledger) Holds(i Incarnation) bool {
	_, ok := l.authorities[i]
	return ok
}

// Begin decides about a request that carries a ticket.
func (l *Ledger) Begin(now time.Time, t Ticket, workspace string, digest Digest) Decision {
	auth, ok := l.authorities[t.Incarnation]
	if !ok {
		return l.notMine(t)
	}
	if !hmac.Equal(t.mac, sign(auth.secret, t, workspace)) {
		return refuse(outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the ticket is not valid for this workspace"))
	}
	key := Key{t.Incarnation, t.Serial}
	if r := l.records[key]; r != nil {
		return r.repeat(digest)
	}
	if auth.age(now, t.MintedMS) > l.cfg.Validity {
		return refuse(outcome.MayHaveRunf(outcome.CodeTicketExpired, "the ticket has expired"))
	}
	if l.frozen {
		// Only the successor may run it now.
		return Decision{Action: Forward}
	}
	l.records[key] = &record{key: key, mintedMS: t.MintedMS, digest: digest}
	return Decision{Action: Run, Key: key}
}

// notMine tells a ticket of another entry from one of an earlier process on
// this VM, whose memory is lost.
func (l *Ledger) notMine(t Ticket) Decision {
	if t.OwnerVM == l.cfg.VM {
		return refuse(OwnerReplaced())
	}
	return Decision{Action: Forward}
}

// OwnerReplaced is the outcome for a ticket whose owner's memory is lost.
func OwnerReplaced() *outcome.Error {
	return outcome.MayHaveRunf(outcome.CodeOwnerReplaced, "the owner of the ticket has been replaced")
}

func refuse(err *outcome.Error) Decision { return Decision{Action: Refuse, Err: err} }

func (r *record) repeat(digest Digest) Decision {
	if r.digest != digest {
		return refuse(outcome.MayHaveRunf(outcome.CodeTicketConflict, "the ticket was used for another request"))
	}
	d := Decision{Action: Attach, Key: r.key}
	if r.phase == running {
		return d
	}
	d.Action = Replay
	d.Err = r.err
	d.Answer = r.answer
	if r.err == nil && r.answer == nil {
		d.Err = outcome.MayHaveRunf(outcome.CodeAnswerNotKept, "the request ran; its answer is no longer kept")
	}
	return d
}

// Dispatch records that bytes of the request may now reach an endpoint. It
// returns false if that would be a second run; the caller must then not send.
func (l *Ledger) Dispatch(key Key) bool {
	r := l.records[key]
	if !invariant.Check(r != nil && r.phase == running, invariant.AtMostOnce, "dispatch of a ticket that is not running") {
		return false
	}
	if !invariant.Check(!r.dispatched, invariant.AtMostOnce, "second dispatch of serial %d", key.Serial) {
		return false
	}
	r.dispatched = true
	return true
}

// Undispatch takes a dispatch back on proof that the request did not run.
func (l *Ledger) Undispatch(key Key) {
	if r := l.records[key]; r != nil {
		r.dispatched = false
	}
}

// Finish stores the outcome of a run: an answer, or the error.
func (l *Ledger) Finish(now time.Time, key Key, answer *Answer, err *outcome.Error) {
	r := l.records[key]
	if !invariant.Check(r != nil && r.phase == running, invariant.OneFinal, "second outcome of serial %d", key.Serial) {
		return
	}
	if err != nil && err.Outcome == outcome.NotRun {
		invariant.Check(!r.dispatched, invariant.NotRunProof, "serial %d was dispatched", key.Serial)
	}
	r.phase = finished
	r.finishedAt = now
	r.err = err
	if answer != nil {
		r.answer = answer
		l.answers.push(l, r)
	}
}

// Running counts the runs that have no outcome yet.
func (l *Ledger) Running() int {
	n := 0
	for _, r := range l.records {
		if r.phase == running {
			n++
		}
	}
	return n
}

// Records counts the records kept.
func (l *Ledger) Records() int { return len(l.records) }

// Expire forgets records that no ticket can reach any more, and inherited
// authorities whose tickets have all expired.
func (l *Ledger) Expire(now time.Time) {
	inUse := map[Incarnation]bool{l.cfg.Incarnation: true}
	for key, r := range l.records {
		if l.expired(now, r) {
			l.answers.forget(r)
			delete(l.records, key)
			continue
		}
		inUse[key.Incarnation] = true
	}
	for i, a := range l.authorities {
		if !inUse[i] && now.Sub(a.since) > l.cfg.Validity {
			delete(l.authorities, i)
		}
	}
}

func (l *Ledger) expired(now time.Time, r *record) bool {
	if r.phase != finished {
		return false
	}
	age := l.authorities[r.key.Incarnation].age(now, r.mintedMS)
	return age > l.cfg.Validity && now.Sub(r.finishedAt) > l.cfg.KeepFinished
}
