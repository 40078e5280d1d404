package stream_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// Each event must be returned once, complete and in order, wherever the bytes are
// split and wherever the stream is resumed after it broke.
func TestSplitterDeliversEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		var s stream.Splitter
		var delivered strings.Builder
		feed := func(text string) {
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "cut")
				events, _, err := s.Feed([]byte(text[:n]))
				if err != nil {
					t.Fatal(err)
				}
				delivered.Write(events)
				text = text[n:]
			}
		}
		eventsFrom := func(from int) string {
			var b strings.Builder
			for n := from; n <= total; n++ {
				b.WriteString(event(n))
			}
			return b.String()
		}
		allEvents := eventsFrom(1)
		feed(allEvents[:rapid.IntRange(0, len(allEvents)).Draw(t, "broken off")])
		s.DiscardPartial()
		lastID, _ := s.LastID()
		feed(eventsFrom(max(lastID+1-rapid.IntRange(0, 2).Draw(t, "overlap"), 1)))
		if s.HasPartial() {
			t.Fatal("an incomplete event remains")
		}
		if delivered.String() != allEvents {
			t.Fatalf("delivered %q, want %q", delivered.String(), allEvents)
		}
	})
}

func TestSplitterRejectsGapsAndOversizedEvents(t *testing.T) {
	g := NewWithT(t)
	var s stream.Splitter
	_, count, err := s.Feed([]byte(event(1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(count).To(Equal(1))
	_, _, err = s.Feed([]byte(event(3)))
	g.Expect(err).To(MatchError(stream.ErrEventGap))
	var oversized stream.Splitter
	_, _, err = oversized.Feed(make([]byte, 1<<20))
	g.Expect(err).To(MatchError(stream.ErrEventTooLong))
}

// A continuation that starts with any event but the one after the last is of another
// generation and must be rejected.
func TestContinuationStartsAfterLastEvent(t *testing.T) {
	g := NewWithT(t)
	for _, firstID := range []int{0, 1, 2, 4, 5} {
		var s stream.Splitter
		_, _, err := s.Feed([]byte(event(1) + event(2) + "id: 3\nda"))
		g.Expect(err).NotTo(HaveOccurred())
		s.BeginContinuation()
		events, count, err := s.Feed([]byte(event(firstID)))
		g.Expect(err).To(MatchError(stream.ErrNotContinuation), "%d", firstID)
		g.Expect(events).To(BeEmpty())
		g.Expect(count).To(BeZero())
		g.Expect(s.AwaitingContinuation()).To(BeTrue())
	}
	var s stream.Splitter
	s.ResumeAfter(2)
	g.Expect(s.AwaitingContinuation()).To(BeTrue())
	_, count, err := s.Feed([]byte(event(3) + event(4)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(count).To(Equal(2))
	g.Expect(s.AwaitingContinuation()).To(BeFalse())
}

// An event without an id after events with ids must be rejected, since its position is
// unknown. A stream without any ids is passed on unchecked.
func TestEventWithoutIDAfterIDs(t *testing.T) {
	g := NewWithT(t)
	var s stream.Splitter
	_, count, err := s.Feed([]byte(event(1) + "data: x\n\n"))
	g.Expect(err).To(MatchError(stream.ErrNoEventID))
	g.Expect(count).To(Equal(1))
	var withoutIDs stream.Splitter
	_, count, err = withoutIDs.Feed([]byte("data: x\n\ndata: y\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(count).To(Equal(2))
}

func TestSplitterBuffersPartialEvent(t *testing.T) {
	g := NewWithT(t)
	var s stream.Splitter
	events, count, err := s.Feed([]byte(event(1) + "id: 2\ndata: ha"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(events)).To(Equal(event(1)))
	g.Expect(count).To(Equal(1))
	g.Expect(s.HasPartial()).To(BeTrue())
	id, ok := s.LastID()
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal(1))
}
