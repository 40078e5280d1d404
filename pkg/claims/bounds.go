package claims

import "time"

// mintWindow counts the tickets minted within a window, by the second.
type mintWindow struct {
	buckets []mintBucket
	total   int
}

type mintBucket struct {
	at    time.Time
	count int
}

func (w *mintWindow) add(now time.Time) {
	w.total++
	if n := len(w.buckets); n > 0 && now.Sub(w.buckets[n-1].at) < time.Second {
		w.buckets[n-1].count++
		return
	}
	w.buckets = append(w.buckets, mintBucket{now, 1})
}

func (w *mintWindow) count(now time.Time, window time.Duration) int {
	for len(w.buckets) > 0 && now.Sub(w.buckets[0].at) > window+time.Second {
		w.total -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
	return w.total
}

// answerQueue bounds the bytes of stored answers, oldest out first.
type answerQueue struct {
	queue []*record
	bytes int
}

func (q *answerQueue) push(l *Ledger, r *record) {
	q.queue = append(q.queue, r)
	q.bytes += len(r.answer.Body)
	for q.bytes > l.cfg.MaxAnswerBytes && len(q.queue) > 0 {
		q.forget(q.queue[0])
	}
}

// forget drops one answer, and from the queue's front those that are gone.
func (q *answerQueue) forget(r *record) {
	if r.answer == nil {
		return
	}
	q.bytes -= len(r.answer.Body)
	r.answer = nil
	q.trim()
}

func (q *answerQueue) trim() {
	for len(q.queue) > 0 && q.queue[0].answer == nil {
		q.queue = q.queue[1:]
	}
}
