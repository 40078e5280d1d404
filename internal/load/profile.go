// Package load sends the brief's kinds of requests in bursts, open-loop from a
// seed, and measures what became of each.
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind describes one kind of request as callers send it.
type Kind struct {
	Name string
	// Model is empty for plain services.
	Model string
	// Workspaces send the kind; the first ones send more.
	Workspaces []string
	// Share of the requests.
	Share float64
	// PromptTokens and OutputTokens are medians; the lengths are log-normal.
	PromptTokens int
	OutputTokens int
	// Spread is the standard deviation of the lengths' logarithm.
	Spread float64
	Stream bool
	// Ticket says that the kind may not be repeated.
	Ticket bool
	Weight int
	Urgent bool
}

// MaxOutputTokens caps drawn output lengths.
const MaxOutputTokens = 30_000

// Himal is the first user's mix.
func Himal() []Kind {
	workspaces := []string{"hetauda-plant", "lalitpur-plant", "bhaktapur-plant"}
	return []Kind{
		{Name: "shift-report", Model: "kiln-scribe", Workspaces: workspaces, Share: 0.4,
			PromptTokens: 350, OutputTokens: 450, Spread: 0.6, Stream: true, Weight: 20},
		{Name: "lining-check", Model: "kiln-scribe", Workspaces: workspaces, Share: 0.6,
			PromptTokens: 60, OutputTokens: 12, Spread: 0.3, Ticket: true, Weight: 8, Urgent: true},
	}
}

// Allkiri is the second user's mix.
func Allkiri() []Kind {
	workspaces := []string{"notary-chamber", "rental-agents", "village-councils"}
	return []Kind{
		{Name: "contract-review", Model: "lexmodel", Workspaces: workspaces, Share: 0.15,
			PromptTokens: 1200, OutputTokens: 700, Spread: 0.6, Stream: true, Weight: 20},
		{Name: "signing-summary", Model: "lexmodel", Workspaces: workspaces, Share: 0.25,
			PromptTokens: 250, OutputTokens: 60, Spread: 0.4, Stream: true, Weight: 2},
		{Name: "envelope-status", Workspaces: workspaces, Share: 0.3, Weight: 10, Urgent: true},
		{Name: "signer-check", Workspaces: workspaces, Share: 0.3, Ticket: true, Weight: 12, Urgent: true},
	}
}

// Arrival is one request to come.
type Arrival struct {
	At           time.Duration
	Kind         *Kind
	Workspace    string
	PromptTokens int
	OutputTokens int
}

// Cap bounds the output lengths of arrivals.
func Cap(arrivals []Arrival, longest int) {
	for i := range arrivals {
		arrivals[i].OutputTokens = min(arrivals[i].OutputTokens, longest)
	}
}

// Plan draws the arrivals of a burst: a Poisson stream whose rate doubles in
// the middle third.
func Plan(rng *rand.Rand, kinds []Kind, rate float64, duration time.Duration) []Arrival {
	var out []Arrival
	for at := next(rng, rate); at < duration; {
		k := pick(rng, kinds)
		out = append(out, Arrival{
			At:           at,
			Kind:         k,
			Workspace:    k.Workspaces[skewed(rng, len(k.Workspaces))],
			PromptTokens: length(rng, k.PromptTokens, k.Spread),
			OutputTokens: length(rng, k.OutputTokens, k.Spread),
		})
		r := rate
		if at > duration/3 && at < 2*duration/3 {
			r = 2 * rate
		}
		at += next(rng, r)
	}
	return out
}

func next(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func pick(rng *rand.Rand, kinds []Kind) *Kind {
	total := 0.0
	for i := range kinds {
		total += kinds[i].Share
	}
	x := rng.Float64() * total
	for i := range kinds {
		x -= kinds[i].Share
		if x < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// skewed prefers the first workspaces: a few are large.
func skewed(rng *rand.Rand, n int) int {
	x := rng.Float64()
	return min(int(x*x*float64(n)), n-1)
}

func length(rng *rand.Rand, median int, spread float64) int {
	if median == 0 {
		return 0
	}
	v := float64(median) * math.Exp(rng.NormFloat64()*spread)
	return min(max(int(v), 1), MaxOutputTokens)
}
