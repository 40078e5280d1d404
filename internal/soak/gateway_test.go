package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// gateway is one process, and those that follow it.
type gateway struct {
	w    *world
	vm   platform.Settings
	file string

	mu   sync.Mutex
	cmd  *exec.Cmd
	life int
	// ended is closed when the process of this life has ended.
	ended chan struct{}
	// restarting says that the next process is about to be started.
	restarting bool
	over       bool
	// suspended is for how long it believes to have been suspended.
	suspended time.Duration
	// wrap, if set, makes the command of a process, in place of exec.Command.
	wrap func(program string, args ...string) *exec.Cmd
	// host is nil unless the run has a supervisor.
	host *supervisor
}

func (w *world) newGateway(i int, seeds []string) *gateway {
	port := freeport.Port(w.t)
	g := &gateway{w: w, file: filepath.Join(w.dir, fmt.Sprintf("vm-%d.json", i)), vm: platform.Settings{
		VM: fmt.Sprintf("vm-%d", i), DataCenter: homeOfGateways, Seeds: seeds, Store: w.storeProxy.address, FirstStart: true,
		PortLow: port, PortHigh: port,
		Callers: freeport.Address(w.t), Readiness: freeport.Address(w.t), Peers: freeport.Address(w.t),
		Bounds: platform.Bounds{Grace: w.grace, Drain: 2 * time.Second, ConfigApply: configurationBound, RetryRatio: 0.2, RetrySlack: 58},
		Limits: platform.VMLimits{MemoryBytes: memoryBytes, Descriptors: 4100},
	}}
	if w.drawn.host {
		if !w.longGrace {
			g.vm.Bounds.Grace = shortGrace
		}
		g.host = &supervisor{rand: rand.New(rand.NewPCG(w.seed, uint64(i)))}
	}
	if err := os.WriteFile(g.file, standin.SettingsFile(g.vm), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(g.end)
	return g
}

func (g *gateway) start() {
	if g.host != nil {
		g.launch()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return
	}
	g.life++
	g.restarting = false
	command := exec.Command
	if g.wrap != nil {
		command = g.wrap
	}
	cmd := command(gatewayBinary, append([]string{"-drain-delay", "300ms"}, g.w.flags...)...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.file, "SOAK_SUSPENDED="+g.suspendedFile())
	out, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		g.w.t.Error(err)
		return
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		g.w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(ended)
	}()
}

// restart waits for the end of a process and starts the next one, once: the stop
// and the kill of one process may overlap.
func (g *gateway) restart(ended chan struct{}) {
	<-ended
	g.mu.Lock()
	first := g.ended == ended && !g.restarting
	g.restarting = g.restarting || first
	g.mu.Unlock()
	if first {
		g.start()
	}
}

// end kills the process for good.
func (g *gateway) end() {
	if g.host != nil {
		g.endOnHost()
		return
	}
	g.mu.Lock()
	g.over = true
	cmd, ended := g.cmd, g.ended
	g.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
	if data, err := os.ReadFile(g.file + ".log"); err == nil && bytes.Contains(data, []byte("invariant violated")) || bytes.Contains(data, []byte("panic:")) || bytes.Contains(data, []byte("DATA RACE")) {
		g.w.t.Errorf("%s: a broken invariant, a panic or a data race:\n%s", g.vm.VM, data)
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		_ = os.Rename(g.file+".log", filepath.Join(dir, fmt.Sprintf("%d-%s.log", g.w.seed, g.vm.VM)))
	}
}

// signal sends a signal to the process of now.
func (g *gateway) signal(s syscall.Signal) (ended chan struct{}) {
	if g.host != nil {
		p := g.newest()
		g.tell(p, s)
		return p.ended
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
	return g.ended
}

func (g *gateway) hup() { g.signal(syscall.SIGHUP) }

func (g *gateway) kill() {
	if g.host != nil {
		g.signal(syscall.SIGKILL)
		return
	}
	ended := g.signal(syscall.SIGKILL)
	g.w.pending.Go(func() { g.restart(ended) })
}

func (g *gateway) term() {
	if g.host != nil {
		g.stopOnHost()
		return
	}
	ended := g.signal(syscall.SIGTERM)
	g.w.pending.Go(func() { g.restart(ended) })
}

func (g *gateway) pause(d time.Duration) {
	if g.host != nil {
		g.pauseOnHost(d)
		return
	}
	g.signal(syscall.SIGSTOP)
	g.w.after(d, func() { g.signal(syscall.SIGCONT) })
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.vm.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) waitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			return
		}
	}
	g.w.t.Fatalf("%s doesn't become ready", g.vm.VM)
}
