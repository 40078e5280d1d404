package hostfaults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	// patience bounds every wait; only the order of events counts.
	patience = 30 * time.Second
	poll     = 5 * time.Millisecond
	grace    = 3 * time.Second
	table    = "workspace,kind,target,weight,priority,max_in_flight,max_queued,max_queue_time,timeout,idempotent\n*,k,desk,1,3,1,1,1s,1s,yes\n"
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostfaults")
	if err != nil {
		panic(err)
	}
	binaries = dir
	if given := os.Getenv("HOSTFAULTS_BINARIES"); given != "" {
		binaries = given
	} else {
		build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/bridgehoist-gateway", "../../cmd/bridgehoist-entry",
			"../../cmd/bridgehoist-controller", "../../cmd/bridgehoist-standin")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a daemon, before and after its start.
type process struct {
	*testing.T
	program, file string
	args          []string
	vm            platform.Settings
	// ready are the addresses that answer 200 once the daemon serves; essential and optional those that it listens on.
	ready, essential, optional []string
	// udp is the address for datagrams.
	udp string
	// shell are commands that run before the daemon, in its process.
	shell string
	// out is its output and its errors; buffer by default.
	out *os.File
	env []string

	cmd    *exec.Cmd
	buffer buffer
	ended  chan struct{}
}

// daemons make each daemon's process.
var daemons = map[string]func(*testing.T) *process{
	"gateway": func(t *testing.T) *process {
		notices, metrics := freeport.Port(t), freeport.Port(t)
		p := &process{T: t, program: "bridgehoist-gateway", args: []string{"-drain-delay", "150ms", "-metrics-port", fmt.Sprint(metrics)}}
		p.vm = platform.Settings{
			VM: "vm-1", DataCenter: "dc", Store: store(t), FirstStart: true,
			Callers: freeport.Address(t), Readiness: freeport.Address(t), Peers: freeport.Address(t), PortLow: notices, PortHigh: notices,
			Bounds: platform.Bounds{Grace: grace, Drain: time.Second, ConfigApply: time.Second, RetryRatio: 1, RetrySlack: 1},
		}
		p.file = filepath.Join(t.TempDir(), "settings.json")
		p.env = []string{platform.SettingsVariable + "=" + p.file}
		p.write(standin.SettingsFile(p.vm))
		p.ready = []string{p.vm.Readiness + platform.ReadinessPath}
		p.essential = []string{p.vm.Callers, p.vm.Readiness, p.vm.Peers}
		p.udp = fmt.Sprintf("127.0.0.1:%d", notices)
		p.optional = []string{fmt.Sprintf("127.0.0.1:%d", metrics)}
		return p
	},
	"entry": func(t *testing.T) *process {
		p := &process{T: t, program: "bridgehoist-entry", essential: []string{freeport.Address(t), freeport.Address(t), freeport.Address(t)}}
		p.ready = []string{p.essential[0] + operatorapi.PathReady}
		p.args = []string{"-vm", "vm-1", "-data-center", "dc", "-operator", p.essential[0], "-peer", p.essential[1], "-listen", p.essential[2],
			"-platform", store(t), "-drain-delay", "150ms", "-drain-timeout", "2s", "-handover-linger", "100ms"}
		return p
	},
	"controller": func(t *testing.T) *process {
		p := &process{T: t, program: "bridgehoist-controller", optional: []string{freeport.Address(t)}}
		p.ready = []string{p.optional[0] + operatorapi.PathHealth}
		p.args = []string{"-vm", "vm-1", "-data-center", "dc", "-operator", p.optional[0], "-entry-peer", freeport.Address(t)}
		return p
	},
	"standin": func(t *testing.T) *process {
		p := &process{T: t, program: "bridgehoist-standin", essential: []string{freeport.Address(t)}}
		p.args = []string{"service", "-listen", p.essential[0]}
		return p
	},
}

// store starts a store that holds what an entry needs to become ready.
func store(t *testing.T) string {
	s := standin.New()
	config := standin.Configuration{Version: 1, Services: []string{"desk"}, Workspaces: map[string][]string{"w": {"key"}}}
	s.Put(platform.ConfigurationKey, config.Encode())
	desk := &standin.Endpoint{ID: "desk", Address: "127.0.0.1:1"}
	s.Put(platform.EndpointPrefix+desk.ID, standin.Record(desk, "desk", "dc", false))
	s.Put(platform.OwnPrefix+published.Table, []byte(table))
	list := fleet.List{Endpoints: []fleet.Endpoint{{ID: "desk", Type: fleet.Service, DataCenter: "dc", Address: "127.0.0.1:1", Targets: []string{"desk"}, Incarnation: 1, State: fleet.Live, MaxRunning: 1}}}
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	s.Put(platform.OwnPrefix+published.Fleet, data)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// write replaces the settings file.
func (p *process) write(data []byte) {
	p.Helper()
	next := p.file + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		p.Fatal(err)
	}
	if err := os.Rename(next, p.file); err != nil {
		p.Fatal(err)
	}
}

func (p *process) start() {
	p.Helper()
	p.cmd = exec.Command("sh", append([]string{"-c", p.shell + ` exec "$0" "$@"`, filepath.Join(binaries, p.program)}, p.args...)...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.buffer, &p.buffer
	if p.out != nil {
		p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	}
	p.cmd.WaitDelay = time.Second
	if err := p.cmd.Start(); err != nil {
		p.Fatal(err)
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	p.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if p.Failed() {
			p.Logf("%s: %v\n%s", p.program, p.cmd.ProcessState, p.buffer.String())
		}
	})
}

// alive reports a process that has ended.
func (p *process) alive(during string) {
	p.Helper()
	select {
	case <-p.ended:
		p.Fatalf("ended by itself %s: %v", during, p.cmd.ProcessState)
	default:
	}
}

// await waits until a condition holds.
func (p *process) await(what string, holds func() bool) {
	p.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(poll) {
		p.alive("before " + what)
		if time.Now().After(end) {
			p.Fatal("not in time: " + what)
		}
	}
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// answers reports whether an address answers with 200.
func answers(address string) bool {
	resp, err := client.Get("http://" + address)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitServing waits until the daemon serves at its addresses, except some.
func (p *process) awaitServing(except ...string) {
	p.Helper()
	for _, address := range p.essential {
		p.await("it listens at "+address, func() bool { return listens(address) })
	}
	for _, address := range p.optional {
		if !strings.Contains(strings.Join(except, " "), address) {
			p.await("it listens at "+address, func() bool { return listens(address) })
		}
	}
	for _, address := range p.ready {
		if len(except) == 0 || !strings.HasPrefix(address, except[0]) {
			p.await("ready", func() bool { return answers(address) })
		}
	}
}

func listens(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	data, _ := io.ReadAll(c)
	return bytes.HasPrefix(data, []byte("HTTP/1.1"))
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitEnd waits for the end, which must be with 0.
func (p *process) awaitEnd() {
	p.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		p.Fatal("doesn't end by SIGTERM")
	}
	if !p.cmd.ProcessState.Success() {
		p.Errorf("ended by SIGTERM: %v", p.cmd.ProcessState)
	}
}

// buffer collects what a process writes, and can be read meanwhile.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
