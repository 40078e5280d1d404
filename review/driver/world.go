// Command driver plays the scripted cases of the review: it starts the project's gateways as
// processes, and stands for the platform, the servers and the clients.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	gatewayBinary = "target/bridgehoist-gateway"
	metricsPort   = 7210
	callerPort    = 8740
	readyPort     = 8749
	peerPort      = 8748
	noticePort    = 7200
	host          = "h.example"
	apiKey        = "key-1"
	tenant        = "tenant-1"
	zone          = "zone-1"
	readyTimeout  = 20 * time.Second
	restartDelay  = 300 * time.Millisecond
)

// world is one run of a case.
type world struct {
	dir     string
	trouble bool
	store   *standin.Store
	nodes   []*node
	begun   time.Time
	serial  atomic.Int64

	mu     sync.Mutex
	record *os.File
	ending bool
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: standin.New(), begun: time.Now(), record: record}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f ", time.Since(w.begun).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

func (w *world) close() {
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill("the end of the run")
	}
	for _, n := range w.nodes {
		n.wait.Wait()
	}
	w.record.Close()
	os.RemoveAll(w.dir)
}

func (w *world) isEnding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ending
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// put publishes a configuration.
func (w *world) put(c standin.Configuration) { w.store.Put(platform.ConfigurationKey, c.Encode()) }

// announce publishes the record of a server.
func (w *world) announce(id, address, service string) {
	e := &standin.Endpoint{ID: id, Address: address}
	e.SetBorn(uint64(time.Now().UnixMilli()))
	w.store.Put(platform.EndpointPrefix+id, standin.Record(e, service, zone, false))
}

func (w *world) nextID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), w.serial.Add(1)) }

// node is a machine with a gateway process.
type node struct {
	w        *world
	name     string
	ip       string
	file     string
	memoryMB int
	wait     sync.WaitGroup

	mu   sync.Mutex
	cmd  *exec.Cmd
	ends int
	peak int
	// in says whether the platform's balancer uses it, and missed how many checks it missed.
	in     bool
	missed int
}

// startNodes starts gateways on loopback addresses of their own, as machines have.
func (w *world) startNodes(count, memoryMB int, storeAddress string) error {
	base, err := freeBase(count)
	if err != nil {
		return err
	}
	ip := func(i int) string { return ipOf(base, i) }
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), peerPort))
	}
	for i := range count {
		n := &node{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: ip(i), memoryMB: memoryMB, in: true}
		n.file = filepath.Join(w.dir, n.name+".json")
		if err := n.writeSettings(seeds, storeAddress, true); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	for _, n := range w.nodes {
		for end := time.Now().Add(readyTimeout); !n.ready(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s doesn't become ready", n.name)
			}
		}
		// Restarts come later than the first start of the whole system.
		if err := n.writeSettings(seeds, storeAddress, false); err != nil {
			return err
		}
	}
	return nil
}

func ipOf(base, i int) string { return fmt.Sprintf("127.%d.1.%d", base, i+1) }

// freeBase finds loopback addresses on which the ports of so many machines are free.
func freeBase(count int) (int, error) {
	const first, bases = 20, 200
	for try := range bases {
		base := first + (os.Getpid()+try)%bases
		if isFree(base, count) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d loopback addresses with free ports", count)
}

func isFree(base, count int) bool {
	for i := range count {
		for _, port := range []int{callerPort, readyPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ipOf(base, i), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (n *node) writeSettings(seeds []string, storeAddress string, first bool) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	data := standin.SettingsFile(platform.Settings{
		VM: n.name, DataCenter: zone, Seeds: seeds, Store: storeAddress, FirstStart: first, PortLow: noticePort, PortHigh: noticePort + 15,
		Callers: at(callerPort), Readiness: at(readyPort), Peers: at(peerPort),
		Bounds: platform.Bounds{Grace: 8 * time.Second, Drain: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 52},
	})
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if n.memoryMB > 0 {
		fields["Limits"] = map[string]any{"MemoryMb": n.memoryMB, "MaxFds": 4100, "Cores": 1}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, out, 0o600)
}

// start starts the process with the words of the deploy file, and again when it ends.
func (n *node) start() {
	cmd := exec.Command(gatewayBinary, "-metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.file)
	out, err := os.OpenFile(n.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.note("%s: %v", n.name, err)
		return
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	n.cmd = cmd
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		n.w.note("%s: %v", n.name, err)
		return
	}
	n.mu.Unlock()
	n.wait.Go(func() {
		_ = cmd.Wait()
		out.Close()
		if n.w.isEnding() {
			return
		}
		time.Sleep(restartDelay)
		if !n.w.isEnding() {
			n.start()
		}
	})
	if n.memoryMB > 0 {
		go n.watchMemory(cmd.Process.Pid)
	}
}

func (n *node) kill(why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.w.note("%s killed: %s", n.name, why)
	_ = n.cmd.Process.Kill()
}

// watchMemory ends the process when it takes more than its machine allows, as the platform does.
// Only its own pages count, not those of the program file.
func (n *node) watchMemory(pid int) {
	for !n.w.isEnding() {
		kb, ok := anonymousKB(pid)
		if !ok {
			return
		}
		n.mu.Lock()
		n.peak = max(n.peak, kb)
		over := kb*1024 > n.memoryMB*1_000_000
		if over {
			n.ends++
		}
		n.mu.Unlock()
		if over {
			n.kill(fmt.Sprintf("it takes %d MB of memory, its machine allows %d", kb*1024/1_000_000, n.memoryMB))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func anonymousKB(pid int) (int, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb, err == nil
		}
	}
	return 0, false
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", n.ip, readyPort, platform.ReadinessPath))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balance asks every node each second whether it takes channels; one that misses twice is out.
func (w *world) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range w.nodes {
			go func() {
				ok := n.ready()
				n.mu.Lock()
				defer n.mu.Unlock()
				if ok {
					n.in, n.missed = true, 0
				} else if n.missed++; n.missed >= 2 {
					n.in = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (n *node) isIn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in
}

// channel is a client's connection.
type channel struct {
	net.Conn
	r   *bufio.Reader
	key string
}

func (n *node) connect() (*channel, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c), apiKey}, nil
}

// request writes the head of a request.
func (c *channel) request(method, path, id string, deadline time.Duration, length int, more ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n%s: %d\r\n", platform.HeaderRequestID, id, platform.HeaderAPIKey, c.key, platform.HeaderWait, deadline.Milliseconds())
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	_, err := c.Write([]byte(b.String()))
	return err
}
