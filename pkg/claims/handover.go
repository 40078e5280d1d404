package claims

import (
	"bytes"
	"errors"
	"strings"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// ErrStopping is returned by Adopt if this entry is stopping. Nothing of the
// handover was adopted, so the sender may offer it to another entry.
var ErrStopping = errors.New("claims: this entry is stopping and takes no tickets over")

// ErrNotAddressed is returned by Adopt if the handover is addressed to another
// process, such as the previous one on this VM. The sender must not offer it to
// another entry, as that process may have adopted it.
var ErrNotAddressed = errors.New("claims: the handover is for another process")

// Freeze permanently stops the minting of tickets and the start of runs. Runs
// that have begun continue.
func (l *Ledger) Freeze() { l.frozen = true }

// Frozen reports whether the ledger is frozen.
func (l *Ledger) Frozen() bool { return l.frozen }

// Export returns the message that hands every authority over to the process with
// the given incarnation, or nil if the ledger is not frozen or a run has no
// outcome yet. The message goes to that process only: while it is unknown whether
// a handover was adopted, no other process may be sent one.
func (l *Ledger) Export(now time.Time, successorIncarnation []byte) *peerv1.HandoverRequest {
	if !l.frozen || l.CountRunning() > 0 {
		return nil
	}
	byIncarnation := map[Incarnation][]*peerv1.ClaimRecord{}
	for _, r := range l.records {
		incarnation := r.key.Incarnation
		byIncarnation[incarnation] = append(byIncarnation[incarnation], r.export())
	}
	msg := &peerv1.HandoverRequest{FromVm: l.cfg.VM, ToIncarnation: successorIncarnation}
	for incarnation, a := range l.authorities {
		msg.Authorities = append(msg.Authorities, &peerv1.Authority{
			Incarnation: incarnation[:],
			Secret:      a.secret,
			ElapsedMs:   uint64((a.elapsedAtAcquisition + now.Sub(a.acquiredAt)) / time.Millisecond),
			Records:     byIncarnation[incarnation],
		})
	}
	return msg
}

func (r *record) export() *peerv1.ClaimRecord {
	msg := &peerv1.ClaimRecord{
		Serial:        r.key.Serial,
		MintedMs:      r.mintedMS,
		RequestDigest: r.digest[:],
	}
	if r.err != nil {
		msg.Final = EncodeFinal(r.err)
	}
	if r.answer != nil {
		msg.AnswerKept = true
		msg.Status = int32(r.answer.Status)
		msg.ContentType = r.answer.ContentType
		msg.Answer = r.answer.Body
	}
	return msg
}

// Adopt takes over the authorities of a stopping entry. It returns ErrNotAddressed,
// ErrStopping or an error for a malformed message. A process adopts an
// authority at most once: a delayed duplicate of the message would make tickets
// usable again that have been run or handed over in the meantime.
func (l *Ledger) Adopt(now time.Time, msg *peerv1.HandoverRequest) error {
	if !bytes.Equal(msg.GetToIncarnation(), l.cfg.Incarnation[:]) {
		return ErrNotAddressed
	}
	if l.frozen {
		return ErrStopping
	}
	for _, a := range msg.GetAuthorities() {
		var incarnation Incarnation
		if len(a.GetIncarnation()) != len(incarnation) {
			return errors.New("claims: bad incarnation in handover")
		}
		copy(incarnation[:], a.GetIncarnation())
		if l.adopted[incarnation] {
			continue
		}
		l.adopted[incarnation] = true
		elapsed := time.Duration(a.GetElapsedMs()) * time.Millisecond
		l.authorities[incarnation] = &authority{secret: a.GetSecret(), acquiredAt: now, elapsedAtAcquisition: elapsed}
		for _, r := range a.GetRecords() {
			l.adoptRecord(now, incarnation, r)
		}
	}
	return nil
}

func (l *Ledger) adoptRecord(now time.Time, incarnation Incarnation, msg *peerv1.ClaimRecord) {
	r := &record{
		key:        Key{incarnation, msg.GetSerial()},
		mintedMS:   msg.GetMintedMs(),
		phase:      finished,
		finishedAt: now,
		err:        DecodeFinal(msg.GetFinal()),
	}
	copy(r.digest[:], msg.GetRequestDigest())
	l.records[r.key] = r
	if msg.GetAnswerKept() {
		r.answer = &Answer{Status: int(msg.GetStatus()), ContentType: msg.GetContentType(), Body: msg.GetAnswer()}
		l.answers.add(l, r)
	}
}

// Inherited returns the incarnations over which this process has adopted the
// authority, or nil if the ledger is frozen.
func (l *Ledger) Inherited() [][]byte {
	var incarnations [][]byte
	if l.frozen {
		return nil
	}
	for incarnation := range l.authorities {
		if incarnation != l.cfg.Incarnation {
			incarnations = append(incarnations, append([]byte(nil), incarnation[:]...))
		}
	}
	return incarnations
}

// EncodeFinal encodes the outcome of a run for a peer; a nil error is Complete.
func EncodeFinal(err *outcome.Error) *peerv1.RunFinal {
	if err == nil {
		return &peerv1.RunFinal{Outcome: int32(outcome.Complete)}
	}
	return &peerv1.RunFinal{
		Outcome:      int32(err.Outcome),
		Code:         string(err.Code),
		Message:      strings.ToValidUTF8(err.Message, "\uFFFD"),
		RetryAfterMs: uint32(err.RetryAfter.Milliseconds()),
		Delivered:    uint32(err.Delivered),
	}
}

// DecodeFinal decodes the outcome of a run from a peer; it returns nil for Complete.
func DecodeFinal(f *peerv1.RunFinal) *outcome.Error {
	if f == nil || outcome.Outcome(f.GetOutcome()) == outcome.Complete {
		return nil
	}
	return &outcome.Error{
		Outcome:    outcome.Outcome(f.GetOutcome()),
		Code:       outcome.Code(f.GetCode()),
		Message:    f.GetMessage(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
		Delivered:  int(f.GetDelivered()),
	}
}
