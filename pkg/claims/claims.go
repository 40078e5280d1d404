// Package claims runs non-idempotent requests at most once, without shared
// state.
//
// # Design
//
// A caller obtains a ticket before it sends a non-idempotent request. The ticket
// names its owner, the process incarnation that minted it. Only the owner, or the
// successor to which it has handed over, may run the request. An entry that
// receives a ticket of another owner forwards the request to it. If the owner is
// unreachable or has been replaced, the outcome is MayHaveRun at once. Ownership
// depends on no view of the fleet, on no clock of another VM and on no third node,
// so entries with different views, a data centre that is cut off and a process that
// resumes after a suspension can't cause a second run.
//
// The states of a ticket at its owner:
//
//	          Begin                 Finish
//	[unused] ----------> [running] ----------> [finished]
//	    |                                          |
//	    +--- expiry ---> [expired] <--- expiry ----+
//
// A request is handled by the state of its ticket:
//
//   - unused: the request runs. No state is stored; the signature proves that the
//     ticket was minted.
//   - running: a repeated request attaches and gets the whole answer from its start.
//   - finished: a repeated request gets the stored outcome, also when it is NotRun.
//     A refusal consumes the ticket too, because a delayed duplicate of an earlier
//     attempt could otherwise still run it; the refusal carries a new ticket.
//   - expired: refused as MayHaveRun, never run. The age is measured on the
//     owner's monotonic clock.
//
// Memory is bounded when tickets are minted: at most MaxTickets are within their
// validity, which limits the records of an incarnation. Stored answers are limited to
// MaxAnswerBytes; beyond it the oldest are discarded, and their records stay.
//
// On a planned stop the owner hands over its authority, which is the signing
// secret together with the records, to exactly one successor. It freezes first
// and never runs a ticket again, so at most one process holds the authority
// whether or not the message arrives. docs/design/0002-at-most-once.md compares
// the alternatives.
//
// The package does no I/O, and its types are not safe for concurrent use.
package claims

import (
	"cmp"
	"crypto/hmac"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Defaults for Config.
const (
	DefaultValidity          = 2 * time.Minute
	DefaultFinishedRetention = 30 * time.Second
	DefaultMaxTickets        = 20_000
	DefaultMaxAnswerBytes    = 8 << 20
)

// Config configures a Ledger. Zero durations and limits get the defaults.
type Config struct {
	VM          string
	PeerAddress string
	Incarnation Incarnation
	// Secret is the key that signs tickets. It leaves the process only in a handover.
	Secret []byte
	// Validity is how long after its minting a ticket may be used.
	Validity time.Duration
	// FinishedRetention is how long a stored outcome is kept at least.
	FinishedRetention time.Duration
	// MaxTickets limits the number of tickets within their validity.
	MaxTickets int
	// MaxAnswerBytes limits the total size of the stored answers' bodies.
	MaxAnswerBytes int
}

func (c Config) withDefaults() Config {
	c.Validity = cmp.Or(c.Validity, DefaultValidity)
	c.FinishedRetention = cmp.Or(c.FinishedRetention, DefaultFinishedRetention)
	c.MaxTickets = cmp.Or(c.MaxTickets, DefaultMaxTickets)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}

// Key identifies the record of a ticket.
type Key struct {
	Incarnation Incarnation
	Serial      uint64
}

// Answer is the stored answer of a finished request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Action is how the caller of Begin must handle a request that carries a ticket.
type Action int

const (
	// Refuse means that the request is answered with Decision.Err.
	Refuse Action = iota
	// Run means that this is the first attempt: the caller runs it and calls Finish.
	Run
	// Attach means that the request is running: the caller gets its answer from the start.
	Attach
	// Replay means that the request is finished: it is answered with the stored outcome.
	Replay
	// Forward means that another entry owns the ticket.
	Forward
)

// Decision is the result of Begin.
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

// authority is the right to run the tickets that one incarnation minted.
type authority struct {
	secret []byte
	// At the local time acquiredAt, elapsedAtAcquisition had elapsed since the start of the
	// incarnation. Ticket.MintedMS counts from that start.
	acquiredAt           time.Time
	elapsedAtAcquisition time.Duration
}

// age returns the time since a ticket of the incarnation was minted.
func (a *authority) age(now time.Time, mintedMS uint64) time.Duration {
	elapsed := a.elapsedAtAcquisition + now.Sub(a.acquiredAt)
	return elapsed - time.Duration(mintedMS)*time.Millisecond
}

// Ledger tracks the tickets that this process may run.
type Ledger struct {
	cfg         Config
	authorities map[Incarnation]*authority
	records     map[Key]*record
	serial      uint64
	minted      mintWindow
	answers     answerQueue
	frozen      bool
	// adopted holds the own incarnation and every one whose authority was adopted, also after
	// that authority has expired.
	adopted map[Incarnation]bool
}

// New returns a ledger with the authority over cfg.Incarnation, whose time starts at now.
func New(now time.Time, cfg Config) *Ledger {
	cfg = cfg.withDefaults()
	l := &Ledger{
		cfg:         cfg,
		authorities: map[Incarnation]*authority{},
		records:     map[Key]*record{},
		adopted:     map[Incarnation]bool{cfg.Incarnation: true},
	}
	l.authorities[cfg.Incarnation] = &authority{secret: cfg.Secret, acquiredAt: now}
	return l
}

// Mint returns a new ticket for a workspace, as text. It reports false if the
// ledger is frozen or MaxTickets are within their validity.
func (l *Ledger) Mint(now time.Time, workspace string) (string, bool) {
	if l.frozen {
		return "", false
	}
	if l.minted.count(now, l.cfg.Validity) >= l.cfg.MaxTickets {
		return "", false
	}
	auth := l.authorities[l.cfg.Incarnation]
	l.serial++
	l.minted.add(now)
	t := Ticket{
		OwnerVM:      l.cfg.VM,
		OwnerAddress: l.cfg.PeerAddress,
		Incarnation:  l.cfg.Incarnation,
		Serial:       l.serial,
		MintedMS:     uint64((auth.elapsedAtAcquisition + now.Sub(auth.acquiredAt)) / time.Millisecond),
	}
	t.mac = sign(auth.secret, t, workspace)
	return t.encode(), true
}

// HasAuthority reports whether this process has the authority over an incarnation.
func (l *Ledger) HasAuthority(incarnation Incarnation) bool {
	_, ok := l.authorities[incarnation]
	return ok
}

// Begin decides how to handle a request that carries a ticket.
func (l *Ledger) Begin(now time.Time, t Ticket, workspace string, digest Digest) Decision {
	auth, ok := l.authorities[t.Incarnation]
	if !ok {
		return l.decideWithoutAuthority(t)
	}
	if !hmac.Equal(t.mac, sign(auth.secret, t, workspace)) {
		return refuse(outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the ticket is not valid for this workspace"))
	}
	key := Key{t.Incarnation, t.Serial}
	if r := l.records[key]; r != nil {
		return r.decideRepeat(digest)
	}
	if auth.age(now, t.MintedMS) > l.cfg.Validity {
		return refuse(outcome.MayHaveRunf(outcome.CodeTicketExpired, "the ticket has expired"))
	}
	if l.frozen {
		// Only the successor may run it.
		return Decision{Action: Forward}
	}
	l.records[key] = &record{key: key, mintedMS: t.MintedMS, digest: digest}
	return Decision{Action: Run, Key: key}
}

// decideWithoutAuthority handles a ticket over which this process has no
// authority: it is refused if an earlier process on this VM minted it, as that
// process's records are lost, and forwarded otherwise.
func (l *Ledger) decideWithoutAuthority(t Ticket) Decision {
	if t.OwnerVM == l.cfg.VM {
		return refuse(OwnerReplacedError())
	}
	return Decision{Action: Forward}
}

// OwnerReplacedError returns the outcome for a ticket whose owner's records are lost.
func OwnerReplacedError() *outcome.Error {
	return outcome.MayHaveRunf(outcome.CodeOwnerReplaced, "the owner of the ticket has been replaced")
}

func refuse(err *outcome.Error) Decision { return Decision{Action: Refuse, Err: err} }

// decideRepeat handles a further request with the ticket of r.
func (r *record) decideRepeat(digest Digest) Decision {
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

// Dispatch records that the request is about to be sent to an endpoint. It
// reports false if that would be a second run; the caller must then not send it.
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

// RevertDispatch reverts a dispatch after proof that the request did not run.
func (l *Ledger) RevertDispatch(key Key) {
	if r := l.records[key]; r != nil {
		r.dispatched = false
	}
}

// Finish stores the outcome of a run: an answer or an error.
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
		l.answers.add(l, r)
	}
}

// CountRunning returns the number of runs without an outcome.
func (l *Ledger) CountRunning() int {
	n := 0
	for _, r := range l.records {
		if r.phase == running {
			n++
		}
	}
	return n
}

// CountRecords returns the number of stored records.
func (l *Ledger) CountRecords() int { return len(l.records) }

// Expire removes finished records whose ticket and retention have expired, and
// inherited authorities that have no record left and whose tickets have expired.
func (l *Ledger) Expire(now time.Time) {
	inUse := map[Incarnation]bool{l.cfg.Incarnation: true}
	for key, r := range l.records {
		if l.expired(now, r) {
			l.answers.discard(r)
			delete(l.records, key)
			continue
		}
		inUse[key.Incarnation] = true
	}
	for incarnation, a := range l.authorities {
		if !inUse[incarnation] && now.Sub(a.acquiredAt) > l.cfg.Validity {
			delete(l.authorities, incarnation)
		}
	}
}

func (l *Ledger) expired(now time.Time, r *record) bool {
	if r.phase != finished {
		return false
	}
	age := l.authorities[r.key.Incarnation].age(now, r.mintedMS)
	return age > l.cfg.Validity && now.Sub(r.finishedAt) > l.cfg.FinishedRetention
}
