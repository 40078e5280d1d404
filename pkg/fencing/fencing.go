// Package fencing selects the controller that gives orders to the engines of a
// data centre and computes these orders. An order sets the models that an engine
// should have loaded.
//
// # Design
//
// There is no leader election. Every controller computes the orderer of a data
// centre from the published fleet list: one of its live entry VMs, by rendezvous
// hashing. The fencing number (fencing token) of an order is the revision of the
// list that it was computed from. The era of the store is its most significant
// part, so that numbers rise even if a restored store goes back to earlier
// revisions. Controllers with the same revision agree on the orderer and on the
// orders. A controller that resumes after a pause has an older revision and thus
// a lower number, which an engine that checks numbers rejects once it has
// accepted a newer one.
//
// Engines that ignore the number are protected as far as possible: an order
// states the desired end state, so that repeating it is harmless; the controller
// refreshes its fleet list right before it sends; and the orderer reconciles the
// observed state with the desired one. One race remains: a controller that pauses
// between the refresh and the send can revert an engine to an older desired state
// until the next reconciliation.
//
// The number of engines of a data centre that load models at the same time is
// limited, because the store of the model weights is rate-limited. The package
// does no I/O.
package fencing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// FleetSnapshot is a fleet list and its revision.
type FleetSnapshot struct {
	Revision revision.ID
	List     *fleet.List
}

// Orderer returns the ID of the VM whose controller gives the orders of a data
// centre. It returns false if the data centre has no live entry.
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

// EngineReport is the last reported state of an engine.
type EngineReport struct {
	// Endpoint is the id of the engine.
	Endpoint string
	// Fencing is the highest fencing number that the engine has accepted.
	Fencing uint64
	// Loaded and Loading hold the models that are loaded and being loaded.
	Loaded  []string
	Loading []string
}

// Order is an order to one engine.
type Order struct {
	Endpoint fleet.Endpoint
	// Fencing is the fencing number.
	Fencing uint64
	// Desired holds all models that the engine should have loaded.
	Desired []string
}

// Plan returns the orders that reconcile the reported state of the engines of a
// data centre with the desired one. Engines without a report get no order, and
// neither do engines that have accepted a higher fencing number. At most
// maxLoading engines load models at the same time; unloading is not limited. Plan
// sorts reports.
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

// converged reports whether the models that the engine has loaded or is loading are
// exactly the desired ones.
func converged(desired []string, r EngineReport) bool {
	present := append(slices.Clone(r.Loaded), r.Loading...)
	return sameSet(desired, present)
}

// needsLoad reports whether a desired model is neither loaded nor being loaded.
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
