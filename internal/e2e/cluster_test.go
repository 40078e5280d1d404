package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/standin"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bridgehoist-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("E2E_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "github.com/bridgehoist/bridgehoist/cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const tableText = `workspace,kind,target,weight,priority,max_in_flight,max_queued,max_queue_time,timeout,idempotent
*,shift-report,kiln-scribe,20,3,64,400,60s,240s,yes
*,lining-check,kiln-scribe,8,8,128,400,20s,60s,no
*,signer-check,signdesk,12,9,256,400,20s,30s,no
`

// patience bounds every wait; it is generous, since only the order counts.
const patience = "40s"

type process struct {
	cmd *exec.Cmd
	log *buffer
}

// buffer collects what a process logs, and can be read meanwhile.
type buffer struct {
	mu   sync.Mutex
	data []byte
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	return len(p), nil
}

func (p *process) text() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return string(p.log.data)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// cluster is a platform, engines, a service and entries on loopback.
type cluster struct {
	t        *testing.T
	g        *WithT
	platform string
	engines  []string
	service  string
	entries  []entryProcess
	list     fleet.List
	procs    map[string]*process
	// extra are flags of every entry.
	extra []string
}

type entryProcess struct{ vm, callers, peer, operator string }

func newCluster(t *testing.T, engines, entries int, extra ...string) *cluster {
	c := &cluster{t: t, g: NewWithT(t), procs: map[string]*process{}, platform: freeport.Address(t), service: freeport.Address(t), extra: extra}
	for i := range engines {
		address := freeport.Address(t)
		c.engines = append(c.engines, address)
		c.list.Endpoints = append(c.list.Endpoints, fleet.Endpoint{
			ID: fmt.Sprintf("engine-%d", i), Type: fleet.Engine, DataCenter: "hall", Address: address,
			Targets: []string{"kiln-scribe"}, Incarnation: 1, State: fleet.Live, CapacityTokens: 16_000, MaxRunning: 64,
		})
		c.startEngine(i)
	}
	c.list.Endpoints = append(c.list.Endpoints, fleet.Endpoint{
		ID: "desk", Type: fleet.Service, DataCenter: "hall", Address: c.service,
		Targets: []string{"signdesk"}, Incarnation: 1, State: fleet.Live, MaxRunning: 64,
	})
	c.start("desk", "bridgehoist-standin", "service", "-listen", c.service, "-latency", "50ms")
	sum := sha256.Sum256([]byte(load.APIKey("ws")))
	c.list.Workspaces = []fleet.Workspace{{Name: "ws", KeysSHA256: []string{hex.EncodeToString(sum[:])}}}
	for i := range entries {
		e := entryProcess{fmt.Sprintf("entry-%d", i), freeport.Address(t), freeport.Address(t), freeport.Address(t)}
		c.entries = append(c.entries, e)
		c.list.VMs = append(c.list.VMs, fleet.VM{ID: e.vm, Role: fleet.RoleEntry, DataCenter: "hall", Peer: e.peer, State: fleet.Live})
	}
	dir := t.TempDir()
	list, _ := json.Marshal(c.list)
	c.write(filepath.Join(dir, "fleet"), list)
	c.write(filepath.Join(dir, "table"), []byte(tableText))
	c.start("platform", "bridgehoist-standin", "platform", "-listen", c.platform,
		"-fleet", filepath.Join(dir, "fleet"), "-table", filepath.Join(dir, "table"))
	c.waitListening(append([]string{c.platform, c.service}, c.engines...)...)
	for i := range c.entries {
		c.startEntry(i)
	}
	for i := range c.entries {
		c.waitReady(i)
	}
	return c
}

func (c *cluster) write(path string, data []byte) {
	c.g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
}

func (c *cluster) startEngine(i int) {
	c.start(fmt.Sprintf("engine-%d", i), "bridgehoist-standin", "engine", "-listen", c.engines[i], "-models", "kiln-scribe", "-linger", "30s")
}

func (c *cluster) startEntry(i int) {
	e := c.entries[i]
	args := []string{"-vm", e.vm, "-data-center", "hall", "-listen", e.callers, "-peer", e.peer,
		"-operator", e.operator, "-platform", "http://" + c.platform, "-drain-delay", "300ms", "-handover-linger", "300ms",
		"-stall-timeout", "1s"}
	c.start(e.vm, "bridgehoist-entry", append(args, c.extra...)...)
}

func (c *cluster) start(name, binary string, args ...string) {
	p := &process{cmd: exec.Command(filepath.Join(binaries, binary), args...), log: &buffer{}}
	p.cmd.Stderr = p.log
	c.g.Expect(p.cmd.Start()).To(Succeed())
	c.procs[name] = p
	c.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		broken := strings.Contains(p.text(), "invariant violated") || strings.Contains(p.text(), "DATA RACE")
		if broken || c.t.Failed() {
			c.t.Errorf("%s:\n%s", name, p.text())
		}
	})
}

func (c *cluster) waitListening(addresses ...string) {
	for _, a := range addresses {
		c.g.Eventually(func() error {
			conn, err := net.Dial("tcp", a)
			if err == nil {
				conn.Close()
			}
			return err
		}, patience, "20ms").Should(Succeed())
	}
}

func (c *cluster) waitReady(i int) {
	c.g.Eventually(func() (int, error) {
		resp, err := http.Get("http://" + c.entries[i].operator + operatorapi.PathReady)
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}, patience, "20ms").Should(Equal(http.StatusOK))
}

// waitExit waits for a process and returns its exit code.
func (c *cluster) waitExit(name string) int {
	_ = c.procs[name].cmd.Wait()
	return c.procs[name].cmd.ProcessState.ExitCode()
}

func (c *cluster) status(i int) (st operatorapi.Status) {
	resp, err := http.Get("http://" + c.entries[i].operator + operatorapi.PathStatus)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

func (c *cluster) control(address, path string, body any) {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(http.MethodPut, "http://"+address+"/control/"+path, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	c.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	c.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func (c *cluster) publishTable(text string) {
	c.control(c.platform, "values/"+published.Table, []byte(text))
}

func (c *cluster) runs(addresses ...string) map[string]int {
	var urls []string
	for _, a := range addresses {
		urls = append(urls, "http://"+a)
	}
	runs, err := load.Runs(urls)
	c.g.Expect(err).NotTo(HaveOccurred())
	return runs
}

// call is one request of a caller.
type call struct {
	kind, prompt, ticket string
	stream               bool
	header               http.Header
}

type answer struct {
	status  int
	text    string
	outcome string
	code    string
	ticket  string
	err     error
}

func (c *cluster) send(entry int, r call) (a answer) {
	path := httpapi.PathCompletions
	body, _ := json.Marshal(map[string]any{"prompt": r.prompt, "stream": r.stream})
	service := strings.HasPrefix(r.kind, "signer-check")
	if service {
		path = httpapi.PathServices + r.kind + "/check"
		body = []byte(r.prompt)
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+c.entries[entry].callers+path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+load.APIKey("ws"))
	req.Header.Set(httpapi.HeaderKind, r.kind)
	if r.ticket != "" {
		req.Header.Set(httpapi.HeaderTicket, r.ticket)
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, err: err, ticket: resp.Header.Get(httpapi.HeaderTicket), outcome: "complete"}
	if service && a.status == http.StatusOK {
		a.text = string(data)
		return a
	}
	a.read(string(data), r)
	return a
}

func (a *answer) read(data string, r call) {
	var failure httpapi.ErrorBody
	if a.status != http.StatusOK {
		_ = json.Unmarshal([]byte(data), &failure)
		a.outcome, a.code = failure.Error.Type, failure.Error.Code
		return
	}
	if !r.stream {
		var whole httpapi.Completion
		if json.Unmarshal([]byte(data), &whole) == nil && len(whole.Choices) == 1 {
			a.text = whole.Choices[0].Text
		}
		return
	}
	for event := range strings.SplitSeq(data, "\n\n") {
		if rest, ok := strings.CutPrefix(event, "event: error\ndata: "); ok {
			_ = json.Unmarshal([]byte(rest), &failure)
			a.outcome, a.code = failure.Error.Type, failure.Error.Code
			return
		}
		var part httpapi.Completion
		if json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &part) == nil && len(part.Choices) == 1 {
			a.text += part.Choices[0].Text
		}
	}
}

func (c *cluster) ticket(entry int) string {
	a := c.send(entry, call{kind: "lining-check", prompt: "ask"})
	c.g.Expect(a.status).To(Equal(http.StatusPreconditionRequired))
	c.g.Expect(a.outcome).To(Equal("not_run"))
	return a.ticket
}

func prompt(name string, tokens int) string { return name + standin.MarkLength(tokens) }

func sleepMS(n int) { time.Sleep(time.Duration(n) * time.Millisecond) }

func newForeignLedger() *claims.Ledger {
	return claims.New(time.Now(), claims.Config{VM: "far", PeerAddress: "192.0.2.1:9", Incarnation: claims.Incarnation{9}, Secret: []byte("x")})
}
