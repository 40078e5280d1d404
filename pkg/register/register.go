// Package register holds the version of a published value that is in force and never reverts to
// an older one.
//
// Values come from the platform and from peers. They can be reordered, delayed and duplicated.
// A register adopts a value only if its revision is above every revision that it has seen and
// the value passes its check. The revision of a value that fails the check is recorded, so that
// the value is neither checked nor fetched again, and the last valid one stays in force. An
// operator's rollback is a new revision with old content. A value without a revision (zero) is
// rejected. This supports the guarantee that an accepted table change is in force everywhere
// within seconds and never reverts.
//
// # Restores
//
// A store that is restored from a copy contains values that are older than the one in force, but
// in a later era. If the values themselves have no order, a value of a later era with different
// content is adopted only if it is certain that it was written in that era, and not copied from
// an earlier one. The table shows the outcomes with revision 1.37 (number 37 of era 1) in force:
//
//	2.33 is read with the same content      adopted, but not certain: from the copy, or rewritten
//	2.33 is read with different content     Pending: from the copy, or newer than 1.37
//	then 2.35 is read                       certain: it was written after 2.33 had been read
//	or 2.33 stays for the settle period     certain: publishers would have rewritten a stale value
//	2.33 is received from a peer            Pending, unless the peer is certain
//
// A number above the one in force is no proof, since the copy can be of an earlier era. Elapsed
// time is proof only if this process has read the store meanwhile: a peer that sends a value from
// the copy may have been partitioned from the store since. Registers of values that their
// publisher numbers need none of this, see New.
//
// The caller serialises calls, except for Current, which may be called from any goroutine.
package register

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// Verdict is the outcome of offering a value to a register.
type Verdict int

// Verdicts of Register.Offer.
const (
	// Adopted: the value is in force.
	Adopted Verdict = iota
	// Known: the value is already in force, or its revision has already been rejected.
	Known
	// Stale: a higher revision has been seen.
	Stale
	// Rejected: the value failed its check; the previous one stays in force.
	Rejected
	// Conflict: the revision is in force with different content, which stays in force.
	Conflict
	// Pending: the value may be older than the one in force, see Restores.
	Pending
	// Deferred: the value is newer and will be offered later, see package published.
	Deferred
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"adopted", "known", "stale", "rejected", "conflict", "pending", "deferred"}[v]
}

// Version is a value in force.
type Version[T any] struct {
	Revision revision.ID
	Content  []byte
	Value    T
	// AdoptedAt is when this process adopted it.
	AdoptedAt time.Time
}

// Source is where a value comes from.
type Source int

// Sources of values.
const (
	// FromStore: this process has just read it from the store, not from a replica that may be stale.
	FromStore Source = iota
	// FromPeer: a peer has sent it and isn't certain that it was written in its era.
	FromPeer
	// FromPeerCertain: a peer has sent it and is certain that it was written in its era.
	FromPeerCertain
)

// Register holds one published value.
type Register[T any] struct {
	check func([]byte) (T, error)
	// settlePeriod is how long a value of a later era must remain the newest in the store to be
	// certain. Zero disables the rules for restores.
	settlePeriod time.Duration
	// certain is set if the newest value seen is known to be written in its era.
	certain bool
	// uncertain is the revision of the newest value that isn't certain, pending or in force, and
	// uncertainSince is when this process first read it; zero if only peers have sent it.
	uncertain      revision.ID
	uncertainSince time.Time
	current        atomic.Pointer[Version[T]]
	highest        revision.ID
	rejected       revision.ID
	findings       error
	// unversionedSum is a hash of the newest value without a revision.
	unversionedSum uint64
	lastOffered    time.Time
}

// New returns an empty register of values that their publisher numbers. Values must pass check.
func New[T any](check func([]byte) (T, error)) *Register[T] {
	return &Register[T]{check: check}
}

// NewSettling returns an empty register of values that only the store's revisions order. A value
// of a later era is certain after it has been the newest in the store for settlePeriod.
func NewSettling[T any](check func([]byte) (T, error), settlePeriod time.Duration) *Register[T] {
	r := New(check)
	r.settlePeriod = settlePeriod
	return r
}

// Current returns the value in force, or nil if there is none.
func (r *Register[T]) Current() *Version[T] { return r.current.Load() }

// HighestRevision returns the highest revision seen, valid or not.
func (r *Register[T]) HighestRevision() revision.ID { return r.highest }

// Findings returns the newest rejected revision and the problems found in the newest rejected
// value, which may have no revision. The error is nil if a valid revision has followed.
func (r *Register[T]) Findings() (rev revision.ID, err error) { return r.rejected, r.findings }

// LastOffered returns when a value was last offered, new or not.
func (r *Register[T]) LastOffered() time.Time { return r.lastOffered }

// Offer offers a value to the register. The caller must not change the content afterwards. The
// error holds the findings of a rejected value.
func (r *Register[T]) Offer(now time.Time, rev revision.ID, content []byte, source Source) (Verdict, error) {
	r.lastOffered = now
	current := r.current.Load()
	if rev == 0 {
		return r.rejectUnversioned(content)
	}
	if rev == r.highest && source == FromPeerCertain {
		r.certain = true
	}
	if current != nil && rev == current.Revision {
		return r.compareContent(current, content)
	}
	if rev == r.rejected {
		return Known, nil
	}
	verdict, certain := r.classify(rev, content, source)
	if !certain && verdict != Stale {
		r.recordUncertain(now, rev, source)
	}
	if verdict != Adopted {
		return verdict, nil
	}
	r.highest, r.certain = rev, certain
	value, err := r.check(content)
	if err != nil {
		r.rejected = rev
		r.findings = err
		return Rejected, err
	}
	r.adopt(current, &Version[T]{Revision: rev, Content: content, Value: value, AdoptedAt: now})
	return Adopted, nil
}

// classify returns whether a value is newer than those seen (Adopted), older (Stale) or of unknown
// order (Pending), and whether it is certain that it was written in its era.
func (r *Register[T]) classify(rev revision.ID, content []byte, source Source) (verdict Verdict, certain bool) {
	if rev <= r.highest {
		return Stale, false
	}
	current := r.current.Load()
	switch {
	case r.settlePeriod == 0, rev.Epoch() == 0, source == FromPeerCertain:
		return Adopted, true
	case current == nil:
		return Adopted, false
	case rev.Epoch() == r.highest.Epoch(), rev.Epoch() == r.uncertain.Epoch() && rev > r.uncertain:
		// It was written after the previous value of its epoch had been read.
		return Adopted, true
	case rev.Epoch() == r.uncertain.Epoch() && rev < r.uncertain:
		return Stale, false
	case bytes.Equal(content, current.Content):
		return Adopted, false
	}
	return Pending, false
}

// recordUncertain records the revision of a value that isn't certain, and when this process first
// read it from the store.
func (r *Register[T]) recordUncertain(now time.Time, rev revision.ID, source Source) {
	if rev != r.uncertain {
		r.uncertain, r.uncertainSince = rev, time.Time{}
	}
	if source == FromStore && r.uncertainSince.IsZero() {
		r.uncertainSince = now
	}
}

// Certain reports whether the newest value seen is known to be written in its era.
func (r *Register[T]) Certain() bool { return r.certain }

// Settle must be called when the store has just been read and contains no newer value than the
// ones offered. An uncertain value that has been the newest for settlePeriod is then certain. If
// it is pending, Settle returns its revision and true, and the caller must offer it again as
// FromPeerCertain.
func (r *Register[T]) Settle(now time.Time) (pending revision.ID, certain bool) {
	if r.uncertainSince.IsZero() || now.Sub(r.uncertainSince) < r.settlePeriod {
		return 0, false
	}
	if r.uncertain == r.highest {
		r.certain = true
		return 0, false
	}
	return r.uncertain, r.uncertain > r.highest
}

// ErrNoRevision is the error of a value without a revision, which can't be ordered.
var ErrNoRevision = errors.New("register: the value has no revision")

// rejectUnversioned rejects a value without a revision. It returns Known instead if the content
// was the last one that it rejected, so that the findings are reported once.
func (r *Register[T]) rejectUnversioned(content []byte) (Verdict, error) {
	sum := xxhash.Sum64(content)
	if sum == r.unversionedSum {
		return Known, nil
	}
	r.unversionedSum = sum
	_, err := r.check(content)
	if err == nil {
		err = ErrNoRevision
	}
	r.findings = err
	return Rejected, err
}

// compareContent returns the verdict on content with the revision in force.
func (r *Register[T]) compareContent(current *Version[T], content []byte) (Verdict, error) {
	if bytes.Equal(current.Content, content) {
		return Known, nil
	}
	return Conflict, nil
}

func (r *Register[T]) adopt(previous, next *Version[T]) {
	if previous != nil {
		invariant.Check(next.Revision > previous.Revision, invariant.RevisionMonotone,
			"revision %v after %v", next.Revision, previous.Revision)
	}
	r.rejected = 0
	r.findings = nil
	r.current.Store(next)
}
