// Package engineapi holds the messages of the endpoints' HTTP protocol: the
// widely published completions API with server-sent events, and the few fields
// and headers that the brief's engines add to it (priority, resume, load,
// orders with a fencing number).
package engineapi

// Paths of an engine.
const (
	PathCompletions = "/v1/completions"
	// PathGenerations, with an id, resumes (GET) or cancels (DELETE).
	PathGenerations = "/v1/generations/"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Headers of an endpoint's replies.
const (
	// HeaderNotRun on a refusal is defined as: before execution.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining, in any reply, says that the endpoint takes no new work.
	HeaderDraining = "X-Draining"
	// HeaderIncarnation is the endpoint's incarnation.
	HeaderIncarnation = "X-Incarnation"
	// HeaderGeneration is the id of the generation that a stream belongs to.
	HeaderGeneration = "X-Generation-Id"
	// HeaderRequestID is the id of the attempt, which a reply repeats.
	HeaderRequestID = "X-Request-Id"
)

// DoneData closes a stream of events.
const DoneData = "[DONE]"

// FinishStop is the reason of an output that came to its own end.
const FinishStop = "stop"

// CompletionRequest asks for a generation.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority,omitempty"`
}

// Choice is the text of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage closes a generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// Preemptions is how often the generation was pushed aside.
	Preemptions int `json:"preemptions"`
}

// Chunk is one event of a generation.
type Chunk struct {
	ID string `json:"id"`
	// Incarnation of the engine that runs the generation.
	Incarnation uint64 `json:"incarnation"`
	// RequestID repeats the header of the request.
	RequestID string `json:"request_id"`
	// Index counts the tokens; for the last chunk it is their number.
	Index   int      `json:"index"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// LoadReport is an endpoint's own account of its load.
type LoadReport struct {
	Incarnation    uint64 `json:"incarnation"`
	UsedTokens     int    `json:"used_tokens"`
	CapacityTokens int    `json:"capacity_tokens"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	Preemptions    int    `json:"preemptions"`
	Draining       bool   `json:"draining"`
}

// Order states the models that an engine is to have loaded.
type Order struct {
	Fencing uint64   `json:"fencing"`
	Desired []string `json:"desired"`
}

// OrderState is what an engine says of its orders.
type OrderState struct {
	Fencing uint64   `json:"fencing"`
	Loaded  []string `json:"loaded"`
	Loading []string `json:"loading"`
}
