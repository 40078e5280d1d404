package table

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Route selects requests by host and path prefix. Of several matching rows, the one
// with the longest prefix applies.
type Route struct {
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
}

// Share is a target and its part of a row's requests.
type Share struct {
	Target string
	// Weight is relative to the weights of the row's other shares.
	Weight int
}

// Workspace is a customer of the system, with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Rank orders the workspaces; a lower rank takes precedence.
	Rank int
	// Regions restricts the workspace's requests to endpoints of these regions; empty allows all.
	Regions []string
}

// Service holds the operators' settings for the endpoints of a target.
type Service struct {
	Target string
	// MaxConnections limits the connections to one endpoint, over all entries.
	MaxConnections int
	// ColdPeriod is how long an endpoint stays cold after a start, or when it becomes cold at
	// another time. ColdRequestsPerSecond is the rate that a cold endpoint can serve, over all
	// entries; zero is no limit.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model servers of a target.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CapacityTokens is the KV cache size of one engine, in tokens.
	CapacityTokens int
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int
	// CanMove is set if engines can copy running generations to each other.
	CanMove bool
	// CanBackup is set if engines can store backup copies of each other's generations.
	CanBackup bool
	// KVBytesPerToken and LinkBitsPerSecond determine how long a copy of a generation takes.
	KVBytesPerToken   float64
	LinkBitsPerSecond float64
}

// Options holds the parts of a table other than its rows.
type Options struct {
	Workspaces []Workspace
	Services   []Service
}

type apiKeyDigest [sha256.Size]byte

// New builds and validates a table from rows of a format other than CSV. The
// error, if any, is of type Findings.
func New(file string, rows []Row, o Options) (*Table, error) {
	p := parser{file: file, table: &Table{rowByKey: map[RowKey]int{}}}
	for _, row := range rows {
		p.addRow(row)
	}
	p.addWorkspaces(o.Workspaces)
	p.addServices(o.Services)
	p.table.indexRoutes()
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.table, nil
}

func (p *parser) addRow(row Row) {
	key := RowKey{row.Workspace, row.Kind}
	if first, duplicate := p.table.rowByKey[key]; duplicate {
		p.addFinding(row.Line, "kind", "%q is also the kind of line %d", row.Kind, p.table.rows[first].Line)
		return
	}
	if row.Timeout <= 0 || row.Timeout > maxTimeout {
		p.addFinding(row.Line, "timeout", "%v is not within 0 (excluded) to %v", row.Timeout, maxTimeout)
	}
	if min(row.Objective, row.MaxGap) < 0 || max(row.Objective, row.MaxGap) > maxTimeout {
		p.addFinding(row.Line, "objective", "%v and %v between events are not within 0 to %v", row.Objective, row.MaxGap, maxTimeout)
	}
	if row.MaxAttempts < 0 {
		p.addFinding(row.Line, "max_attempts", "%d is below 0", row.MaxAttempts)
	}
	for _, s := range row.Shares {
		if s.Target == "" || s.Weight < 0 || s.Weight > maxWeight {
			p.addFinding(row.Line, "shares", "%q with weight %d, within 0 to %d", s.Target, s.Weight, maxWeight)
		}
	}
	if row.Target == "" && len(row.Shares) == 0 {
		p.addFinding(row.Line, "target", "empty")
	}
	if !strings.HasPrefix(row.Route.PathPrefix, "/") || !strings.HasSuffix(row.Route.PathPrefix, "/") {
		p.addFinding(row.Line, "path_prefix", "%q does not begin and end with a slash", row.Route.PathPrefix)
	}
	p.table.rowByKey[key] = len(p.table.rows)
	p.table.rows = append(p.table.rows, row)
}

func (p *parser) addWorkspaces(workspaces []Workspace) {
	p.table.workspaces = map[string]Workspace{}
	p.table.workspaceByKey = map[apiKeyDigest]string{}
	for i, w := range workspaces {
		if w.Name == "" {
			p.addFinding(i+1, "workspace", "empty")
			continue
		}
		p.table.workspaces[w.Name] = w
		for _, k := range w.Keys {
			if k == "" {
				continue // A request without a key must not match a workspace.
			}
			digest := sha256.Sum256([]byte(k))
			if owner, duplicate := p.table.workspaceByKey[digest]; duplicate && owner != w.Name {
				p.addFinding(i+1, "workspace", "%q has a key that %q has too", w.Name, owner)
			}
			p.table.workspaceByKey[digest] = w.Name
		}
	}
}

func (p *parser) addServices(services []Service) {
	p.table.services = map[string]Service{}
	for i, s := range services {
		if s.Target == "" {
			p.addFinding(i+1, "target", "empty")
			continue
		}
		if s.MaxConnections < 0 || !s.Engine.valid() {
			p.addFinding(i+1, "target", "%q has a number below 0, or one past all bounds", s.Target)
		}
		p.table.services[s.Target] = s
	}
}

// maxCapacityTokens is the upper limit for Engine.CapacityTokens.
const maxCapacityTokens = 1 << 40

// valid reports whether an engine's numbers are within their limits. A nil engine is
// valid.
func (e *Engine) valid() bool {
	if e == nil {
		return true
	}
	return e.Slots >= 0 && e.Slots <= maxCount && e.CapacityTokens >= 0 && e.CapacityTokens <= maxCapacityTokens &&
		e.TokensPerEvent >= 0 && e.TokensPerEvent <= maxCount && e.KVBytesPerToken >= 0 && e.LinkBitsPerSecond >= 0
}

func (t *Table) indexRoutes() {
	t.rowsByHost = map[string][]int{}
	for i, row := range t.rows {
		host := strings.ToLower(row.Route.Host)
		t.rowsByHost[host] = append(t.rowsByHost[host], i)
	}
	for _, rows := range t.rowsByHost {
		slices.SortFunc(rows, func(a, b int) int {
			return cmp.Compare(len(t.rows[b].Route.PathPrefix), len(t.rows[a].Route.PathPrefix))
		})
	}
}

// MatchRoute returns the row for a host and a path: among the rows of the host, the
// one with the longest matching path prefix. The host is case-insensitive.
func (t *Table) MatchRoute(host, path string) (Row, bool) {
	for _, i := range t.rowsByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.rows[i].Route.PathPrefix) {
			return t.rows[i], true
		}
	}
	return Row{}, false
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := t.workspaceByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return t.workspaces[name], true
}

// HasWorkspaces reports whether the table has workspaces; requests then need an API key.
func (t *Table) HasWorkspaces() bool { return len(t.workspaces) > 0 }

// Service returns the service settings of a target.
func (t *Table) Service(target string) (Service, bool) {
	s, ok := t.services[target]
	return s, ok
}

// HasTarget reports whether a service, a row or a share names a target.
func (t *Table) HasTarget(target string) bool {
	if _, ok := t.services[target]; ok {
		return true
	}
	return slices.ContainsFunc(t.rows, func(r Row) bool {
		return r.Target == target || slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Target == target })
	})
}

// PickTarget returns the row with the target of one of its shares, chosen in
// proportion to their weights; random is a number from 0 to below 1. Without
// shares, or if all weights are zero, the target stays.
func (r Row) PickTarget(random float64) Row {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			r.Target = s.Target
			return r
		}
	}
	return r
}

// String returns the host and path prefix, for logs.
func (r Route) String() string { return r.Host + r.PathPrefix }
