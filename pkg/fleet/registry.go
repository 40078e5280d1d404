package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Record is what the platform publishes of one endpoint, as it was published.
type Record struct {
	ID string `json:"id"`
	// Revision of the record's last change.
	Revision uint64          `json:"revision"`
	Content  json.RawMessage `json:"content"`
	// Deleted marks, in a change, that the record is gone.
	Deleted bool `json:"-"`
}

// Registry keeps the published records of endpoints up to a revision. Readers
// that have applied the same changes hold the same registry, whether they read
// the platform themselves or took the registry of a peer. The caller serialises
// calls.
type Registry struct {
	revision uint64
	records  map[string]Record
}

// NewRegistry makes a registry that knows nothing.
func NewRegistry() *Registry { return &Registry{records: map[string]Record{}} }

// Revision is that of the newest change that has been applied.
func (r *Registry) Revision() uint64 { return r.revision }

// Apply takes changes in the order of their revisions, and reports whether one
// of them was news.
func (r *Registry) Apply(changes []Record) bool {
	news := false
	for _, c := range changes {
		if c.Revision <= r.revision {
			continue
		}
		r.revision = c.Revision
		news = true
		if c.Deleted {
			delete(r.records, c.ID)
		} else {
			r.records[c.ID] = c
		}
	}
	return news
}

// Replace takes a full list as of a revision, unless something newer is known.
// It reports whether the records changed; a list that changes nothing leaves
// the revision as it is.
func (r *Registry) Replace(list []Record, revision uint64) bool {
	if revision < r.revision {
		return false
	}
	next := make(map[string]Record, len(list))
	newest := uint64(0)
	for _, rec := range list {
		next[rec.ID] = rec
		newest = max(newest, rec.Revision)
	}
	if maps.EqualFunc(next, r.records, func(a, b Record) bool { return a.Revision == b.Revision }) {
		return false
	}
	// A first list is known by its newest record, so that readers that start at
	// different times agree. Otherwise records may be gone, which leaves no revision
	// in the list, so the list's own counts.
	if len(r.records) > 0 || newest == 0 {
		newest = revision
	}
	r.records = next
	r.revision = max(min(newest, revision), r.revision)
	return true
}

// Encode writes the registry for peers. Equal registries encode to equal bytes.
func (r *Registry) Encode() ([]byte, error) {
	list := make([]Record, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		list = append(list, r.records[id])
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "registry")
}

// Adopt takes the encoded registry of a peer as of a revision.
func (r *Registry) Adopt(data []byte, revision uint64) error {
	if revision <= r.revision {
		return nil
	}
	list, err := DecodeRecords(data)
	if err != nil {
		return err
	}
	r.records = make(map[string]Record, len(list))
	for _, rec := range list {
		r.records[rec.ID] = rec
	}
	r.revision = revision
	return nil
}

// DecodeRecords reads what Encode wrote.
func DecodeRecords(data []byte) ([]Record, error) {
	var list []Record
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "registry")
	}
	return list, nil
}

// FromRecords makes a list of endpoints, without VMs and workspaces. Records
// that can't be read are left out and reported as findings.
func FromRecords(records []Record, parse func(id string, content []byte) (Endpoint, error)) (*List, Findings) {
	l := &List{endpoints: map[string]int{}, byKey: map[string]string{}}
	var findings Findings
	for _, rec := range records {
		e, err := parse(rec.ID, rec.Content)
		if err != nil {
			findings = append(findings, err.Error())
			continue
		}
		l.endpoints[e.ID] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, e)
	}
	return l, findings
}

// WithEndpoints returns a copy of the list with other endpoints.
func (l *List) WithEndpoints(endpoints []Endpoint) *List {
	out := *l
	out.Endpoints = endpoints
	out.endpoints = make(map[string]int, len(endpoints))
	for i, e := range endpoints {
		out.endpoints[e.ID] = i
	}
	return &out
}
