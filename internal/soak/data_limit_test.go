package soak

import (
	"fmt"
	"net/http"
	"os/exec"
	"testing"
	"time"
)

// TestGatewaysRunWithinALimitOfTheirData guards against processes that end since the stacks of their threads count as data.
func TestGatewaysRunWithinALimitOfTheirData(t *testing.T) {
	w := newWorld(t, seed{number: 1})
	g := w.gateways[0]
	limited := fmt.Sprintf("ulimit -d %d && exec \"$0\" \"$@\"", int(memoryBytes)>>10)
	g.wrap = func(program string, args ...string) *exec.Cmd {
		return exec.Command("/bin/sh", append([]string{"-c", limited, program}, args...)...)
	}
	g.mu.Lock()
	before := g.ended
	g.mu.Unlock()
	g.kill()
	<-before
	g.waitReady()
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
	for range 20 {
		if res := g.call(client, kindPlain); res.status != http.StatusOK {
			t.Errorf("answered %d, %v", res.status, res.err)
		}
	}
	select {
	case <-ended:
		t.Error("the process ended")
	case <-time.After(100 * time.Millisecond):
	}
}
