package truncation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	workers = 24
	// pairSize is how many endpoints serve requests that are repeated. Each has a budget of repeats.
	pairSize = 8
	host     = "h.example"
	timeout  = 30 * time.Second
	// maxTries bounds how often a request is sent that the gateway refuses before any endpoint has got it.
	maxTries = 200
)

var gatewayBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "truncation")
	if err != nil {
		panic(err)
	}
	gatewayBinary = filepath.Join(dir, "gateway")
	build := exec.Command("go", "build", "-o", gatewayBinary, "../../cmd/bridgehoist-gateway")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running gateway.
type process struct {
	cmd   *exec.Cmd
	vm    platform.Settings
	ended chan struct{}
	log   bytes.Buffer
}

// services are those of one worker, by the first segment of the path.
var services = []struct {
	name, kind string
	endpoints  int
	engine     bool
	resumable  bool
}{
	{name: "plain", kind: standin.Unsafe, endpoints: 1},
	{name: "safe", kind: standin.Safe, endpoints: pairSize},
	{name: "stream", kind: standin.Stream, endpoints: 1, engine: true},
	{name: "resumable", kind: standin.Stream, endpoints: pairSize, engine: true, resumable: true},
}

// start starts a gateway and the endpoints of all workers; serve starts an endpoint and returns its address.
func start(t *testing.T, serve func(*testing.T) string) *process {
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	config := standin.Configuration{Version: 1, Workspaces: map[string][]string{}}
	for w := range workers {
		for _, s := range services {
			target := fmt.Sprintf("%s-%d", s.name, w)
			config.Routes = append(config.Routes, standin.Route{
				Name: target, Host: host, Prefix: fmt.Sprintf("/%s/%d/", s.name, w), Kind: s.kind, Target: target,
				Attempts: min(s.endpoints, 2), Timeout: timeout, Objective: timeout, Resumable: s.resumable,
			})
			if s.engine {
				config.Engines = append(config.Engines, target)
			} else {
				config.Services = append(config.Services, target)
			}
			for n := range s.endpoints {
				e := &standin.Endpoint{ID: fmt.Sprintf("%s-%d", target, n), Address: serve(t)}
				store.Put(platform.EndpointPrefix+e.ID, standin.Record(e, target, "dc", false))
			}
		}
	}
	// Each workspace has a budget of repeats too.
	for n := range maxWorkspaces {
		config.Workspaces[fmt.Sprint("w", n)] = []string{fmt.Sprint("key", n)}
	}
	store.Put(platform.ConfigurationKey, config.Encode())
	p := &process{ended: make(chan struct{}), vm: platform.Settings{
		VM: "vm-1", DataCenter: "dc", Store: server.URL, FirstStart: true,
		Callers: freeport.Address(t), Readiness: freeport.Address(t), Peers: freeport.Address(t),
		Bounds: platform.Bounds{Grace: time.Second, Drain: time.Second, ConfigApply: time.Second, RetryRatio: 1, RetrySlack: 100_000},
	}}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, standin.SettingsFile(p.vm), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(gatewayBinary)
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if bytes.Contains(p.log.Bytes(), []byte("panic:")) || bytes.Contains(p.log.Bytes(), []byte("invariant violated")) {
			t.Error("the gateway logged a panic or a broken invariant")
		}
		if dir := os.Getenv("TRUNCATION_LOGS"); dir != "" {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(t.Name())+".log"), p.log.Bytes(), 0o600)
		}
	})
	p.waitReady(t)
	return p
}

func (p *process) waitReady(t *testing.T) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + p.vm.Readiness + platform.ReadinessPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the gateway doesn't become ready")
}

// delegate starts a server that delegates its requests to the gateway as an entry does that has lost its
// endpoints, and returns its address.
func (p *process) delegate(t *testing.T) string {
	delegator := peering.NewDelegator("vm-2", tcpconn.Dialer(timeout), nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		wait, err := strconv.Atoi(r.Header.Get(platform.HeaderWait))
		if err != nil {
			return
		}
		j := &job.Job{RequestID: r.Header.Get(platform.HeaderRequestID), Method: r.Method, Path: r.RequestURI, Host: r.Host, Body: body}
		sink := respond.NewWriter(w)
		peer := membership.Contact{VM: p.vm.VM, Address: p.vm.Peers}
		sink.End(j, delegator.Delegate(r.Context(), peer, j, platform.DelegatedHeader(r.Header, time.Duration(wait)*time.Millisecond), sink))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// callers returns the address for callers.
func callers(p *process) string { return p.vm.Callers }

// sockets counts the sockets that the process has open.
func (p *process) sockets(t *testing.T) (count int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && len(target) > 6 && target[:6] == "socket" {
			count++
		}
	}
	return count
}

// caller sends requests one after another, on one connection while that is kept.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// result is what a caller got. The status is zero if there was no answer.
type result struct {
	status    int
	body      string
	signature string
	err       error
	// unasked counts bytes behind the answer.
	unasked int
}

func (c *caller) send(id, key, path string, header map[string]string, body []byte) (r result) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, key)
	req.Header.Set(platform.HeaderWait, fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if err := req.Write(c.conn); err != nil {
		c.close()
		return result{err: err}
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		c.close()
		return result{err: err}
	}
	got, err := io.ReadAll(resp.Body)
	r = result{status: resp.StatusCode, body: string(got), err: err, unasked: c.reader.Buffered()}
	r.signature = resp.Header.Get(platform.HeaderSignature)
	if err != nil || resp.Close {
		c.close()
	}
	return r
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
