package claims

import "github.com/bridgehoist/bridgehoist/pkg/outcome"

// Peer is an entry as the directory knows it.
type Peer struct {
	Address     string
	Incarnation []byte
	// Alive says that the peer has been heard of lately.
	Alive bool
}

// Directory is what an entry knows of the others; package membership has it.
type Directory interface {
	// Holder finds the entry that took over the tickets of an incarnation.
	Holder(Incarnation) (address string, ok bool)
	// Peer finds an entry by the name of its VM.
	Peer(vm string) (Peer, bool)
}

// Route finds where a ticket of another entry is to be run. An entry that is
// not in the directory, because a list is stale, is found by the address in the
// ticket; allowed says whether such an address may be called. An owner that has
// been replaced on its VM without a handover has lost its memory, so the answer
// is MayHaveRun without asking anybody.
func Route(t Ticket, d Directory, allowed func(address string) bool) (string, *outcome.Error) {
	if address, ok := d.Holder(t.Incarnation); ok {
		return address, nil
	}
	p, known := d.Peer(t.OwnerVM)
	if known && string(p.Incarnation) == string(t.Incarnation[:]) {
		return p.Address, nil
	}
	if known && p.Alive && p.Address == t.OwnerAddress {
		return "", OwnerReplaced()
	}
	if !allowed(t.OwnerAddress) {
		return "", outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the owner's address isn't one of this system")
	}
	return t.OwnerAddress, nil
}
