package runner

import (
	"sync"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// maxBudgets bounds the budgets kept; they are dropped together beyond it,
// which at worst gives each workspace a new burst.
const maxBudgets = 8192

// budgets holds a retry budget per workspace and per endpoint. The endpoint's
// is filled by the first attempts of all workspaces that retry there.
type budgets struct {
	mu         sync.Mutex
	workspaces map[string]*retry.Budget
	endpoints  map[string]*retry.Budget
}

func newBudgets() *budgets {
	return &budgets{workspaces: map[string]*retry.Budget{}, endpoints: map[string]*retry.Budget{}}
}

func get(m map[string]*retry.Budget, key string) *retry.Budget {
	if b := m[key]; b != nil {
		return b
	}
	if len(m) >= maxBudgets {
		clear(m)
	}
	b := retry.NewBudget()
	m[key] = b
	return b
}

func (b *budgets) first(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	get(b.workspaces, workspace).First()
}

func (b *budgets) firstAt(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	get(b.endpoints, endpoint).First()
}

func (b *budgets) left(workspace, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return get(b.workspaces, workspace).Left() && get(b.endpoints, endpoint).Left()
}

func (b *budgets) spend(workspace, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	get(b.workspaces, workspace).Spend()
	get(b.endpoints, endpoint).Spend()
}
