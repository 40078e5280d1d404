package runner

import (
	"sync"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// maxBudgets is the maximum number of budgets per map. A map that is full is
// cleared, which at worst gives each of its keys a new burst.
const maxBudgets = 8192

// budgets holds a retry budget per workspace and per endpoint, and one per target
// if perTarget.Ratio is set. The first attempts of all workspaces refill the
// budgets of their endpoint and target. It is safe for concurrent use.
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

func getOrCreate(m map[string]*retry.Budget, key string, newBudget func() *retry.Budget) *retry.Budget {
	if b := m[key]; b != nil {
		return b
	}
	if len(m) >= maxBudgets {
		clear(m)
	}
	b := newBudget()
	m[key] = b
	return b
}

func (b *budgets) target(name string) *retry.Budget {
	return getOrCreate(b.targets, name, func() *retry.Budget { return retry.NewBudgetWith(b.perTarget.Ratio, b.perTarget.Burst) })
}

// forRequest returns the budgets that apply to a request. b.mu must be held.
func (b *budgets) forRequest(workspace, endpoint, target string) []*retry.Budget {
	applicable := []*retry.Budget{getOrCreate(b.workspaces, workspace, retry.NewBudget), getOrCreate(b.endpoints, endpoint, retry.NewBudget)}
	if b.perTarget.Ratio > 0 {
		applicable = append(applicable, b.target(target))
	}
	return applicable
}

// recordFirstAttempt refills the budgets by the first attempt of a request.
func (b *budgets) recordFirstAttempt(workspace, endpoint, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.forRequest(workspace, endpoint, target) {
		budget.RecordFirstAttempt()
	}
}

// available reports whether each of the request's budgets permits a retry.
func (b *budgets) available(workspace, endpoint, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.forRequest(workspace, endpoint, target) {
		if !budget.Available() {
			return false
		}
	}
	return true
}

// spend charges one retry to each of the request's budgets.
func (b *budgets) spend(workspace, endpoint, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.forRequest(workspace, endpoint, target) {
		budget.Spend()
	}
}
