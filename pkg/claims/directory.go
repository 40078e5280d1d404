package claims

import "github.com/bridgehoist/bridgehoist/pkg/outcome"

// Peer is an entry listed in a Directory.
type Peer struct {
	Address     string
	Incarnation []byte
	// Alive is set if the peer is neither suspect nor dead and has not left.
	Alive bool
}

// Directory is an entry's view of its peers; package membership maintains it.
type Directory interface {
	// InheritorAddress returns the address of the entry that has inherited the tickets of an
	// incarnation.
	InheritorAddress(Incarnation) (address string, ok bool)
	// Peer returns the entry on the VM of that name.
	Peer(vm string) (Peer, bool)
}

// ResolveOwner returns the address of the entry that may run a ticket of another
// entry. If the directory lists another, live incarnation at the owner's address
// and no inheritor, the owner was replaced without a handover and its records are
// lost; the outcome is then MayHaveRun without a call to any peer. An owner that
// a stale directory doesn't list is reached at the address in the ticket, provided
// that allowed accepts it.
func ResolveOwner(t Ticket, d Directory, allowed func(address string) bool) (string, *outcome.Error) {
	if address, ok := d.InheritorAddress(t.Incarnation); ok {
		return address, nil
	}
	p, found := d.Peer(t.OwnerVM)
	if found && string(p.Incarnation) == string(t.Incarnation[:]) {
		return p.Address, nil
	}
	if found && p.Alive && p.Address == t.OwnerAddress {
		return "", OwnerReplacedError()
	}
	if !allowed(t.OwnerAddress) {
		return "", outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the owner's address isn't one of this system")
	}
	return t.OwnerAddress, nil
}
