package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/standin"
	platformstandin "github.com/bridgehoist/bridgehoist/platform/standin"
)

func TestStreamsSurviveBrokenLinks(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.control(c.engines[0], "faults", standin.EngineFaults{CutAfter: 7})
	for _, stream := range []bool{true, false} {
		p := prompt(fmt.Sprintf("links %v ", stream), 60)
		a := c.send(0, call{kind: "shift-report", prompt: p, stream: stream})
		c.g.Expect(a.outcome).To(Equal("complete"))
		c.g.Expect(a.text).To(Equal(standin.Answer(p)))
	}
	for hash, n := range c.runs(c.engines[0]) {
		c.g.Expect(n).To(Equal(1), hash)
	}
}

func TestEngineKilled(t *testing.T) {
	c := newCluster(t, 2, 1)
	var wg sync.WaitGroup
	streamed, buffered := make([]answer, 6), make([]answer, 6)
	name := func(kind string, i int) string { return prompt(fmt.Sprintf("%s %d ", kind, i), 200) }
	for i := range streamed {
		wg.Go(func() {
			streamed[i] = c.send(0, call{kind: "shift-report", prompt: name("streamed", i), stream: true})
		})
		wg.Go(func() { buffered[i] = c.send(0, call{kind: "shift-report", prompt: name("buffered", i)}) })
	}
	c.g.Eventually(func() int { return len(c.runs(c.engines...)) }, patience, "20ms").Should(Equal(12))
	sleepMS(300)
	c.procs["engine-0"].signal(syscall.SIGKILL)
	wg.Wait()
	incomplete := 0
	for i, a := range streamed {
		want := standin.Answer(name("streamed", i))
		c.g.Expect(strings.HasPrefix(want, a.text)).To(BeTrue(), "a splice or another's answer: %q", a.text)
		if a.outcome == "complete" {
			c.g.Expect(a.text).To(Equal(want))
			continue
		}
		c.g.Expect(a.outcome).To(Equal("incomplete"))
		incomplete++
	}
	c.g.Expect(incomplete).To(BeNumerically(">", 0))
	for i, a := range buffered {
		c.g.Expect(a.outcome).To(Equal("complete"), "buffered answers are run again unseen: %+v", a)
		c.g.Expect(a.text).To(Equal(standin.Answer(name("buffered", i))))
	}
}

func TestPlannedStopCutsNothingAndHandsTicketsOver(t *testing.T) {
	c := newCluster(t, 2, 2)
	unused, used := c.ticket(0), c.ticket(0)
	first := c.send(0, call{kind: "lining-check", prompt: prompt("used ", 10), ticket: used})
	c.g.Expect(first.outcome).To(Equal("complete"))
	var wg sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		wg.Go(func() {
			answers[i] = c.send(0, call{kind: "shift-report", prompt: prompt(fmt.Sprint("stop ", i), 150), stream: true})
		})
	}
	c.g.Eventually(func() int { return len(c.runs(c.engines...)) }, patience, "20ms").Should(Equal(9))
	c.procs["entry-0"].signal(syscall.SIGTERM)
	wg.Wait()
	for i, a := range answers {
		c.g.Expect(a.text).To(Equal(standin.Answer(prompt(fmt.Sprint("stop ", i), 150))))
	}
	c.g.Expect(c.waitExit("entry-0")).To(BeZero())
	again := c.send(1, call{kind: "lining-check", prompt: prompt("used ", 10), ticket: used})
	c.g.Expect(again.text).To(Equal(first.text), "the stored answer was handed over: %+v", again)
	late := c.send(1, call{kind: "lining-check", prompt: prompt("unused ", 10), ticket: unused})
	c.g.Expect(late.text).To(Equal(standin.Answer(prompt("unused ", 10))), "%+v", late)
	for hash, n := range c.runs(c.engines...) {
		c.g.Expect(n).To(Equal(1), hash)
	}
}

func TestOwnerFrozenThenKilled(t *testing.T) {
	c := newCluster(t, 1, 2)
	ticket, other := c.ticket(0), c.ticket(0)
	r := call{kind: "lining-check", prompt: prompt("frozen ", 20), ticket: ticket}
	c.procs["entry-0"].signal(syscall.SIGSTOP)
	a := c.send(1, r)
	c.g.Expect(a.outcome).To(Equal("may_have_run"))
	c.procs["entry-0"].signal(syscall.SIGCONT)
	c.g.Eventually(func() string { return c.send(1, r).text }, patience, "200ms").Should(Equal(standin.Answer(r.prompt)))
	c.g.Expect(c.runs(c.engines[0])[standin.TextHash(r.prompt)]).To(Equal(1))

	c.procs["entry-0"].signal(syscall.SIGKILL)
	c.waitExit("entry-0")
	r = call{kind: "lining-check", prompt: prompt("killed ", 20), ticket: other}
	c.g.Expect(c.send(1, r).outcome).To(Equal("may_have_run"))
	c.startEntry(0)
	c.waitReady(0)
	for i := range 2 {
		a = c.send(i, r)
		c.g.Expect(a.outcome).To(Equal("may_have_run"), "%+v", a)
	}
	c.g.Expect(c.runs(c.engines[0])[standin.TextHash(r.prompt)]).To(BeZero())
}

func TestRepeatThroughAnotherEntryAttaches(t *testing.T) {
	c := newCluster(t, 1, 2)
	ticket := c.ticket(0)
	r := call{kind: "lining-check", prompt: prompt("attach ", 60), ticket: ticket, stream: true}
	var wg sync.WaitGroup
	answers := make([]answer, 6)
	for i := range answers {
		wg.Go(func() { answers[i] = c.send(i%2, r) })
	}
	wg.Wait()
	for _, a := range answers {
		c.g.Expect(a.text).To(Equal(standin.Answer(r.prompt)), "%+v", a)
	}
	c.g.Expect(c.runs(c.engines[0])[standin.TextHash(r.prompt)]).To(Equal(1))
}

func TestTableAndLeavesReachEveryEntry(t *testing.T) {
	c := newCluster(t, 2, 3)
	revision := func(i int) uint64 { return c.status(i).Values[0].Revision }
	before := revision(0)
	c.publishTable(tableText + "*,envelope-status,signdesk,10,9,256,400,20s,30s,yes\n")
	for i := range c.entries {
		c.g.Eventually(func() uint64 { return revision(i) }, patience, "50ms").Should(BeNumerically(">", before))
	}
	good := revision(0)
	c.publishTable("workspace,kind\n")
	for i := range c.entries {
		c.g.Eventually(func() []string { return c.status(i).TableErrors }, patience, "50ms").ShouldNot(BeEmpty())
		c.g.Expect(revision(i)).To(Equal(good))
	}
	// An entry that starts while the platform is stale hears from its peers.
	c.control(c.platform, "mode", platformstandin.Mode{Down: true})
	c.procs["entry-2"].signal(syscall.SIGKILL)
	c.waitExit("entry-2")
	c.g.Expect(c.send(0, call{kind: "envelope-status"}).status).NotTo(Equal(http.StatusNotFound))

	// The endpoint's own sign spreads while the list still shows it live.
	c.control(c.engines[0], "faults", standin.EngineFaults{Draining: true})
	for i := range 2 {
		c.g.Eventually(func() bool { return len(c.status(i).Leaves) == 1 }, patience, "50ms").Should(BeTrue())
	}
	ran := len(c.runs(c.engines[0]))
	for i := range 10 {
		a := c.send(i%2, call{kind: "shift-report", prompt: prompt(fmt.Sprint("after ", i), 5)})
		c.g.Expect(a.outcome).To(Equal("complete"))
	}
	c.g.Expect(c.runs(c.engines[0])).To(HaveLen(ran), "new work on a leaving endpoint")
}

func TestBadInputIsRefusedByType(t *testing.T) {
	c := newCluster(t, 1, 1)
	header := func(k, v string) http.Header { return http.Header{k: {v}} }
	for name, want := range map[string]struct {
		call
		status int
		code   string
	}{
		"unknown key":        {call{kind: "shift-report", prompt: "x", header: header("Authorization", "Bearer no")}, 401, "unauthenticated"},
		"other workspace":    {call{kind: "shift-report", prompt: "x", header: header("Bridgehoist-Workspace", "else")}, 403, "workspace_mismatch"},
		"unknown kind":       {call{kind: "no-kind", prompt: "x"}, 404, "unknown_kind"},
		"empty prompt":       {call{kind: "shift-report"}, 400, "bad_request"},
		"oversize":           {call{kind: "shift-report", prompt: strings.Repeat("x", 2<<20)}, 413, "body_too_large"},
		"key made up":        {call{kind: "lining-check", prompt: "x", header: header("Idempotency-Key", "mine")}, 428, "ticket_required"},
		"damaged ticket":     {call{kind: "lining-check", prompt: "x", ticket: "bht1-%%%"}, 400, "ticket_invalid"},
		"foreign owner":      {call{kind: "lining-check", prompt: "x", ticket: foreignTicket()}, 400, "ticket_invalid"},
		"service, no ticket": {call{kind: "signer-check", prompt: "x"}, 428, "ticket_required"},
	} {
		a := c.send(0, want.call)
		c.g.Expect(a.status).To(Equal(want.status), "%s: %+v", name, a)
		c.g.Expect(a.code).To(Equal(want.code), name)
		if strings.Contains(name, "ticket") && want.code == "ticket_invalid" {
			c.g.Expect(a.outcome).To(Equal("may_have_run"), name)
		}
	}
	c.g.Expect(c.runs(append(c.engines, c.service)...)).To(BeEmpty())
	slow, err := http.NewRequest(http.MethodGet, "http://"+c.entries[0].callers+"/v1/completions", nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	slow.Header.Set("Authorization", "Bearer key-ws")
	resp, err := http.DefaultClient.Do(slow)
	c.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	c.g.Expect(resp.StatusCode).To(Equal(http.StatusMethodNotAllowed))
}

// foreignTicket is well formed, but names an owner outside the peer networks.
func foreignTicket() string {
	l := newForeignLedger()
	text, _ := l.Mint(time.Now(), "ws")
	return text
}
