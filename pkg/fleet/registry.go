package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// Record is what the platform publishes of one endpoint, as it was published, or the
// operators' word that a data centre is closed.
type Record struct {
	ID string `json:"id"`
	// Closes names the data centre whose endpoints are to get no requests for as long as the
	// record is there; empty in records of endpoints, and the id is empty where it isn't.
	Closes string `json:"closes,omitempty"`
	// Revision of the record's last change, in the epoch of the registry.
	Revision uint64          `json:"revision"`
	Content  json.RawMessage `json:"content"`
	// Deleted marks, in a change, that the record is gone.
	Deleted bool `json:"deleted,omitempty"`
}

// recordKey tells records apart.
type recordKey struct{ id, closes string }

func (r Record) key() recordKey { return recordKey{r.ID, r.Closes} }

func compareKeys(a, b recordKey) int {
	return cmp.Or(strings.Compare(a.id, b.id), strings.Compare(a.closes, b.closes))
}

// Registry keeps the published records of endpoints up to a revision. Readers
// that have applied the same changes hold the same registry, whether they read
// the platform themselves or took the registry of a peer. A list of a later epoch replaces all
// that is known of earlier ones. The caller serialises calls.
type Registry struct {
	revision revision.ID
	records  map[recordKey]Record
}

// NewRegistry makes a registry that knows nothing.
func NewRegistry() *Registry { return &Registry{records: map[recordKey]Record{}} }

// Revision is that of the newest change that has been applied.
func (r *Registry) Revision() revision.ID { return r.revision }

// Apply takes changes up to a revision, in the order of their own, and reports whether one of
// them was news. Changes of another epoch than the registry's say nothing of what it holds.
func (r *Registry) Apply(upTo revision.ID, changes []Record) bool {
	if upTo.Epoch() != r.revision.Epoch() {
		return false
	}
	news := false
	for _, c := range changes {
		if c.Revision <= r.revision.Number() {
			continue
		}
		r.revision = r.revision.At(c.Revision)
		news = true
		if c.Deleted {
			delete(r.records, c.key())
		} else {
			r.records[c.key()] = c
		}
	}
	return news
}

// Replace takes a full list as of a revision, unless something newer is known.
// It reports whether the records changed or the list is the first of an era; another one that
// changes nothing leaves the revision as it is.
func (r *Registry) Replace(list []Record, at revision.ID) bool {
	if at < r.revision {
		return false
	}
	next := make(map[recordKey]Record, len(list))
	newest := at.At(0)
	for _, rec := range list {
		next[rec.key()] = rec
		newest = max(newest, at.At(rec.Revision))
	}
	if at.Epoch() == r.revision.Epoch() && maps.EqualFunc(next, r.records, sameRecord) {
		return false
	}
	// A first list is known by its newest record, so that readers that start at
	// different times agree. Otherwise records may be gone, which leaves no revision
	// in the list, so the list's own counts.
	if len(r.records) > 0 || newest.Number() == 0 {
		newest = at
	}
	r.records = next
	r.revision = max(min(newest, at), r.revision)
	return true
}

// sameRecord compares two records of one era. Contents are compared as well, since a list that
// may be stale can be of the era before.
func sameRecord(a, b Record) bool {
	return a.Revision == b.Revision && bytes.Equal(a.Content, b.Content)
}

// Encode writes the registry for peers. Equal registries encode to equal bytes.
func (r *Registry) Encode() ([]byte, error) {
	list := make([]Record, 0, len(r.records))
	for _, key := range slices.SortedFunc(maps.Keys(r.records), compareKeys) {
		list = append(list, r.records[key])
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "registry")
}

// Adopt takes the encoded registry of a peer as of a revision.
func (r *Registry) Adopt(data []byte, at revision.ID) error {
	if at <= r.revision {
		return nil
	}
	list, err := DecodeRecords(data)
	if err != nil {
		return err
	}
	r.records = make(map[recordKey]Record, len(list))
	for _, rec := range list {
		r.records[rec.key()] = rec
	}
	r.revision = at
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

// UntoldStart is the incarnation of an endpoint whose record doesn't tell its start.
const UntoldStart uint64 = 1

// ErrStartHidden says that a record doesn't tell the start of its endpoint although most
// of its target do.
var ErrStartHidden = errors.New("fleet: the start is missing, while most of the target tell theirs")

// BadRecord is a record that names no endpoint, and why.
type BadRecord struct {
	ID  string
	Err error
}

// FromRecords makes a list of endpoints, without VMs and workspaces. Records that can't
// be read are left out, and so are those by another writer, as far as that shows.
//
// Two records may hold one address: it may be another's soon after an endpoint has ended.
// Neither is left out. Nothing in a record proves which of the two endpoints is there, and
// a forged record could take the address of a good one. Each request names the endpoint
// that it is for, so the one that isn't there costs an attempt that is known not to have
// run, and is then known to be gone.
func FromRecords(records []Record, parse func(id string, content []byte) (Endpoint, error)) (*List, []BadRecord) {
	read := make([]Endpoint, 0, len(records))
	var bad []BadRecord
	closed := map[string]bool{}
	for _, rec := range records {
		if rec.Closes != "" {
			closed[rec.Closes] = true
			continue
		}
		e, err := parse(rec.ID, rec.Content)
		if err != nil {
			bad = append(bad, BadRecord{rec.ID, err})
			continue
		}
		read = append(read, e)
	}
	read, hidden := withoutHiddenStarts(read)
	bad = append(bad, hidden...)
	l := &List{Endpoints: read, bad: bad, closed: closed, endpoints: make(map[string]int, len(read)), byKey: map[string]string{}}
	for i, e := range read {
		l.endpoints[e.ID] = i
	}
	return l, bad
}

// Closed reports whether operators have closed a data centre: its endpoints are to get no
// requests.
func (l *List) Closed(dataCenter string) bool { return l.closed[dataCenter] }

// ClosedDataCenters lists those that are closed, by name.
func (l *List) ClosedDataCenters() []string { return slices.Sorted(maps.Keys(l.closed)) }

// WithClosed returns a copy of the list with other closed data centres.
func (l *List) WithClosed(dataCenters []string) *List {
	out := *l
	out.closed = make(map[string]bool, len(dataCenters))
	for _, name := range dataCenters {
		out.closed[name] = true
	}
	return &out
}

// Bad returns the records that name no endpoint, of a list made by FromRecords.
func (l *List) Bad() []BadRecord { return l.bad }

// withoutHiddenStarts leaves out the endpoints that don't tell their start while more
// than half of their target do.
//
// Whether endpoints tell it is a matter of the platform, so that those of a target all
// do or none does. A single record by another writer then changes nothing for them: if
// none tells, it is one of at least two, which isn't more than half; and if all tell, no
// rule concerns them. One that is alone with its target's only endpoint stays.
func withoutHiddenStarts(read []Endpoint) (kept []Endpoint, bad []BadRecord) {
	hide, tell := map[string]int{}, map[string]int{}
	for _, e := range read {
		if len(e.Targets) == 0 {
			continue
		}
		if e.Incarnation == UntoldStart {
			hide[e.Targets[0]]++
		} else {
			tell[e.Targets[0]]++
		}
	}
	if len(hide) == 0 || len(tell) == 0 {
		return read, nil
	}
	kept = read[:0]
	for _, e := range read {
		if e.Incarnation == UntoldStart && len(e.Targets) > 0 && tell[e.Targets[0]] > hide[e.Targets[0]] {
			bad = append(bad, BadRecord{e.ID, ErrStartHidden})
			continue
		}
		kept = append(kept, e)
	}
	return kept, bad
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
