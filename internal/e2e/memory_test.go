package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/load"
)

const (
	// memoryMB is what an entry may use, and memoryOpen how many requests it may have open.
	memoryMB   = 134
	memoryOpen = 1024
	// memoryCallers is how many callers load it at once.
	memoryCallers = 1300
	memoryFor     = time.Second
)

// shortFields returns a head of so many bytes in fields of a few bytes, each of which takes far more in memory.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + "a:\r\n")
	}
	return b.String()
}

// floods are answers without end: a head and what is repeated. ID stands for the ID of the request.
var floods = [][2]string{
	{"", "x"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\n" + shortFields(60<<10), "x"},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ":\n"},
	{"HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"HTTP/1.1 503 Full\r\n" + engineapi.HeaderNotRun + ": 1\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
}

// floodAt answers every request at an address without end, by one of some floods, until the test ends.
func floodAt(t *testing.T, g *WithT, address string, floods [][2]string) {
	var l net.Listener
	g.Eventually(func() (err error) {
		l, err = net.Listen("tcp", address)
		return err
	}, patience, "10ms").Should(Succeed())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_ = c.SetDeadline(time.Now().Add(memoryFor))
				flood := floods[rand.IntN(len(floods))]
				_, err := io.WriteString(c, flood[0])
				for block := []byte(strings.Repeat(flood[1], 4096)); err == nil; {
					_, err = c.Write(block)
				}
			}()
		}
	}()
}

// callerRequests are what callers send, after which they read nothing.
func callerRequests() []string {
	head := func(kind string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\n", httpapi.PathCompletions, load.APIKey("ws"), httpapi.HeaderKind, kind)
	}
	body, _ := json.Marshal(map[string]any{"prompt": "p", "stream": true})
	large, _ := json.Marshal(map[string]any{"prompt": strings.Repeat("x", 900<<10)})
	whole := func(body []byte) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	return []string{
		head("shift-report") + whole(body),
		head("shift-report") + whole(large),
		head("shift-report") + whole([]byte(`{"prompt":"p","x":[`+strings.Repeat("[],", 300<<10)+`[]]}`)),
		head("shift-report") + shortFields(28<<10) + "Content-Length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\n" + shortFields(30<<10),
		head("shift-report") + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", 64<<10),
	}
}

// TestAnEntryStaysWithinItsMemory guards against processes that run out of memory by what others send without end.
func TestAnEntryStaysWithinItsMemory(t *testing.T) {
	// On large machines the runtime uses more memory.
	t.Setenv("GOMAXPROCS", "192")
	c := newCluster(t, 2, 2, "-max-open", fmt.Sprint(memoryOpen), "-memory", fmt.Sprint(memoryMB))
	for i, address := range append(c.engines, c.service) {
		name := fmt.Sprintf("engine-%d", i)
		if address == c.service {
			name = "desk"
		}
		_ = c.procs[name].cmd.Process.Kill()
		c.waitExit(name)
		floodAt(t, c.g, address, floods)
	}
	requests := callerRequests()
	end := time.Now().Add(memoryFor)
	var all sync.WaitGroup
	for range memoryCallers {
		all.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", c.entries[0].callers, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_ = conn.SetDeadline(end)
				if _, err := io.WriteString(conn, requests[rand.IntN(len(requests))]); err == nil {
					time.Sleep(time.Until(end) / 2)
				}
				conn.Close()
			}
		})
	}
	answered := 0
	for time.Now().Before(end) {
		if a := c.send(0, call{kind: "shift-report", prompt: "p"}); a.status != 0 {
			answered++
		}
	}
	all.Wait()
	peak := c.peak(c.entries[0].vm)
	t.Logf("at most %.1f MB; %d ordinary requests answered", float64(peak)/1e6, answered)
	c.expectWithinMemory(peak)
	c.g.Expect(answered).To(BeNumerically(">", 0))
}

// expectWithinMemory checks a peak. The race detector takes several times the memory.
func (c *cluster) expectWithinMemory(peak int) {
	c.g.Expect(peak).To(BeNumerically(">", 0))
	if os.Getenv("E2E_RACE") == "" {
		c.g.Expect(peak).To(BeNumerically("<", memoryMB*1_000_000))
	}
}

// peak returns the most resident memory that a process has had, in bytes.
func (c *cluster) peak(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.procs[name].cmd.Process.Pid))
	c.g.Expect(err).NotTo(HaveOccurred())
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"))
			return n << 10
		}
	}
	return 0
}

// TestAControllerStaysWithinItsMemory guards against the same by the entry that a controller asks.
func TestAControllerStaysWithinItsMemory(t *testing.T) {
	c := &cluster{t: t, g: NewWithT(t), procs: map[string]*process{}}
	entry, operator := freeport.Address(t), freeport.Address(t)
	floodAt(t, c.g, entry, [][2]string{
		{"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "x"},
		{"HTTP/1.1 200 OK\r\nField: ", "x"},
	})
	c.start("controller", "bridgehoist-controller", "-vm", "vm", "-data-center", "hall", "-entry-peer", entry, "-operator", operator, "-every", "20ms")
	c.waitListening(operator)
	time.Sleep(memoryFor)
	peak := c.peak("controller")
	t.Logf("at most %.1f MB", float64(peak)/1e6)
	c.expectWithinMemory(peak)
	c.waitListening(operator)
}
