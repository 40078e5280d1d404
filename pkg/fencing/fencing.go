// Package fencing decides which controller gives orders to engines, and which.
//
// # Design
//
// There is no election. Every controller computes from the published fleet
// list who gives the orders of a data centre: one of its live entry VMs, by
// rendezvous hashing. The fencing number of an order is the revision of the
// list that it was computed from, with the era of the store above it, so that numbers rise
// also when the store is restored and its revisions go back. Controllers that see the same revision agree
// on the orderer and on the orders; one that wakes late believes in an older
// revision, so its number is lower, and an engine that checks numbers refuses
// it once it has seen a newer one.
//
// Engines that ignore the number are protected as far as possible: an order
// states the desired end state, so a repeat is harmless; the daemon refreshes
// its belief right before sending; and the orderer reconciles what it observes
// with what is desired. What stays is a window: a controller that pauses
// between the refresh and the send can set an engine back to an older desired
// state until the next reconciliation.
//
// Loads of models are spread: at most so many engines of a data centre load at
// once, because the weight store is rate-limited. The package does no I/O.
package fencing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// Belief is a fleet list and its revision.
type FleetSnapshot struct {
	Revision revision.ID
	List     *fleet.List
}

// Orderer returns the VM that gives the orders of a data centre; none if the
// data centre has no live entry.
func Orderer(l *fleet.List, dataCenter string) (vm string, ok bool) {
	var bestWeight uint64
	for _, v := range l.Entries() {
		if v.State != fleet.Live || v.DataCenter != dataCenter {
			continue
		}
		weight := xxhash.Sum64String("orders/" + dataCenter + "\x00" + v.ID)
		if !ok || weight > bestWeight {
			vm, bestWeight, ok = v.ID, weight, true
		}
	}
	return vm, ok
}

// Observed is what an engine last said of its models.
type EngineReport struct {
	Endpoint string
	// Fencing is the highest number that the engine has taken.
	Fencing uint64
	Loaded  []string
	Loading []string
}

// Order is one order to one engine.
type Order struct {
	Endpoint fleet.Endpoint
	Fencing  uint64
	Desired  []string
}

// Plan gives the orders that bring the observed engines to what is desired.
// Engines that were not observed get none. At most maxLoading engines load at
// once; unloading is not limited.
func Plan(snapshot FleetSnapshot, dataCenter string, reports []EngineReport, maxLoading int) []Order {
	loading := 0
	for _, r := range reports {
		if len(r.Loading) > 0 {
			loading++
		}
	}
	slices.SortFunc(reports, func(a, c EngineReport) int { return strings.Compare(a.Endpoint, c.Endpoint) })
	var orders []Order
	for _, r := range reports {
		e, ok := snapshot.List.Endpoint(r.Endpoint)
		if !ok || e.DataCenter != dataCenter || e.Type != fleet.Engine || len(e.Desired) == 0 {
			continue
		}
		if r.Fencing > uint64(snapshot.Revision) || converged(e.Desired, r) {
			continue
		}
		if needsLoad(e.Desired, r) {
			if len(r.Loading) == 0 && loading >= maxLoading {
				continue
			}
			if len(r.Loading) == 0 {
				loading++
			}
		}
		orders = append(orders, Order{Endpoint: e, Fencing: uint64(snapshot.Revision), Desired: e.Desired})
	}
	return orders
}

// settled reports whether the engine has, or is loading, just what is desired.
func converged(desired []string, r EngineReport) bool {
	present := append(slices.Clone(r.Loaded), r.Loading...)
	return sameSet(desired, present)
}

func needsLoad(desired []string, r EngineReport) bool {
	for _, m := range desired {
		if !slices.Contains(r.Loaded, m) && !slices.Contains(r.Loading, m) {
			return true
		}
	}
	return false
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
