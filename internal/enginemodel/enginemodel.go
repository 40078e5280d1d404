// Package enginemodel models an engine: continuous batching with a finite KV
// memory, priorities, preemption when memory fills, and a prefix cache.
//
// The model advances by steps. In one step every running sequence makes one
// token; a step lasts longer with more sequences and with more prompt tokens to
// process. When memory is full the sequence of the lowest priority, the latest
// among equals, is pushed aside: its memory is freed, it waits, and it later
// processes its prompt and its tokens again. A waiting sequence of higher
// priority pushes running ones of lower priority aside if it wouldn't fit.
//
// The stand-in engine runs the model in real time, the experiment in virtual
// time. The model does no I/O. It stands for the engines of the brief
// ("What the platform gives"); its constants are those of no real engine.
package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the size and speed of an engine.
type Config struct {
	// CapacityTokens is the KV memory.
	CapacityTokens int
	// MaxRunning bounds the sequences of a batch.
	MaxRunning int
	// StepBase is the duration of a step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is added for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token processed.
	PrefillPerToken time.Duration
	// PrefillBudget bounds the prompt tokens processed in one step.
	PrefillBudget int
	// CachePrefixes bounds the prompt prefixes remembered.
	CachePrefixes int
}

// DefaultConfig is the engine of the demo and of the experiment.
func DefaultConfig() Config {
	return Config{
		CapacityTokens:  16_000,
		MaxRunning:      64,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 150 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		PrefillBudget:   2048,
		CachePrefixes:   64,
	}
}

// Sequence is one request at the engine.
type Sequence struct {
	ID       string
	Priority int
	// PromptTokens and OutputTokens are the true lengths; callers of the
	// engine don't know the latter.
	PromptTokens int
	OutputTokens int
	// Prefix identifies the start of the prompt; PrefixTokens is its length.
	Prefix       uint64
	PrefixTokens int

	generated   int
	order       int
	prefillLeft int
	preemptions int
	held        int
}

// Generated counts the tokens made so far.
func (s *Sequence) Generated() int { return s.generated }

// Preemptions counts how often the sequence was pushed aside.
func (s *Sequence) Preemptions() int { return s.preemptions }

// Engine is the state of the model. The caller serialises calls.
type Engine struct {
	cfg         Config
	running     []*Sequence
	waiting     []*Sequence
	used        int
	order       int
	preemptions int
	cache       prefixCache
	prompts     int
	cached      int
}

// New makes an idle engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, cache: prefixCache{limit: cfg.CachePrefixes}}
}

// Load is what an engine reports of itself.
type Load struct {
	UsedTokens  int
	Running     int
	Waiting     int
	Preemptions int
}

// Load returns the present load.
func (e *Engine) Load() Load {
	return Load{e.used, len(e.running), len(e.waiting), e.preemptions}
}

// CacheHits returns the prompt tokens processed so far, and how many of them were
// found in the cache.
func (e *Engine) CacheHits() (prompts, cached int) { return e.prompts, e.cached }

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.running)+len(e.waiting) == 0 }

// Add queues a sequence.
func (e *Engine) Add(s *Sequence) {
	e.order++
	s.order = e.order
	e.enqueue(s)
}

func (e *Engine) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, compare)
	e.waiting = slices.Insert(e.waiting, i, s)
}

// compare orders sequences: higher priority first, then the earlier one.
func compare(a, b *Sequence) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}

// Remove drops a sequence, because it was cancelled.
func (e *Engine) Remove(id string) {
	same := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.running, same); i >= 0 {
		e.release(i)
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

func (e *Engine) release(i int) *Sequence {
	s := e.running[i]
	e.used -= s.held
	s.held = 0
	e.running = slices.Delete(e.running, i, i+1)
	return s
}

// Step is the result of one step.
type Step struct {
	Duration time.Duration
	// Progressed made one token each.
	Progressed []*Sequence
	// Ended have made their last token, in this step.
	Ended []*Sequence
	// Preempted were pushed aside before this step.
	Preempted []*Sequence
}

// Step advances the engine by one step.
func (e *Engine) Step() Step {
	var out Step
	e.admit(&out)
	e.fitGrowth(&out)
	prefilled := e.prefill()
	e.decode(&out)
	out.Duration = e.cfg.StepBase +
		time.Duration(len(e.running)+len(out.Ended))*e.cfg.StepPerSequence +
		time.Duration(prefilled)*e.cfg.PrefillPerToken
	return out
}

// admit moves waiting sequences into the batch while they fit.
func (e *Engine) admit(out *Step) {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		need := s.PromptTokens + s.generated + 1
		if !e.makeRoom(s, need, out) {
			return
		}
		e.waiting = e.waiting[1:]
		s.held = need - 1
		e.used += s.held
		hit := e.cache.use(s)
		e.prompts += need - 1
		e.cached += hit
		s.prefillLeft = need - 1 - hit
		e.running = append(e.running, s)
	}
}

// makeRoom pushes running sequences of lower priority aside until need fits.
func (e *Engine) makeRoom(s *Sequence, need int, out *Step) bool {
	for e.used+need > e.cfg.CapacityTokens || len(e.running) >= e.cfg.MaxRunning {
		i := e.victim()
		if i < 0 {
			return true
		}
		if e.running[i].Priority >= s.Priority {
			return false
		}
		e.preempt(i, out)
	}
	return true
}

// victim finds the running sequence that is pushed aside first.
func (e *Engine) victim() int {
	v := -1
	for i, s := range e.running {
		if v < 0 || compare(s, e.running[v]) > 0 {
			v = i
		}
	}
	return v
}

func (e *Engine) preempt(i int, out *Step) {
	s := e.release(i)
	s.preemptions++
	e.preemptions++
	e.enqueue(s)
	out.Preempted = append(out.Preempted, s)
}

// fitGrowth pushes sequences aside until all others can grow by one token.
func (e *Engine) fitGrowth(out *Step) {
	for e.used+len(e.running) > e.cfg.CapacityTokens && len(e.running) > 1 {
		e.preempt(e.victim(), out)
	}
}

// prefill processes prompts within the step's budget.
func (e *Engine) prefill() int {
	budget := e.cfg.PrefillBudget
	for _, s := range e.running {
		part := min(s.prefillLeft, budget)
		s.prefillLeft -= part
		budget -= part
	}
	return e.cfg.PrefillBudget - budget
}

// decode makes one token for each sequence whose prompt has been processed.
func (e *Engine) decode(out *Step) {
	for i := 0; i < len(e.running); {
		s := e.running[i]
		if s.prefillLeft > 0 {
			i++
			continue
		}
		s.generated++
		s.held++
		e.used++
		out.Progressed = append(out.Progressed, s)
		if s.generated >= s.OutputTokens {
			out.Ended = append(out.Ended, e.release(i))
			continue
		}
		i++
	}
}

// prefixCache remembers the prefixes used last.
type prefixCache struct {
	limit int
	order []uint64
}

// use returns how many tokens of the prompt are cached, and remembers it.
func (c *prefixCache) use(s *Sequence) int {
	if s.Prefix == 0 || c.limit == 0 {
		return 0
	}
	hit := 0
	if i := slices.Index(c.order, s.Prefix); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
		hit = min(s.PrefixTokens, s.PromptTokens)
	}
	c.order = append(c.order, s.Prefix)
	if len(c.order) > c.limit {
		c.order = c.order[1:]
	}
	return hit
}

// Cached reports whether a prefix is remembered.
func (e *Engine) Cached(prefix uint64) bool { return slices.Contains(e.cache.order, prefix) }
