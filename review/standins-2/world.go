// Program review-standins-2 plays the scripts of the second review: it starts the project's gateway as
// processes with the command of the deploy file, beside stand-ins of clients, servers and the store, and
// exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// The platform's messages, with gaps between signs @.
var (
	//go:embed settings.json
	settingsText string
	//go:embed configuration.json
	configurationText string
	//go:embed route.json
	routeText string
	//go:embed tenant.json
	tenantText string
	//go:embed record.json
	recordText string
	//go:embed report.json
	reportText string
)

// filled fills the gaps of a text; pairs are names and values.
func filled(text string, pairs ...any) string {
	var r []string
	for i := 0; i < len(pairs); i += 2 {
		r = append(r, "@"+pairs[i].(string)+"@", fmt.Sprint(pairs[i+1]))
	}
	return strings.TrimSpace(strings.NewReplacer(r...).Replace(text))
}

var zones = []string{"hetauda-hall", "lalitpur-hall", "bhaktapur-hall"}

// regions gives the region of each zone.
var regions = map[string]string{
	"hetauda-hall": "bagmati", "lalitpur-hall": "bagmati", "bhaktapur-hall": "bagmati",
	"regina-a": "sask", "saskatoon-a": "sask", "winnipeg-a": "manitoba", "brandon-a": "manitoba",
}

// zoneTable is what the settings say of the zones of some machines.
func zoneTable(gateways []*gateway) string {
	in := map[string]string{}
	for _, g := range gateways {
		in[g.zone] = regions[g.zone]
	}
	data, _ := json.Marshal(in) // Texts can always be written.
	return string(data)
}

// world is one play.
type world struct {
	trouble bool
	begun   time.Time
	dir     string
	net     string
	rand    *rand.Rand

	mu       sync.Mutex
	lines    []string
	broken   []string
	gateways []*gateway
	serial   int
}

// gateway is one process of the system, on a loopback address of its own.
type gateway struct {
	name, ip, zone, settings string
	// store is the address at which it reaches the store, and asked its calls there.
	store, seeds string
	// first says that the whole system starts for the first time.
	first bool
	asked atomic.Int64
	cmd   *exec.Cmd
	ended chan struct{}
}

func (g *gateway) callers() string   { return g.ip + ":8740" }
func (g *gateway) readiness() string { return g.ip + ":8749" }

var errCantRun = errors.New("the case can't run")

func newWorld(trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, begun: time.Now(), dir: dir, rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 20+w.rand.IntN(200), 1+w.rand.IntN(250))
		if l, err := net.Listen("tcp", w.net+".1:8740"); err == nil {
			return w, l.Close()
		}
	}
	return nil, errCantRun
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// breaks notes that a rule is broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// listen serves a handler on an address of the play's own.
func (w *world) listen(host int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, host))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func newStandInStore() *standin.Store { return standin.New() }

// newStore serves a store.
func (w *world) newStore(host int) (*standin.Store, string, error) {
	s := standin.New()
	address, err := w.listen(host, s.Handler())
	return s, address, err
}

// newGateways makes the settings of some gateways.
func (w *world) newGateways(n int, store string) {
	var in []string
	for i := range n {
		in = append(in, zones[i%len(zones)])
	}
	w.newGatewaysIn(in, store)
}

// newGatewaysIn makes the settings of a gateway for each of some zones. The address of the store may be
// empty, if it is set for each.
func (w *world) newGatewaysIn(zones []string, store string) {
	var seeds []string
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", w.net, i+1), zone: zone, store: store, first: true}
		g.settings = filepath.Join(w.dir, g.name+".json")
		w.gateways = append(w.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(g.ip+":8748"))
		}
	}
	for _, g := range w.gateways {
		g.seeds = strings.Join(seeds, ", ")
		w.writeSettings(g)
	}
}

func (w *world) writeSettings(g *gateway) {
	text := filled(settingsText, "NODE", g.name, "IP", g.ip, "ZONE", g.zone, "SEEDS", g.seeds, "STORE", g.store, "FIRST", g.first,
		"REGION", regions[g.zone], "ZONES", zoneTable(w.gateways))
	if !json.Valid([]byte(text)) {
		panic("settings: " + text)
	}
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts a gateway with the command of the deploy file.
func (w *world) start(g *gateway) error {
	out, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/bridgehoist-gateway", "-metrics-port", "7210")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsVariable + "=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.ended = make(chan struct{})
	if err := g.cmd.Start(); err != nil {
		return err
	}
	go func() {
		err := g.cmd.Wait()
		w.logf("%s has ended: %v", g.name, err)
		close(g.ended)
		_ = out.Close()
	}()
	return nil
}

func (w *world) startAll() error {
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !w.ready(g, 15*time.Second) {
			return errCantRun
		}
		w.logf("%s is ready", g.name)
	}
	return nil
}

func (w *world) ready(g *gateway, within time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + g.readiness() + platform.ReadinessPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (w *world) signal(g *gateway, s syscall.Signal) {
	w.logf("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// end ends all processes and writes the record.
func (w *world) end(record string) {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.ended
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = os.WriteFile(record, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// id makes an id that is used once.
func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	return fmt.Sprintf("%08x%08x", w.rand.Uint32(), w.serial)
}

type route struct {
	name, prefix, kind, service         string
	timeout, aim, priority, maxAttempts int
	resume                              bool
	// homes are the regions in which it may be served; all if there are none.
	homes []string
}

func (r route) text() string {
	return filled(routeText, "NAME", r.name, "PREFIX", r.prefix, "TYPE", r.kind, "TIMEOUT", r.timeout, "AIM", r.aim, "PRIORITY", r.priority,
		"SERVICE", r.service, "ATTEMPTS", r.maxAttempts, "RESUME", r.resume, "REGIONS", quoted(r.homes))
}

func quoted(names []string) string {
	var out []string
	for _, n := range names {
		out = append(out, strconv.Quote(n))
	}
	return strings.Join(out, ", ")
}

// configuration writes one; tenants maps names to keys.
func configuration(version, slots int, moves bool, tenants map[string]string, routes ...route) []byte {
	var rs, ts []string
	for _, r := range routes {
		rs = append(rs, r.text())
	}
	for name, key := range tenants {
		ts = append(ts, filled(tenantText, "NAME", name, "KEYS", strconv.Quote(key)))
	}
	text := filled(configurationText, "VERSION", version, "ROUTES", strings.Join(rs, ","), "SLOTS", slots, "MOVES", moves, "TENANTS", strings.Join(ts, ","))
	if !json.Valid([]byte(text)) {
		panic("configuration: " + text)
	}
	return []byte(text)
}
