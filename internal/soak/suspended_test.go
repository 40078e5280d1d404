package soak

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// suspend makes the process stand still for a moment and believe, when it goes on, that its
// VM was suspended for longer. What it has decided before is that much older then.
func (g *gateway) suspend(r *rand.Rand) {
	g.signal(syscall.SIGSTOP)
	g.mu.Lock()
	g.suspended += time.Second + time.Duration(r.IntN(8000))*time.Millisecond
	text := g.suspended.String()
	g.mu.Unlock()
	// Written beside and renamed, so that no half of it is read.
	if err := os.WriteFile(g.suspendedFile()+".new", []byte(text), 0o600); err != nil {
		g.w.t.Error(err)
	}
	if err := os.Rename(g.suspendedFile()+".new", g.suspendedFile()); err != nil {
		g.w.t.Error(err)
	}
	time.Sleep(50 * time.Millisecond)
	g.signal(syscall.SIGCONT)
}

// suspendedFile tells a process built for the soak for how long it was suspended.
func (g *gateway) suspendedFile() string { return g.file + ".suspended" }
