// Package membership keeps each entry's view of the other entries.
//
// # Design
//
// Every entry owns one NodeRecord and raises its version with each heartbeat.
// Twice a second or so an entry picks a few peers of its own data centre and,
// more rarely, one of another, and reconciles with them: it sends digests of
// what it knows, takes the newer records in return, and pushes what the other
// wants. Nobody decides for others that a node is gone: each entry suspects a
// node whose record it has not seen move for SuspectAfter on its own clock,
// and calls it dead after DeadAfter.
//
//	          heard a higher version
//	      +------------------------------+
//	      v                              |
//	[alive] --no news SuspectAfter--> [suspect] --no news DeadAfter--> [dead] --ForgetAfter--> gone
//	   |  record says left                                               |
//	   +--------------------------> [left] --ForgetAfter--> gone         +-- heard --> [alive]
//
// A process restart on the same VM has a new random incarnation and a higher
// epoch. If a peer knows the VM under a higher epoch than ours (a wall clock
// was set back), we raise ours above it: no two clocks are ever compared for
// safety, only to order the incarnations of one VM.
//
// Records of other data centres are passed on whole but asked for rarely, so
// that the cost per node is bounded by the size of its own data centre. The
// package does no I/O: the daemon moves the messages. The caller serialises
// calls.
package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// Status is what this entry thinks of a node.
type Status int

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String names the status for status pages.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Config holds the settings. All durations are of the local monotonic clock.
type Config struct {
	VM          string
	DataCenter  string
	PeerAddress string
	Epoch       uint64
	Incarnation []byte
	// SuspectAfter without news makes a node suspect.
	SuspectAfter time.Duration
	// DeadAfter without news makes a node dead.
	DeadAfter time.Duration
	// ForgetAfter without news forgets a dead or left node.
	ForgetAfter time.Duration
	// RemoteFactor stretches the times for nodes of other data centres, which
	// are heard of more rarely.
	RemoteFactor int
	// Fanout is how many peers of the own data centre each round contacts.
	Fanout int
	// Chance, a number within 0 to 1, gives the next random number.
	Chance func() float64
}

// Default times; the intervals are of the heartbeat, which is 500 ms.
const (
	DefaultSuspectAfter = 4 * time.Second
	DefaultDeadAfter    = 12 * time.Second
	DefaultForgetAfter  = 10 * time.Minute
	DefaultRemoteFactor = 5
	DefaultFanout       = 2
)

// WithDefaults fills what is not set.
func (c Config) WithDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.DeadAfter = cmp.Or(c.DeadAfter, DefaultDeadAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.RemoteFactor = cmp.Or(c.RemoteFactor, DefaultRemoteFactor)
	c.Fanout = cmp.Or(c.Fanout, DefaultFanout)
	if c.Chance == nil {
		c.Chance = rand.Float64
	}
	return c
}

type node struct {
	record *peerv1.NodeRecord
	heard  time.Time
}

// Contact is a peer to reconcile with.
type Contact struct {
	VM         string
	DataCenter string
	Address    string
}

// Member is one line of the view.
type Member struct {
	Contact
	Status Status
	// Age is the time since the record last moved.
	Age    time.Duration
	Record *peerv1.NodeRecord
}

// View holds what one entry knows.
type View struct {
	cfg   Config
	self  *peerv1.NodeRecord
	nodes map[string]*node
	// seeds are the published entries that no record has come from yet.
	seeds map[string]Contact
}

// New makes a view that knows only its owner.
func New(cfg Config) *View {
	cfg = cfg.WithDefaults()
	return &View{
		cfg:   cfg,
		nodes: map[string]*node{},
		seeds: map[string]Contact{},
		self: &peerv1.NodeRecord{
			Vm:          cfg.VM,
			DataCenter:  cfg.DataCenter,
			PeerAddress: cfg.PeerAddress,
			Epoch:       cfg.Epoch,
			Incarnation: cfg.Incarnation,
			Version:     1,
			State:       peerv1.NodeState_NODE_STATE_LIVE,
		},
	}
}

// Self returns the owner's record; the caller must not change it.
func (v *View) Self() *peerv1.NodeRecord { return v.self }

// Seed replaces the published entries.
func (v *View) Seed(contacts []Contact) {
	clear(v.seeds)
	for _, c := range contacts {
		if c.VM != v.cfg.VM {
			v.seeds[c.VM] = c
		}
	}
}

// Seeds returns the published entries in the order of their names.
func (v *View) Seeds() []Contact {
	out := make([]Contact, 0, len(v.seeds))
	for _, c := range v.seeds {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Beat raises the owner's version after update has changed its payload.
func (v *View) Beat(update func(*peerv1.NodeRecord)) {
	next := proto.CloneOf(v.self)
	if update != nil {
		update(next)
	}
	next.Version++
	v.self = next
}

// Merge takes records from a peer and returns those that were news.
func (v *View) Merge(now time.Time, records []*peerv1.NodeRecord) []*peerv1.NodeRecord {
	var news []*peerv1.NodeRecord
	for _, r := range records {
		if r.GetVm() == "" {
			continue
		}
		if r.GetVm() == v.cfg.VM {
			v.refute(r)
			continue
		}
		if v.take(now, r) {
			news = append(news, r)
		}
	}
	return news
}

func (v *View) refute(r *peerv1.NodeRecord) {
	if bytes.Equal(r.GetIncarnation(), v.cfg.Incarnation) {
		return
	}
	if r.GetEpoch() < v.self.GetEpoch() {
		return
	}
	next := proto.CloneOf(v.self)
	next.Epoch = r.GetEpoch() + 1
	next.Version++
	v.self = next
}

func (v *View) take(now time.Time, r *peerv1.NodeRecord) bool {
	old := v.nodes[r.GetVm()]
	if old != nil && !newer(r, old.record.GetEpoch(), old.record.GetVersion()) {
		return false
	}
	v.nodes[r.GetVm()] = &node{record: r, heard: now}
	return true
}

func newer(r *peerv1.NodeRecord, epoch, version uint64) bool {
	if r.GetEpoch() != epoch {
		return r.GetEpoch() > epoch
	}
	return r.GetVersion() > version
}

// Digests names all that is known, the owner first.
func (v *View) Digests() []*peerv1.Digest {
	out := make([]*peerv1.Digest, 0, len(v.nodes)+1)
	out = append(out, digest(v.self))
	for _, n := range v.nodes {
		out = append(out, digest(n.record))
	}
	return out
}

func digest(r *peerv1.NodeRecord) *peerv1.Digest {
	return &peerv1.Digest{Vm: r.GetVm(), Epoch: r.GetEpoch(), Version: r.GetVersion()}
}

// Answer compares a peer's digests with what is known: records that are
// newer here, and the names of nodes that are newer there.
func (v *View) Answer(digests []*peerv1.Digest) (records []*peerv1.NodeRecord, wanted []string) {
	theirs := make(map[string]*peerv1.Digest, len(digests))
	for _, d := range digests {
		theirs[d.GetVm()] = d
		if v.wants(d) {
			wanted = append(wanted, d.GetVm())
		}
	}
	records = appendIfNewer(records, v.self, theirs)
	for _, n := range v.nodes {
		records = appendIfNewer(records, n.record, theirs)
	}
	return records, wanted
}

func (v *View) wants(d *peerv1.Digest) bool {
	if d.GetVm() == v.cfg.VM {
		return d.GetEpoch() > v.self.GetEpoch()
	}
	known := v.nodes[d.GetVm()]
	if known == nil {
		return true
	}
	if d.GetEpoch() != known.record.GetEpoch() {
		return d.GetEpoch() > known.record.GetEpoch()
	}
	return d.GetVersion() > known.record.GetVersion()
}

func appendIfNewer(out []*peerv1.NodeRecord, r *peerv1.NodeRecord, theirs map[string]*peerv1.Digest) []*peerv1.NodeRecord {
	d := theirs[r.GetVm()]
	if newer(r, d.GetEpoch(), d.GetVersion()) {
		return append(out, r)
	}
	return out
}

// Records returns the records of the named nodes.
func (v *View) Records(names []string) []*peerv1.NodeRecord {
	var out []*peerv1.NodeRecord
	for _, name := range names {
		if name == v.cfg.VM {
			out = append(out, v.self)
			continue
		}
		if n := v.nodes[name]; n != nil {
			out = append(out, n.record)
		}
	}
	return out
}

func (v *View) status(now time.Time, n *node) Status {
	if n.record.GetState() == peerv1.NodeState_NODE_STATE_LEFT {
		return Left
	}
	factor := time.Duration(1)
	if n.record.GetDataCenter() != v.cfg.DataCenter {
		factor = time.Duration(v.cfg.RemoteFactor)
	}
	age := now.Sub(n.heard)
	if age >= v.cfg.DeadAfter*factor {
		return Dead
	}
	if age >= v.cfg.SuspectAfter*factor {
		return Suspect
	}
	return Alive
}

// Forget drops nodes that have been dead or gone for ForgetAfter.
func (v *View) Forget(now time.Time) {
	for name, n := range v.nodes {
		if s := v.status(now, n); s != Dead && s != Left {
			continue
		}
		if now.Sub(n.heard) >= v.cfg.ForgetAfter {
			delete(v.nodes, name)
		}
	}
}

// Members returns the view without its owner, in the order of the names.
func (v *View) Members(now time.Time) []Member {
	out := make([]Member, 0, len(v.nodes))
	for name, n := range v.nodes {
		out = append(out, Member{
			Contact: Contact{name, n.record.GetDataCenter(), n.record.GetPeerAddress()},
			Status:  v.status(now, n),
			Age:     now.Sub(n.heard),
			Record:  n.record,
		})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Find returns one member.
func (v *View) Find(now time.Time, vm string) (Member, bool) {
	n := v.nodes[vm]
	if n == nil {
		return Member{}, false
	}
	return Member{
		Contact: Contact{vm, n.record.GetDataCenter(), n.record.GetPeerAddress()},
		Status:  v.status(now, n),
		Age:     now.Sub(n.heard),
		Record:  n.record,
	}, true
}

// Round picks the peers to reconcile with now. Each round contacts Fanout
// peers of the own data centre; one node of a data centre on average contacts
// another data centre.
func (v *View) Round(now time.Time) []Contact {
	local, remote := v.contacts(now)
	picked := v.pick(local, v.cfg.Fanout)
	size := float64(len(local) + 1)
	if len(remote) > 0 && v.cfg.Chance() < 1/size {
		picked = append(picked, v.pick(remote, 1)...)
	}
	return picked
}

// contacts lists whom a round may reach: the members not known to have left,
// and the published entries that nothing has been heard of. Dead members stay
// on it, else the two sides of a healed cut would never meet again.
func (v *View) contacts(now time.Time) (local, remote []Contact) {
	add := func(c Contact) {
		if c.DataCenter == v.cfg.DataCenter {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	for _, m := range v.Members(now) {
		if m.Status != Left {
			add(m.Contact)
		}
	}
	for _, s := range v.Seeds() {
		if v.nodes[s.VM] == nil {
			add(s)
		}
	}
	return local, remote
}

func (v *View) pick(from []Contact, count int) []Contact {
	from = slices.Clone(from)
	var out []Contact
	for len(out) < count && len(from) > 0 {
		i := min(int(v.cfg.Chance()*float64(len(from))), len(from)-1)
		out = append(out, from[i])
		from = slices.Delete(from, i, i+1)
	}
	return out
}
