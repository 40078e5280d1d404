package logtrace_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/logtrace"
)

// logs are those of two entries, as a collector has put them together; not in order.
const logs = `
vm-2 | time=2026-03-01T10:00:09Z level=warn msg="request failed" vm=vm-2 request=r2 outcome=incomplete elapsed_ms=10
not a line of ours
vm-1 | time=2026-03-01T10:00:12.1Z level=warn msg="request failed" vm=vm-1 request=r1 outcome=incomplete code=stalled elapsed_ms=3100
vm-1 | time=2026-03-01T10:00:12Z level=warn msg="attempt failed" vm=vm-1 request=r1 endpoint=e-1 failure=link_lost elapsed_ms=3000
vm-1 | time=2026-03-01T10:00:11Z level=info msg="endpoint leaving" vm=vm-1 endpoint=e-1 source=fleet
vm-1 | time=2026-03-01T10:00:11Z level=info msg="endpoint leaving" vm=vm-1 endpoint=e-9 source=fleet
vm-1 | time=2026-03-01T10:00:08Z level=warn msg="store lost" vm=vm-1 error="no \"answer\""
vm-1 | time=2026-03-01T10:00:02Z level=warn msg="store regained" vm=vm-1
vm-2 | time=2026-03-01T10:00:11Z level=info msg=readiness vm=vm-2 state=stranded
`

func opened(text string) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }
}

// TestARequestsWay: its own lines, what its entry believed and what became of its
// endpoint, in order; nothing of other entries, endpoints and times.
func TestARequestsWay(t *testing.T) {
	g := NewWithT(t)
	lines, err := logtrace.Trace("r1", opened(logs))
	g.Expect(err).NotTo(HaveOccurred())
	var got []string
	for _, l := range lines {
		g.Expect(l.VM).To(Equal("vm-1"))
		got = append(got, l.Text[strings.Index(l.Text, "msg="):])
	}
	g.Expect(got).To(HaveExactElements(
		HavePrefix(`msg="store lost"`),
		HavePrefix(`msg="endpoint leaving" vm=vm-1 endpoint=e-1`),
		HavePrefix(`msg="attempt failed"`),
		HavePrefix(`msg="request failed"`),
	))
}

func TestAnUnknownRequestHasNoWay(t *testing.T) {
	g := NewWithT(t)
	lines, err := logtrace.Trace("r3", opened(logs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(BeEmpty())
}

func TestLogsThatCannotBeOpened(t *testing.T) {
	g := NewWithT(t)
	failed := errors.New("no such file")
	_, err := logtrace.Trace("r1", func() (io.ReadCloser, error) { return nil, failed })
	g.Expect(err).To(MatchError(failed))
}

// FuzzTrace reads logs that hold anything.
func FuzzTrace(f *testing.F) {
	f.Add(logs)
	f.Add("time= request=r1")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := logtrace.Trace("r1", opened(text))
		if err != nil && len(lines) == 0 {
			return
		}
		for i := 1; i < len(lines); i++ {
			if lines[i].At.Before(lines[i-1].At) {
				t.Fatal("not in order")
			}
		}
	})
}
