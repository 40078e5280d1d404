package runner

import (
	"sync"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// maxBudgets bounds the budgets kept; they are dropped together beyond it,
// which at worst gives each workspace a new burst.
const maxBudgets = 8192

// budgets holds a retry budget per workspace and per endpoint, and if a limit is
// set one per target. Those of an endpoint and of a target are filled by the first
// attempts of all workspaces there.
type budgets struct {
	mu         sync.Mutex
	perTarget  retry.Budget
	workspaces map[string]*retry.Budget
	endpoints  map[string]*retry.Budget
	targets    map[string]*retry.Budget
}

func newBudgets(perTarget retry.Budget) *budgets {
	return &budgets{
		perTarget:  perTarget,
		workspaces: map[string]*retry.Budget{},
		endpoints:  map[string]*retry.Budget{},
		targets:    map[string]*retry.Budget{},
	}
}

func get(m map[string]*retry.Budget, key string, fresh func() *retry.Budget) *retry.Budget {
	if b := m[key]; b != nil {
		return b
	}
	if len(m) >= maxBudgets {
		clear(m)
	}
	b := fresh()
	m[key] = b
	return b
}

func (b *budgets) target(name string) *retry.Budget {
	return get(b.targets, name, func() *retry.Budget { return retry.NewBudgetWith(b.perTarget.Ratio, b.perTarget.Burst) })
}

// all are the budgets that one request draws on.
func (b *budgets) all(workspace, endpoint, target string) []*retry.Budget {
	out := []*retry.Budget{get(b.workspaces, workspace, retry.NewBudget), get(b.endpoints, endpoint, retry.NewBudget)}
	if b.perTarget.Ratio > 0 {
		out = append(out, b.target(target))
	}
	return out
}

// first records the first attempt of a request.
func (b *budgets) first(workspace, endpoint, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.all(workspace, endpoint, target) {
		one.RecordFirstAttempt()
	}
}

func (b *budgets) left(workspace, endpoint, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.all(workspace, endpoint, target) {
		if !one.Available() {
			return false
		}
	}
	return true
}

func (b *budgets) spend(workspace, endpoint, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.all(workspace, endpoint, target) {
		one.Spend()
	}
}
