package e2e

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/standin"
	platformstandin "github.com/bridgehoist/bridgehoist/platform/standin"
)

// TestTwoStopsAtOnce: both entries stop; a third must end up with the tickets of
// both, also where one was asked first to take over the other's.
func TestTwoStopsAtOnce(t *testing.T) {
	c := newCluster(t, 1, 3)
	tickets := []string{c.ticket(0), c.ticket(1)}
	for i := range 2 {
		c.procs[c.entries[i].vm].signal(syscall.SIGTERM)
	}
	for i := range 2 {
		c.g.Expect(c.waitExit(c.entries[i].vm)).To(BeZero())
	}
	for i, ticket := range tickets {
		r := call{kind: "lining-check", prompt: prompt(fmt.Sprint("two stops ", i), 5), ticket: ticket}
		a := c.send(2, r)
		c.g.Expect(a.text).To(Equal(standin.Answer(r.prompt)), "%+v", a)
	}
}

// TestStartWithoutThePlatform: an entry that starts while the platform is down
// learns table and list from a peer named in its settings.
func TestStartWithoutThePlatform(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.procs["entry-1"].signal(syscall.SIGKILL)
	c.waitExit("entry-1")
	c.publishTable(tableText + "*,added,kiln-scribe,10,9,256,400,20s,30s,yes\n")
	revision := func(i int) uint64 { return c.status(i).Values[0].Revision }
	c.g.Eventually(func() uint64 { return revision(0) }, patience, "50ms").Should(BeNumerically(">", 2))
	c.control(c.platform, "mode", platformstandin.Mode{Down: true})
	c.extra = []string{"-seed-peers", c.entries[0].peer}
	c.startEntry(1)
	c.waitReady(1)
	c.g.Expect(revision(1)).To(Equal(revision(0)))
	p := prompt("no platform ", 5)
	c.g.Expect(c.send(1, call{kind: "added", prompt: p}).text).To(Equal(standin.Answer(p)))
}

// TestStartFromAStaleReplica: an entry that starts while the platform is away, and
// then reads a replica that is behind, isn't ready before it knows what its peer
// knows.
func TestStartFromAStaleReplica(t *testing.T) {
	// The peer doesn't call by itself meanwhile.
	c := newCluster(t, 1, 2, "-exchange-every", "1m")
	c.procs["entry-1"].signal(syscall.SIGKILL)
	c.waitExit("entry-1")
	c.publishTable(tableText + "*,added,kiln-scribe,10,9,256,400,20s,30s,yes\n")
	revision := func(i int) uint64 { return c.status(i).Values[0].Revision }
	c.g.Eventually(func() uint64 { return revision(0) }, patience, "50ms").Should(BeNumerically(">", 2))

	replica := freeport.Address(t)
	c.platform = replica
	c.startEntry(1)
	c.g.Eventually(func() string { return c.procs["entry-1"].text() }, patience, "20ms").Should(ContainSubstring("started"))
	sleepMS(500)
	dir := t.TempDir()
	list, err := json.Marshal(c.list)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.write(filepath.Join(dir, "fleet"), list)
	c.write(filepath.Join(dir, "table"), []byte(tableText))
	c.start("replica", "bridgehoist-standin", "platform", "-listen", replica,
		"-fleet", filepath.Join(dir, "fleet"), "-table", filepath.Join(dir, "table"))
	ready := func() bool {
		st := c.status(1)
		if st.Ready {
			c.g.Expect(st.Values[0].Revision).To(Equal(revision(0)), "ready with a stale table")
		}
		return st.Ready
	}
	c.g.Eventually(ready, patience, "5ms").Should(BeTrue())
}

// TestPeersUnderTLS runs entries with mutual TLS and a shared token between them.
func TestPeersUnderTLS(t *testing.T) {
	dir := t.TempDir()
	ca, caKey := certificate(t, dir, "ca", nil, nil)
	certificate(t, dir, "peer", ca, caKey)
	file := func(name string) string { return filepath.Join(dir, name) }
	c := newCluster(t, 1, 2, "-peer-token", "shared", "-peer-tls-ca", file("ca.crt"),
		"-peer-tls-cert", file("peer.crt"), "-peer-tls-key", file("peer.key"))
	c.g.Eventually(func() int { return len(c.status(0).Members) }, patience, "50ms").Should(Equal(1))
	r := call{kind: "lining-check", prompt: prompt("tls ", 5), ticket: c.ticket(0)}
	c.g.Expect(c.send(1, r).text).To(Equal(standin.Answer(r.prompt)))
	// One of the two controllers learns, through its entry, that it is the orderer.
	for i, e := range c.entries {
		c.start(fmt.Sprint("controller-", i), "bridgehoist-controller", "-vm", e.vm, "-data-center", "hall", "-every", "50ms",
			"-entry-peer", e.peer, "-operator", freeport.Address(t), "-peer-token", "shared", "-peer-tls-ca", file("ca.crt"),
			"-peer-tls-cert", file("peer.crt"), "-peer-tls-key", file("peer.key"))
	}
	c.g.Eventually(func() string { return c.procs["controller-0"].text() + c.procs["controller-1"].text() },
		patience, "50ms").Should(ContainSubstring("mine=true"))
	_, err := http.Get("http://" + c.entries[0].peer)
	if err == nil {
		_, err = http.Get("https://" + c.entries[0].peer)
	}
	c.g.Expect(err).To(HaveOccurred(), "a caller without a certificate")
}

// certificate makes a key pair, signed by the authority or by itself, and writes
// it as PEM.
func certificate(t *testing.T, dir, name string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if ca != nil {
		parent, signer = ca, caKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	c := &cluster{t: t, g: g}
	c.write(filepath.Join(dir, name+".crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	c.write(filepath.Join(dir, name+".key"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	return cert, key
}

// TestControllerOrders: the orderer of the data centre brings engines to what the
// list says, with its revision as fencing number; a second controller gives no
// orders.
func TestControllerOrders(t *testing.T) {
	c := newCluster(t, 2, 2)
	for i := range c.entries {
		c.start(fmt.Sprint("controller-", i), "bridgehoist-controller", "-vm", c.entries[i].vm, "-data-center", "hall",
			"-entry-peer", c.entries[i].peer, "-operator", freeport.Address(t), "-every", "100ms")
	}
	for i := range c.engines {
		c.list.Endpoints[i].Desired = []string{"kiln-scribe", "lexmodel"}
	}
	list, err := json.Marshal(c.list)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.control(c.platform, "values/fleet", list)
	for i := range c.engines {
		c.g.Eventually(func() engineapi.OrderState { return c.orders(i) }, patience, "50ms").Should(And(
			HaveField("Loaded", ConsistOf("kiln-scribe", "lexmodel")), HaveField("Fencing", BeNumerically(">", 2))))
	}
	given := 0
	for i := range c.entries {
		p := c.procs[fmt.Sprint("controller-", i)]
		p.signal(syscall.SIGTERM)
		_ = p.cmd.Wait()
		if strings.Contains(p.text(), "order given") {
			given++
		}
	}
	c.g.Expect(given).To(Equal(1), "one orderer")
}

func (c *cluster) orders(engine int) (st engineapi.OrderState) {
	resp, err := http.Get("http://" + c.engines[engine] + engineapi.PathOrders)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// oddLists are values of another writer in place of a fleet list, some of which are valid.
func (c *cluster) oddLists(good string) []string {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	odd := []string{
		"", "null", "7", "1e400", "[]", "{", `"text"`, "\xff\xfe", "\x00", nested(10_001), strings.Repeat(`{"vms":`, 100_000), `{"endpoints":[null]}`,
		`{"endpoints":[{"address":"` + strings.Repeat("x", 1<<19) + `"}]}`, good + good, `{"endpoints":[],"endpoints":` + good[1:],
	}
	for from, values := range map[string][]string{
		`"capacity_tokens":16000`:       {"-1", "1e308", "1e400", "2147483648", "9223372036854775807", "9223372036854775808"},
		`"max_running":64`:              {"-1", "0", "1e308", "4294967296", "9223372036854775807", "18446744073709551616"},
		`"incarnation":1`:               {"-1", "0", "9223372036854775808", "18446744073709551615", "18446744073709551616"},
		`"address":"` + c.service + `"`: {`""`, `"127.0.0.1"`, `"127.0.0.1:0"`, `"127.0.0.1:-1"`, `"127.0.0.1:65536"`, `"127.0.0.1:99999999999"`, `"127.0.0.1:x"`, `"localhost:1"`, `"[::1]:1"`, "null"},
		`"id":"engine-0"`:               {`""`, `"\ud800"`, `"\u0000"`, `"desk"`, `"` + strings.Repeat("k", 1<<19) + `"`},
		`"targets":["kiln-scribe"]`:     {nested(9_990), `["` + strings.Repeat("<", 1<<16) + `"]`},
	} {
		for _, value := range values {
			odd = append(odd, strings.ReplaceAll(good, from, from[:strings.Index(from, ":")+1]+value))
		}
	}
	return odd
}

// TestNoOddListEndsAnEntryOrAController: each good list that follows an odd one is in force, and requests are served.
func TestNoOddListEndsAnEntryOrAController(t *testing.T) {
	c := newCluster(t, 1, 2)
	operator := freeport.Address(t)
	c.start("controller", "bridgehoist-controller", "-vm", c.entries[0].vm, "-data-center", "hall",
		"-entry-peer", c.entries[0].peer, "-operator", operator, "-every", "20ms")
	for i := range 14 {
		c.control(c.platform, fmt.Sprintf("values/odd-%d", i), bytes.Repeat([]byte("x"), 1<<20))
	}
	list := func() []byte {
		c.list.Endpoints[0].Incarnation++
		data, err := json.Marshal(c.list)
		c.g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	fleetRevision := func(i int) uint64 {
		for _, v := range c.status(i).Values {
			if v.Name == published.Fleet {
				return v.Revision
			}
		}
		return 0
	}
	good, err := json.Marshal(c.list)
	c.g.Expect(err).NotTo(HaveOccurred())
	for n, odd := range c.oddLists(string(good)) {
		c.control(c.platform, "values/fleet", []byte(odd))
		c.publishTable(odd)
		before := fleetRevision(0)
		c.publishTable(tableText)
		c.control(c.platform, "values/fleet", list())
		for i := range c.entries {
			c.g.Eventually(func() uint64 { return fleetRevision(i) }, patience, "10ms").Should(BeNumerically(">", before), "%d, %.40q", n, odd)
			a := c.send(i, call{kind: "shift-report", prompt: prompt(fmt.Sprintf("%d at %d ", n, i), 5)})
			c.g.Expect(a.status).To(Equal(http.StatusOK), "%d, %.40q: %+v", n, odd, a)
		}
	}
	c.waitListening(operator)
}
