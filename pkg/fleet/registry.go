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

// Record is the published record of one endpoint, with its content unchanged, or a record by
// which operators close a data centre.
type Record struct {
	ID string `json:"id"`
	// ClosedDataCenter is the data centre whose endpoints must not get requests while the record
	// exists. Exactly one of ID and ClosedDataCenter is set.
	ClosedDataCenter string `json:"closes,omitempty"`
	// Revision is the revision number of the record's last change, in the epoch of the registry.
	Revision uint64          `json:"revision"`
	Content  json.RawMessage `json:"content"`
	// Deleted marks a change that deletes the record.
	Deleted bool `json:"deleted,omitempty"`
}

// recordKey identifies a record.
type recordKey struct{ id, closedDataCenter string }

func (r Record) key() recordKey { return recordKey{r.ID, r.ClosedDataCenter} }

func compareKeys(a, b recordKey) int {
	return cmp.Or(strings.Compare(a.id, b.id), strings.Compare(a.closedDataCenter, b.closedDataCenter))
}

// Registry is a replica of the published endpoint records as of a revision. Replicas that have
// applied the same changes are equal, whether they were read from the platform or copied from a
// peer. A list of a later epoch replaces all records of earlier epochs. The caller serialises
// calls.
type Registry struct {
	revision revision.ID
	records  map[recordKey]Record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[recordKey]Record{}} }

// Revision returns the revision of the registry.
func (r *Registry) Revision() revision.ID { return r.revision }

// Apply applies changes up to a revision, ordered by their own revisions, and reports whether any
// was new. Changes of an epoch other than the registry's are ignored, since revision numbers are
// comparable only within an epoch.
func (r *Registry) Apply(asOf revision.ID, changes []Record) bool {
	if asOf.Epoch() != r.revision.Epoch() {
		return false
	}
	changed := false
	for _, c := range changes {
		if c.Revision <= r.revision.Number() {
			continue
		}
		r.revision = r.revision.WithNumber(c.Revision)
		changed = true
		if c.Deleted {
			delete(r.records, c.key())
		} else {
			r.records[c.key()] = c
		}
	}
	return changed
}

// Replace replaces the records by a full list as of a revision, unless the registry is newer. It
// reports whether it did. A list of the same epoch with the same records changes nothing, not
// even the revision; the first list of a later epoch is always taken.
func (r *Registry) Replace(list []Record, asOf revision.ID) bool {
	if asOf < r.revision {
		return false
	}
	records := make(map[recordKey]Record, len(list))
	newest := asOf.WithNumber(0)
	for _, rec := range list {
		records[rec.key()] = rec
		newest = max(newest, asOf.WithNumber(rec.Revision))
	}
	if asOf.Epoch() == r.revision.Epoch() && maps.EqualFunc(records, r.records, equalRecords) {
		return false
	}
	// The first list gets the revision of its newest record, so that readers that start at
	// different times agree on it. Later lists may lack deleted records, whose deletions have no
	// revision in the list, so these lists get their own revision.
	if len(r.records) > 0 || newest.Number() == 0 {
		newest = asOf
	}
	r.records = records
	r.revision = max(min(newest, asOf), r.revision)
	return true
}

// equalRecords reports whether two records of one epoch are equal. It compares the contents too:
// a stale read can return records of the previous era, in which the same revision numbers can
// belong to other changes.
func equalRecords(a, b Record) bool {
	return a.Revision == b.Revision && bytes.Equal(a.Content, b.Content)
}

// Encode encodes the registry for peers. Equal registries encode to equal bytes.
func (r *Registry) Encode() ([]byte, error) {
	list := make([]Record, 0, len(r.records))
	for _, key := range slices.SortedFunc(maps.Keys(r.records), compareKeys) {
		list = append(list, r.records[key])
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "registry")
}

// Adopt replaces the registry by a peer's encoded one as of a revision, if that is newer.
func (r *Registry) Adopt(data []byte, asOf revision.ID) error {
	if asOf <= r.revision {
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
	r.revision = asOf
	return nil
}

// DecodeRecords decodes the output of Registry.Encode.
func DecodeRecords(data []byte) ([]Record, error) {
	var list []Record
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "registry")
	}
	return list, nil
}

// UnknownIncarnation is the incarnation of an endpoint whose record has no start time.
const UnknownIncarnation uint64 = 1

// ErrMissingIncarnation is the error of a record without an incarnation whose target has more
// endpoints with one than without.
var ErrMissingIncarnation = errors.New("fleet: the incarnation is missing, while most endpoints of the target have one")

// BadRecord is a record that doesn't yield an endpoint, with the reason.
type BadRecord struct {
	ID  string
	Err error
}

// FromRecords builds a list of endpoints, without VMs and workspaces. Records that can't be
// parsed are excluded, and so are records detectably written by someone other than the
// endpoint, see excludeMissingIncarnations.
//
// Two records can have the same address: an address can be reassigned soon after an endpoint
// has terminated. Neither record is excluded, since a record doesn't prove which endpoint is at
// the address, and a forged record could claim the address of a valid one. Each request names
// the endpoint that it is for. A request for the endpoint that is no longer at the address costs
// an attempt that provably hasn't run, and shows that this endpoint has terminated.
func FromRecords(records []Record, parse func(id string, content []byte) (Endpoint, error)) (*List, []BadRecord) {
	endpoints := make([]Endpoint, 0, len(records))
	var bad []BadRecord
	closed := map[string]bool{}
	for _, rec := range records {
		if rec.ClosedDataCenter != "" {
			closed[rec.ClosedDataCenter] = true
			continue
		}
		e, err := parse(rec.ID, rec.Content)
		if err != nil {
			bad = append(bad, BadRecord{rec.ID, err})
			continue
		}
		endpoints = append(endpoints, e)
	}
	endpoints, excluded := excludeMissingIncarnations(endpoints)
	bad = append(bad, excluded...)
	l := &List{Endpoints: endpoints, badRecords: bad, closedDataCenters: closed, endpointIndex: make(map[string]int, len(endpoints)), workspaceByKey: map[string]string{}}
	for i, e := range endpoints {
		l.endpointIndex[e.ID] = i
	}
	return l, bad
}

// Closed reports whether operators have closed a data centre: its endpoints must not get
// requests.
func (l *List) Closed(dataCenter string) bool { return l.closedDataCenters[dataCenter] }

// ClosedDataCenters returns the closed data centres, sorted by name.
func (l *List) ClosedDataCenters() []string { return slices.Sorted(maps.Keys(l.closedDataCenters)) }

// WithClosed returns a copy of the list with its closed data centres replaced.
func (l *List) WithClosed(dataCenters []string) *List {
	copied := *l
	copied.closedDataCenters = make(map[string]bool, len(dataCenters))
	for _, name := range dataCenters {
		copied.closedDataCenters[name] = true
	}
	return &copied
}

// BadRecords returns the records that FromRecords excluded.
func (l *List) BadRecords() []BadRecord { return l.badRecords }

// excludeMissingIncarnations excludes the endpoints without an incarnation if their target has
// more endpoints with one.
//
// Whether endpoints publish an incarnation depends on the platform, so either all endpoints of a
// target do or none does. A single record by another writer therefore can't exclude valid
// endpoints. If none of them has an incarnation, a foreign record with one is at most half of the
// target's records, which is no majority. If all have one, the rule doesn't apply to them. A
// foreign record without an incarnation isn't detected if the target has only one valid endpoint.
func excludeMissingIncarnations(endpoints []Endpoint) (included []Endpoint, excluded []BadRecord) {
	missing, known := map[string]int{}, map[string]int{}
	for _, e := range endpoints {
		if len(e.Targets) == 0 {
			continue
		}
		if e.Incarnation == UnknownIncarnation {
			missing[e.Targets[0]]++
		} else {
			known[e.Targets[0]]++
		}
	}
	if len(missing) == 0 || len(known) == 0 {
		return endpoints, nil
	}
	included = endpoints[:0]
	for _, e := range endpoints {
		if e.Incarnation == UnknownIncarnation && len(e.Targets) > 0 && known[e.Targets[0]] > missing[e.Targets[0]] {
			excluded = append(excluded, BadRecord{e.ID, ErrMissingIncarnation})
			continue
		}
		included = append(included, e)
	}
	return included, excluded
}

// WithEndpoints returns a copy of the list with its endpoints replaced.
func (l *List) WithEndpoints(endpoints []Endpoint) *List {
	copied := *l
	copied.Endpoints = endpoints
	copied.endpointIndex = make(map[string]int, len(endpoints))
	for i, e := range endpoints {
		copied.endpointIndex[e.ID] = i
	}
	return &copied
}
