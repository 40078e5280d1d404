package membership

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// allShare is the share of exchanges within a data centre that are of all nodes.
const allShare = 0.05

// payloadSteps is how many changes of mere payload go by before the record is
// also passed to other data centres. A version is a multiple of it plus the
// payload changes since.
const payloadSteps = 16

// sameCore reports whether two records differ only in what matters within the
// data centre: fills and usage.
func sameCore(a, b *peerv1.NodeRecord) bool {
	return a.GetState() == b.GetState() &&
		slices.EqualFunc(a.GetInherited(), b.GetInherited(), bytes.Equal) &&
		slices.EqualFunc(a.GetLeaves(), b.GetLeaves(), func(x, y *peerv1.Leave) bool { return proto.Equal(x, y) }) &&
		slices.EqualFunc(a.GetLimits(), b.GetLimits(), func(x, y *peerv1.EndpointLimit) bool { return proto.Equal(x, y) })
}

// rankVersion gives the version of a record by which an exchange of this scope goes.
// With nodes of other data centres, changes of mere payload count only now and
// then.
func (v *View) rankVersion(r *peerv1.NodeRecord, version uint64, scope Scope) uint64 {
	if scope != "" || r.GetDataCenter() == v.cfg.DataCenter || v.small() {
		return version
	}
	return version / payloadSteps
}

// Scope says which nodes an exchange is about: those of one data centre, or
// all if it is empty.
type Scope string

func (s Scope) has(r *peerv1.NodeRecord) bool { return s == "" || r.GetDataCenter() == string(s) }

func (v *View) small() bool { return len(v.nodes) < v.cfg.SmallView }

// ScopeWith chooses the scope of an exchange with a peer.
func (v *View) ScopeWith(c Contact) Scope {
	if c.DataCenter != v.cfg.DataCenter || v.small() || v.cfg.Chance() < allShare {
		return ""
	}
	return Scope(v.cfg.DataCenter)
}

// Digests names all nodes of a scope that aren't dead, the owner first.
func (v *View) Digests(now time.Time, scope Scope) *peerv1.Digests {
	d := &peerv1.Digests{}
	appendDigest(d, v.selfID, v.heartbeat, v.self.GetVersion())
	for _, n := range v.nodes {
		if scope.has(n.record) && v.status(now, n) != Dead {
			appendDigest(d, n.id, n.heartbeat, n.record.GetVersion())
		}
	}
	return d
}

func appendDigest(d *peerv1.Digests, id ID, heartbeat, version uint64) {
	d.Nodes = append(d.Nodes, uint64(id))
	d.Heartbeats = append(d.Heartbeats, heartbeat)
	d.Versions = append(d.Versions, version)
}

// Answer is what a peer's digests are answered with.
type Answer struct {
	// Digests of the nodes whose heartbeat is newer here.
	Digests *peerv1.Digests
	// Records that are newer here.
	Records []*peerv1.NodeRecord
	// Wanted are nodes that are newer there.
	Wanted []uint64
}

type known struct{ heartbeat, version uint64 }

// Answer compares a peer's digests with what is known within the same scope.
func (v *View) Answer(now time.Time, theirs *peerv1.Digests, scope Scope) Answer {
	out := Answer{Digests: &peerv1.Digests{}}
	if len(theirs.GetHeartbeats()) != len(theirs.GetNodes()) || len(theirs.GetVersions()) != len(theirs.GetNodes()) {
		return out
	}
	byID := make(map[ID]known, len(theirs.GetNodes()))
	for i, id := range theirs.GetNodes() {
		k := known{theirs.GetHeartbeats()[i], theirs.GetVersions()[i]}
		byID[ID(id)] = k
		if v.wants(ID(id), k.version, scope) {
			out.Wanted = append(out.Wanted, id)
		}
	}
	v.compare(&out, byID, v.selfID, v.heartbeat, v.self, scope)
	for _, n := range v.nodes {
		if scope.has(n.record) && v.status(now, n) != Dead {
			v.compare(&out, byID, n.id, n.heartbeat, n.record, scope)
		}
	}
	return out
}

func (v *View) wants(id ID, version uint64, scope Scope) bool {
	if id == v.selfID {
		return false
	}
	n := v.byID[id]
	if n == nil {
		return true
	}
	return v.rankVersion(n.record, version, scope) > v.rankVersion(n.record, n.record.GetVersion(), scope)
}

func (v *View) compare(out *Answer, theirs map[ID]known, id ID, heartbeat uint64, r *peerv1.NodeRecord, scope Scope) {
	k, ok := theirs[id]
	if !ok || heartbeat > k.heartbeat {
		appendDigest(out.Digests, id, heartbeat, r.GetVersion())
	}
	if !ok || v.rankVersion(r, r.GetVersion(), scope) > v.rankVersion(r, k.version, scope) {
		out.Records = append(out.Records, r)
	}
}

// Records returns the records of the named nodes.
func (v *View) Records(ids []uint64) []*peerv1.NodeRecord {
	var out []*peerv1.NodeRecord
	for _, id := range ids {
		if ID(id) == v.selfID {
			out = append(out, v.self)
			continue
		}
		if n := v.byID[ID(id)]; n != nil {
			out = append(out, n.record)
		}
	}
	return out
}
