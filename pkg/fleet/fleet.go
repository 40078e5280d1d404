// Package fleet reads the published list of VMs, endpoints and workspaces.
//
// The list is one JSON value at the platform. It is eventually consistent: it can
// still contain endpoints that have terminated. Leaves of endpoints are therefore
// recorded separately, in package drain, so that a stale list can't return an
// endpoint to service.
//
// An endpoint can restart under the same id. All state about it belongs to one
// Instance of it, and StaleRecordFilter prevents the list from reverting to an
// earlier instance. EndpointRetention retains endpoints whose records lapse during
// an outage of the platform's store, and RestoreReconciler corrects lists read
// from a store that was restored from an older copy.
package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state of a VM or endpoint on the list.
type State string

// States of VMs and endpoints.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the role of a VM of the system.
type Role string

// RoleEntry is the only role: every VM of the system runs the same binaries, and
// no VM is dedicated to control.
const RoleEntry Role = "entry"

// EndpointType determines the protocol that an endpoint serves.
type EndpointType string

// Types of endpoints.
const (
	Engine  EndpointType = "engine"
	Service EndpointType = "service"
)

// VM is one machine of the system.
type VM struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCenter string `json:"data_center"`
	// Peer is the IP and port of the peer listener.
	Peer  string `json:"peer"`
	State State  `json:"state"`
}

// Endpoint is one engine or plain service.
type Endpoint struct {
	ID         string       `json:"id"`
	Type       EndpointType `json:"type"`
	DataCenter string       `json:"data_center"`
	// Address is the IP and port of its HTTP listener.
	Address string `json:"address"`
	// Targets are the models, or the service, that it serves.
	Targets []string `json:"targets"`
	// Incarnation identifies the instance of the endpoint. It increases with each start, unless the
	// endpoint's clock was set back. See Instance.HasIncarnation for unknown ones.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	// CapacityTokens is the size of the KV cache in tokens; zero for plain services.
	CapacityTokens int `json:"capacity_tokens"`
	// MaxRunning is the maximum number of concurrently running requests.
	MaxRunning int `json:"max_running"`
	// ChecksFencing is set if it rejects orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// Desired are the models that the operators want to be loaded.
	Desired []string `json:"desired,omitempty"`
	// TokensPerEvent is the number of tokens that one event of a stream carries; zero if unknown.
	TokensPerEvent int `json:"-"`
	// WarmUpRemaining is the remaining warm-up time when the endpoint wrote its record.
	WarmUpRemaining time.Duration `json:"-"`
	// ColdLimit limits the requests sent to it while it is cold.
	ColdLimit ColdLimit `json:"-"`
	// Region is the region of its data centre; empty if unknown.
	Region string `json:"-"`
	// Closed is set if operators have closed its data centre: it must not get requests.
	Closed bool `json:"-"`
}

// ColdLimit is the request rate that endpoints of a target can take while they are cold, after a
// start or at any other time. The zero value is no limit.
type ColdLimit struct {
	// Duration is how long they are cold.
	Duration time.Duration
	// RequestsPerSecond is the limit of one endpoint, over all entries.
	RequestsPerSecond float64
}

// Supersedes reports whether the list shows that an instance of an endpoint has terminated: it
// contains another instance of the endpoint or, in its place, another endpoint with its address.
// An endpoint that is only missing from the list may still be running.
func (l *List) Supersedes(e Endpoint) bool {
	if current, listed := l.Endpoint(e.ID); listed {
		return current.Instance() != e.Instance()
	}
	return slices.ContainsFunc(l.Endpoints, func(other Endpoint) bool { return other.Address == e.Address })
}

// Workspace is one customer, with the SHA-256 digests of its API keys in hexadecimal.
type Workspace struct {
	Name       string   `json:"name"`
	KeysSHA256 []string `json:"keys_sha256"`
}

// List is the published fleet list.
type List struct {
	VMs        []VM        `json:"vms"`
	Endpoints  []Endpoint  `json:"endpoints"`
	Workspaces []Workspace `json:"workspaces"`

	endpointIndex     map[string]int
	workspaceByKey    map[string]string
	badRecords        []BadRecord
	closedDataCenters map[string]bool
}

// Findings are the problems found in a list; it is an error if not empty.
type Findings []string

// Error returns the findings, one per line.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse decodes and validates a list. The error, if any, is of type Findings.
func Parse(name string, data []byte) (*List, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	l := &List{}
	if err := dec.Decode(l); err != nil {
		return nil, Findings{fmt.Sprintf("%s: %v", name, err)}
	}
	c := checker{name: name}
	c.list(l)
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return l, nil
}

// Endpoint returns the endpoint with an id.
func (l *List) Endpoint(id string) (Endpoint, bool) {
	i, ok := l.endpointIndex[id]
	if !ok {
		return Endpoint{}, false
	}
	return l.Endpoints[i], true
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (l *List) WorkspaceByKey(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := l.workspaceByKey[hex.EncodeToString(sum[:])]
	return name, ok
}

// Entries returns the entry VMs of the list, including those that are leaving.
func (l *List) Entries() []VM {
	var entries []VM
	for _, vm := range l.VMs {
		if vm.Role == RoleEntry {
			entries = append(entries, vm)
		}
	}
	return entries
}

type checker struct {
	name     string
	findings Findings
}

func (c *checker) add(path, format string, args ...any) {
	c.findings = append(c.findings, fmt.Sprintf("%s: %s: %s", c.name, path, fmt.Sprintf(format, args...)))
}

func (c *checker) list(l *List) {
	seen := map[string]bool{}
	for i, vm := range l.VMs {
		c.vm(fmt.Sprintf("vms[%d]", i), vm, seen)
	}
	l.endpointIndex = make(map[string]int, len(l.Endpoints))
	for i, e := range l.Endpoints {
		c.endpoint(fmt.Sprintf("endpoints[%d]", i), e, seen)
		l.endpointIndex[e.ID] = i
	}
	l.workspaceByKey = map[string]string{}
	for i, w := range l.Workspaces {
		c.workspace(fmt.Sprintf("workspaces[%d]", i), w, l.workspaceByKey)
	}
}

func (c *checker) id(path, id string, seen map[string]bool) {
	if id == "" {
		c.add(path, "id is empty")
	}
	if seen[id] {
		c.add(path, "id %q is used twice", id)
	}
	seen[id] = true
}

func (c *checker) address(path, field, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(path, "%s %q is not IP:port", field, v)
	}
}

func (c *checker) state(path string, s State) {
	if s != Live && s != Leaving {
		c.add(path, "state %q is neither %s nor %s", s, Live, Leaving)
	}
}

func (c *checker) vm(path string, vm VM, seen map[string]bool) {
	c.id(path, vm.ID, seen)
	c.address(path, "peer", vm.Peer)
	c.state(path, vm.State)
	if vm.Role != RoleEntry {
		c.add(path, "role %q is not %s", vm.Role, RoleEntry)
	}
	if vm.DataCenter == "" {
		c.add(path, "data_center is empty")
	}
}

func (c *checker) endpoint(path string, e Endpoint, seen map[string]bool) {
	c.id(path, e.ID, seen)
	c.address(path, "address", e.Address)
	c.state(path, e.State)
	if e.DataCenter == "" {
		c.add(path, "data_center is empty")
	}
	if e.Type != Engine && e.Type != Service {
		c.add(path, "type %q is neither %s nor %s", e.Type, Engine, Service)
	}
	if e.Type == Engine && e.CapacityTokens <= 0 {
		c.add(path, "capacity_tokens is not above 0")
	}
	if e.MaxRunning <= 0 {
		c.add(path, "max_running is not above 0")
	}
	if len(e.Targets) == 0 || slices.Contains(e.Targets, "") {
		c.add(path, "targets is empty or holds an empty name")
	}
}

func (c *checker) workspace(path string, w Workspace, byKey map[string]string) {
	if w.Name == "" {
		c.add(path, "name is empty")
	}
	for _, k := range w.KeysSHA256 {
		if raw, err := hex.DecodeString(k); err != nil || len(raw) != sha256.Size {
			c.add(path, "%q is not a SHA-256 digest in hexadecimal", k)
		}
		if other, used := byKey[strings.ToLower(k)]; used {
			c.add(path, "key digest is already used by %q", other)
		}
		byKey[strings.ToLower(k)] = w.Name
	}
}
