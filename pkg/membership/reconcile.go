package membership

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// fullScopeProbability is the probability that an exchange within the data centre covers all nodes.
const fullScopeProbability = 0.05

// payloadChangesPerStep is the number of payload changes after which a record is
// sent to other data centres too. Payload is what only the own data centre needs;
// see sameCore. A version is a multiple of payloadChangesPerStep plus the payload
// changes since; a change of the core raises it to the next multiple.
const payloadChangesPerStep = 16

// sameCore reports whether two records of one node have the same core, which
// other data centres need at once: state, inherited incarnations, leaves and
// limits. The rest is payload: memory utilization and usage.
func sameCore(a, b *peerv1.NodeRecord) bool {
	return a.GetState() == b.GetState() &&
		slices.EqualFunc(a.GetInherited(), b.GetInherited(), bytes.Equal) &&
		slices.EqualFunc(a.GetLeaves(), b.GetLeaves(), func(x, y *peerv1.Leave) bool { return proto.Equal(x, y) }) &&
		slices.EqualFunc(a.GetLimits(), b.GetLimits(), func(x, y *peerv1.EndpointLimit) bool { return proto.Equal(x, y) })
}

// scopedVersion returns the version by which an exchange of this scope compares
// records of the node of r. For nodes of other data centres it rises with every
// payloadChangesPerStep changes of the payload instead of each, except in small
// fleets.
func (v *View) scopedVersion(r *peerv1.NodeRecord, version uint64, scope Scope) uint64 {
	if scope != "" || r.GetDataCenter() == v.cfg.DataCenter || v.isSmallFleet() {
		return version
	}
	return version / payloadChangesPerStep
}

// Scope is the set of nodes that an exchange covers: those of the data centre that
// it names, or all if it is empty.
type Scope string

func (s Scope) includes(r *peerv1.NodeRecord) bool { return s == "" || r.GetDataCenter() == string(s) }

func (v *View) isSmallFleet() bool { return len(v.nodes) < v.cfg.SmallFleetSize }

// ScopeWith returns the scope for an exchange with a peer.
func (v *View) ScopeWith(c Contact) Scope {
	if c.DataCenter != v.cfg.DataCenter || v.isSmallFleet() || v.cfg.Random() < fullScopeProbability {
		return ""
	}
	return Scope(v.cfg.DataCenter)
}

// Digests returns the digests of the local node and, after it, of all nodes within the
// scope that are not dead.
func (v *View) Digests(now time.Time, scope Scope) *peerv1.Digests {
	d := &peerv1.Digests{}
	appendDigest(d, v.selfID, v.heartbeat, v.self.GetVersion())
	for _, n := range v.nodes {
		if scope.includes(n.record) && v.status(now, n) != Dead {
			appendDigest(d, n.id, n.heartbeat, n.record.GetVersion())
		}
	}
	return d
}

func appendDigest(d *peerv1.Digests, id NodeID, heartbeat, version uint64) {
	d.Nodes = append(d.Nodes, uint64(id))
	d.Heartbeats = append(d.Heartbeats, heartbeat)
	d.Versions = append(d.Versions, version)
}

// Response is the response to a peer's digests.
type Response struct {
	// Digests holds the digests of nodes whose heartbeat is higher locally.
	Digests *peerv1.Digests
	// Records holds the records that are newer locally.
	Records []*peerv1.NodeRecord
	// Wanted holds the IDs of nodes whose records are newer at the peer or unknown locally.
	Wanted []uint64
}

// nodeDigest holds the values for one node in a peer's digests.
type nodeDigest struct{ heartbeat, version uint64 }

// Respond compares a peer's digests with the local nodes of the same scope. Digests
// with lists of different lengths get an empty response.
func (v *View) Respond(now time.Time, peerDigests *peerv1.Digests, scope Scope) Response {
	response := Response{Digests: &peerv1.Digests{}}
	if len(peerDigests.GetHeartbeats()) != len(peerDigests.GetNodes()) || len(peerDigests.GetVersions()) != len(peerDigests.GetNodes()) {
		return response
	}
	byID := make(map[NodeID]nodeDigest, len(peerDigests.GetNodes()))
	for i, id := range peerDigests.GetNodes() {
		digest := nodeDigest{peerDigests.GetHeartbeats()[i], peerDigests.GetVersions()[i]}
		byID[NodeID(id)] = digest
		if v.needsRecord(NodeID(id), digest.version, scope) {
			response.Wanted = append(response.Wanted, id)
		}
	}
	v.appendNewer(&response, byID, v.selfID, v.heartbeat, v.self, scope)
	for _, n := range v.nodes {
		if scope.includes(n.record) && v.status(now, n) != Dead {
			v.appendNewer(&response, byID, n.id, n.heartbeat, n.record, scope)
		}
	}
	return response
}

// needsRecord reports whether a peer's version of a node's record is newer than
// the local one, or the node is unknown.
func (v *View) needsRecord(id NodeID, version uint64, scope Scope) bool {
	if id == v.selfID {
		return false
	}
	n := v.byID[id]
	if n == nil {
		return true
	}
	return v.scopedVersion(n.record, version, scope) > v.scopedVersion(n.record, n.record.GetVersion(), scope)
}

// appendNewer appends to response the digest of a node if its heartbeat is higher
// locally than in the peer's digests, and its record if that is newer.
func (v *View) appendNewer(response *Response, peerByID map[NodeID]nodeDigest, id NodeID, heartbeat uint64, r *peerv1.NodeRecord, scope Scope) {
	digest, ok := peerByID[id]
	if !ok || heartbeat > digest.heartbeat {
		appendDigest(response.Digests, id, heartbeat, r.GetVersion())
	}
	if !ok || v.scopedVersion(r, r.GetVersion(), scope) > v.scopedVersion(r, digest.version, scope) {
		response.Records = append(response.Records, r)
	}
}

// Records returns the records of the nodes with the given IDs; unknown IDs are
// skipped.
func (v *View) Records(ids []uint64) []*peerv1.NodeRecord {
	var records []*peerv1.NodeRecord
	for _, id := range ids {
		if NodeID(id) == v.selfID {
			records = append(records, v.self)
			continue
		}
		if n := v.byID[NodeID(id)]; n != nil {
			records = append(records, n.record)
		}
	}
	return records
}
