package route

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// FuzzResume: what a caller says of its last event is either refused as a bad request, or
// the event after which its stream goes on; rows without resumption ignore it.
func FuzzResume(f *testing.F) {
	for _, text := range []string{"", "0", "17", "-1", "x", "1.5", "+3", "99999999999999999999", " 4"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ignored := job.Job{ResumeAfter: text}
		if err := resume(&ignored); err != nil {
			t.Fatal(err)
		}
		if _, seen := ignored.Delivered.Events.LastID(); seen {
			t.Fatal("resumed on a row without resumption")
		}
		j := job.Job{ResumeAfter: text, Row: table.Row{Resumable: true}}
		if err := resume(&j); err != nil {
			if err.Status() != http.StatusBadRequest {
				t.Fatalf("status %d", err.Status())
			}
			return
		}
		last, seen := j.Delivered.Events.LastID()
		if seen != (text != "") {
			t.Fatalf("%q: resumed %v", text, seen)
		}
		if want, _ := strconv.Atoi(text); last != want || last < 0 {
			t.Fatalf("%q: %d", text, last)
		}
	})
}
