package claims

import (
	"bytes"
	"errors"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// ErrStopping refuses a handover before anything of it was adopted, so the
// sender may offer it to another entry.
var ErrStopping = errors.New("claims: this entry is stopping and takes no tickets over")

// ErrNotAddressed refuses a handover that was meant for another process, such as
// the one that ran on this VM before. The sender must not offer it elsewhere.
var ErrNotAddressed = errors.New("claims: the handover is for another process")

// Freeze ends minting and running for good. Runs that have begun go on.
func (l *Ledger) Freeze() { l.frozen = true }

// Frozen reports whether the ledger is frozen.
func (l *Ledger) Frozen() bool { return l.frozen }

// Export gives every authority to the process with the given incarnation. It
// must be called after Freeze, with no run open, and its result goes to that
// process only: a message whose fate is unknown must never be followed by one
// to a second process.
func (l *Ledger) Export(now time.Time, to []byte) *peerv1.HandoverRequest {
	if !l.frozen || l.Running() > 0 {
		return nil
	}
	byIncarnation := map[Incarnation][]*peerv1.ClaimRecord{}
	for _, r := range l.records {
		i := r.key.Incarnation
		byIncarnation[i] = append(byIncarnation[i], r.export())
	}
	msg := &peerv1.HandoverRequest{FromVm: l.cfg.VM, ToIncarnation: to}
	for i, a := range l.authorities {
		msg.Authorities = append(msg.Authorities, &peerv1.Authority{
			Incarnation: i[:],
			Secret:      a.secret,
			ElapsedMs:   uint64((a.elapsed + now.Sub(a.since)) / time.Millisecond),
			Records:     byIncarnation[i],
		})
	}
	return msg
}

func (r *record) export() *peerv1.ClaimRecord {
	out := &peerv1.ClaimRecord{
		Serial:        r.key.Serial,
		MintedMs:      r.mintedMS,
		RequestDigest: r.digest[:],
	}
	if r.err != nil {
		out.Final = FinalOf(r.err)
	}
	if r.answer != nil {
		out.AnswerKept = true
		out.Status = int32(r.answer.Status)
		out.ContentType = r.answer.ContentType
		out.Answer = r.answer.Body
	}
	return out
}

// Adopt takes over the authorities of a stopping entry. An authority is adopted
// once in the life of a process: a late duplicate of the message would bring
// back tickets that have been run or given away since.
func (l *Ledger) Adopt(now time.Time, msg *peerv1.HandoverRequest) error {
	if !bytes.Equal(msg.GetToIncarnation(), l.cfg.Incarnation[:]) {
		return ErrNotAddressed
	}
	if l.frozen {
		return ErrStopping
	}
	for _, a := range msg.GetAuthorities() {
		var i Incarnation
		if len(a.GetIncarnation()) != len(i) {
			return errors.New("claims: bad incarnation in handover")
		}
		copy(i[:], a.GetIncarnation())
		if l.adopted[i] {
			continue
		}
		l.adopted[i] = true
		elapsed := time.Duration(a.GetElapsedMs()) * time.Millisecond
		l.authorities[i] = &authority{secret: a.GetSecret(), since: now, elapsed: elapsed}
		for _, r := range a.GetRecords() {
			l.adoptRecord(now, i, r)
		}
	}
	return nil
}

func (l *Ledger) adoptRecord(now time.Time, i Incarnation, msg *peerv1.ClaimRecord) {
	r := &record{
		key:        Key{i, msg.GetSerial()},
		mintedMS:   msg.GetMintedMs(),
		phase:      finished,
		finishedAt: now,
		err:        ErrorOf(msg.GetFinal()),
	}
	copy(r.digest[:], msg.GetRequestDigest())
	l.records[r.key] = r
	if msg.GetAnswerKept() {
		r.answer = &Answer{Status: int(msg.GetStatus()), ContentType: msg.GetContentType(), Body: msg.GetAnswer()}
		l.answers.push(l, r)
	}
}

// Inherited lists the incarnations taken over from others and still held.
func (l *Ledger) Inherited() [][]byte {
	var out [][]byte
	if l.frozen {
		return nil
	}
	for i := range l.authorities {
		if i != l.cfg.Incarnation {
			out = append(out, append([]byte(nil), i[:]...))
		}
	}
	return out
}

// FinalOf encodes an error for a peer.
func FinalOf(err *outcome.Error) *peerv1.RunFinal {
	if err == nil {
		return &peerv1.RunFinal{Outcome: int32(outcome.Complete)}
	}
	return &peerv1.RunFinal{
		Outcome:      int32(err.Outcome),
		Code:         string(err.Code),
		Message:      err.Message,
		RetryAfterMs: uint32(err.RetryAfter.Milliseconds()),
		Delivered:    uint32(err.Delivered),
	}
}

// ErrorOf decodes an error from a peer; nil stands for Complete.
func ErrorOf(f *peerv1.RunFinal) *outcome.Error {
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
