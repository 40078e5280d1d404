package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/standin"
)

// kinds of the random run; signer-check goes to the plain service.
func kinds() []load.Kind {
	ws := []string{"ws"}
	return []load.Kind{
		{Name: "shift-report", Model: "kiln-scribe", Workspaces: ws, Share: 0.3, PromptTokens: 100, OutputTokens: 60, Spread: 0.5, Stream: true},
		{Name: "lining-check", Model: "kiln-scribe", Workspaces: ws, Share: 0.4, PromptTokens: 60, OutputTokens: 12, Spread: 0.3, Ticket: true},
		{Name: "signer-check", Workspaces: ws, Share: 0.3, Ticket: true},
	}
}

// TestRandomFaultsOverProcesses kills, stops, restarts and freezes entries and
// freezes engines at random while callers send through all entries, and then
// compares what callers were told with what ran.
func TestRandomFaultsOverProcesses(t *testing.T) {
	const seed, faults = 11, 12
	c := newCluster(t, 2, 3)
	for _, e := range c.engines {
		c.control(e, "faults", standin.EngineFaults{CutAfter: 25})
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	var entries []string
	for _, e := range c.entries {
		entries = append(entries, "http://"+e.callers)
	}
	arrivals := load.Plan(rng, kinds(), 40, 8*time.Second)
	client := load.NewClient(entries, fmt.Sprint("random", seed))
	var records []load.Record
	var callers sync.WaitGroup
	callers.Go(func() { records = client.Run(context.Background(), arrivals) })
	for range faults {
		c.fault(rng)
		sleepMS(200 + rng.IntN(400))
	}
	callers.Wait()

	told := map[load.Class]int{}
	for _, r := range records {
		told[r.Class]++
		c.g.Expect(r.Class).NotTo(Equal(load.Broken), "%s %s: %s", r.Kind, r.Hash, r.Detail)
	}
	t.Logf("seed %d: %d requests, %v", seed, len(records), told)
	c.g.Expect(told[load.Answered]).To(BeNumerically(">", len(records)/4))
	// What was given up on may still be at an engine; wait until nothing runs.
	runs := func() map[string]int { return c.runs(append(c.engines, c.service)...) }
	c.g.Eventually(func() bool {
		before := len(runs())
		sleepMS(300)
		return len(runs()) == before
	}, patience, "100ms").Should(BeTrue())
	c.g.Expect(load.CheckRuns(records, runs())).To(BeEmpty())
}

// fault does one thing to one process. Entries come back; one at least stays.
func (c *cluster) fault(rng *rand.Rand) {
	i := rng.IntN(len(c.entries))
	name := c.entries[i].vm
	switch rng.IntN(4) {
	case 0:
		c.procs[name].signal(syscall.SIGKILL)
		c.waitExit(name)
		c.startEntry(i)
	case 1:
		c.procs[name].signal(syscall.SIGTERM)
		c.waitExit(name)
		c.startEntry(i)
	case 2:
		c.freeze(name, rng)
	case 3:
		c.freeze(fmt.Sprint("engine-", rng.IntN(len(c.engines))), rng)
	}
}

func (c *cluster) freeze(name string, rng *rand.Rand) {
	c.procs[name].signal(syscall.SIGSTOP)
	sleepMS(300 + rng.IntN(2500))
	c.procs[name].signal(syscall.SIGCONT)
}
