package claims

import "time"

// mintWindow counts the tickets minted within a sliding window, in buckets of a
// second.
type mintWindow struct {
	buckets []mintBucket
	total   int
}

type mintBucket struct {
	start time.Time
	count int
}

func (w *mintWindow) add(now time.Time) {
	w.total++
	if n := len(w.buckets); n > 0 && now.Sub(w.buckets[n-1].start) < time.Second {
		w.buckets[n-1].count++
		return
	}
	w.buckets = append(w.buckets, mintBucket{now, 1})
}

// count returns the number of tickets minted within the window. It removes a bucket
// once all tickets in it are older, so it may count some for up to a second longer.
func (w *mintWindow) count(now time.Time, window time.Duration) int {
	for len(w.buckets) > 0 && now.Sub(w.buckets[0].start) > window+time.Second {
		w.total -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
	return w.total
}

// answerQueue limits the bytes of the stored answers; the oldest are discarded
// first.
type answerQueue struct {
	records []*record
	bytes   int
}

func (q *answerQueue) add(l *Ledger, r *record) {
	q.records = append(q.records, r)
	q.bytes += len(r.answer.Body)
	for q.bytes > l.cfg.MaxAnswerBytes && len(q.records) > 0 {
		q.discard(q.records[0])
	}
}

// discard removes the answer of r, and trims the front of the queue.
func (q *answerQueue) discard(r *record) {
	if r.answer == nil {
		return
	}
	q.bytes -= len(r.answer.Body)
	r.answer = nil
	q.trim()
}

// trim removes records without an answer from the front of the queue.
func (q *answerQueue) trim() {
	for len(q.records) > 0 && q.records[0].answer == nil {
		q.records = q.records[1:]
	}
}
