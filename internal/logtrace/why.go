package logtrace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Messages of a request's lines.
const (
	messageFailed        = "request failed"
	messageLate          = "request late"
	messageAttemptFailed = "attempt failed"
	messageMoveFailed    = "move failed"
	messageHandedOver    = "handed over"
)

// Answer says why a request failed.
type Answer struct {
	Request string
	// VM and At are where and when it ended; At is zero if no line tells of an end.
	VM string
	At time.Time
	// Outcome and Code are those of the end.
	Outcome, Code string
	// Summary is the end in words.
	Summary string
	// Causes are sentences, the nearest cause first.
	Causes []string
	// Lines are those of Trace, without those of tables and lists of endpoints.
	Lines []Line
	// Belief is what its entry believed when it ended.
	Belief *Belief
}

// Why reads logs and says why a request failed. It is nil if no line names the request.
func Why(request string, open func() (io.ReadCloser, error)) (*Answer, error) {
	lines, err := Trace(request, open)
	if err != nil || len(lines) == 0 {
		return nil, err
	}
	w := newStory(request, lines)
	told := w.last
	if w.end != nil {
		told = w.end
	}
	a := &Answer{Request: request, VM: told.VM, Lines: slices.DeleteFunc(lines, isValue)}
	a.Belief, err = Believed(told.VM, told.At, open)
	if err != nil {
		return nil, err
	}
	w.belief = a.Belief
	if w.end == nil {
		a.Summary = "no line tells of an end: it went well and in time, or its entry ended before it could tell"
		return a, nil
	}
	a.At, a.Outcome, a.Code = w.end.At, w.end.fields["outcome"], w.end.fields["code"]
	a.Summary, a.Causes = w.summary(), w.causes()
	return a, nil
}

func isValue(l Line) bool { return l.message == "value in force" }

// story is what is known of a request.
type story struct {
	// own are the lines that name the request, others those of its endpoints.
	own, others []Line
	attempts    []Line
	// end is the line of its end, last the last that names it.
	end, last *Line
	belief    *Belief
}

func newStory(request string, lines []Line) *story {
	w := &story{}
	for _, l := range lines {
		if l.fields["request"] != request {
			w.others = append(w.others, l)
			continue
		}
		w.own = append(w.own, l)
		w.last = &l
		switch l.message {
		case messageAttemptFailed:
			w.attempts = append(w.attempts, l)
		case messageFailed, messageLate:
			w.end = &l
		}
	}
	return w
}

// summary tells the end in words.
func (w *story) summary() string {
	f := w.end.fields
	if w.end.message == messageLate {
		return fmt.Sprintf("it was answered whole, but late, after %s ms", f["elapsed_ms"])
	}
	ran := map[string]string{
		"not_run":      "it did not run",
		"may_have_run": "it may have run; the caller has no answer",
		"incomplete":   "it ran; the caller has a part of the answer",
	}[f["outcome"]]
	return fmt.Sprintf("%s (outcome %s, code %s), after %s ms, of them %s ms in the queue, of %s ms allowed; by table %s, endpoints %s",
		cmp.Or(ran, "it ended"), f["outcome"], f["code"], f["elapsed_ms"], f["queued_ms"], f["timeout_ms"], f["table"], f["fleet"])
}

// causesByCode tells the cause of each code that has one of its own.
var causesByCode = map[string]func(*story) []string{
	"unauthenticated":         (*story).notInTable,
	"unknown_kind":            (*story).notInTable,
	"no_table":                func(*story) []string { return []string{"the entry had no table yet: it had just started"} },
	"no_endpoint":             (*story).noEndpoint,
	"delegate_lost":           (*story).delegateLost,
	"endpoint_lost":           (*story).endpointLost,
	"endpoints_throttling":    (*story).throttling,
	"endpoint_refused":        func(*story) []string { return []string{"the endpoint was full and refused it"} },
	"deadline_unreachable":    (*story).deadline,
	"queue_time_exceeded":     (*story).queueTime,
	"stalled":                 (*story).stalled,
	"caller_gone":             (*story).callerGone,
	"quarantined":             (*story).quarantined,
	"stopping":                func(*story) []string { return []string{"the entry was stopping"} },
	"endpoint_protocol_error": (*story).attemptsTold,
}

func (w *story) causes() []string {
	if w.end.message == messageLate {
		return w.late()
	}
	tell := causesByCode[w.end.fields["code"]]
	if tell == nil {
		return append(w.attemptsTold(), w.reason()...)
	}
	return tell(w)
}

// reason is the reason that the log gives.
func (w *story) reason() []string {
	if r := w.end.fields["reason"]; r != "" {
		return []string{"the log says: " + r}
	}
	return nil
}

func (w *story) notInTable() []string {
	out := []string{fmt.Sprintf("table revision %s, by which the entry decided, doesn't have it: %s",
		w.end.fields["table"], w.end.fields["reason"])}
	if f, ok := w.fact("table"); ok {
		out = append(out, fmt.Sprintf("the entry had its table (%s) for %v", f.Says, w.age(f)))
	}
	for _, about := range []string{aboutRefused, aboutRestore, aboutPeerConnections} {
		if f, ok := w.fact(about); ok {
			out = append(out, fmt.Sprintf("%s: %s, %v before", about, f.Says, w.age(f)))
		}
	}
	return out
}

func (w *story) noEndpoint() []string {
	target := w.end.fields["target"]
	if !strings.Contains(w.end.fields["reason"], "can be reached") {
		return append([]string{fmt.Sprintf("nothing is announced for %s in the list of endpoints, revision %s", target, w.end.fields["fleet"])}, w.reason()...)
	}
	return append([]string{fmt.Sprintf("all endpoints of %s had failed and no probe had got through", target)}, w.reachTold()...)
}

// delegateLost tells which peer served the request; that entry's lines name the request too.
func (w *story) delegateLost() []string {
	f := w.end.fields
	return append([]string{fmt.Sprintf("this entry reached no endpoint of %s, and %s, which served the request, was lost", f["target"], f["delegate"])}, w.reason()...)
}

func (w *story) endpointLost() []string { return append(w.attemptsTold(), w.reachTold()...) }

func (w *story) deadline() []string {
	f := w.end.fields
	if f["outcome"] == "not_run" && len(w.attempts) == 0 {
		return append([]string{"it was refused at once or from the queue: it could not begin in time"}, w.reason()...)
	}
	if len(w.attempts) == 0 {
		return append([]string{w.unanswered("its endpoint, which no line names,"), w.slower()}, w.reason()...)
	}
	endpoint := w.attempts[len(w.attempts)-1].fields["endpoint"]
	out := []string{w.unanswered(endpoint)}
	if cut := w.reachTold(); len(cut) > 0 {
		out = append(out, cut...)
	} else {
		out = append(out, w.slower())
	}
	return append(out, w.attemptsTold()...)
}

func (w *story) unanswered(endpoint string) string {
	f := w.end.fields
	return fmt.Sprintf("it was sent after %s ms in the queue, and %s had not answered after %s ms, of %s ms allowed",
		f["queued_ms"], endpoint, f["elapsed_ms"], f["timeout_ms"])
}

func (w *story) slower() string {
	return "the endpoint was slower than the route allows; `grep kind=" + w.end.fields["kind"] + "` shows whether always"
}

// throttling tells which endpoints had said that they take less.
func (w *story) throttling() []string {
	out := w.reason()
	if w.belief == nil {
		return out
	}
	for _, f := range w.belief.Facts {
		if f.About == aboutLimit || f.About == aboutPause {
			out = append(out, fmt.Sprintf("%s, for %v", f.Says, w.age(f)))
		}
	}
	return append(out, w.attemptsTold()...)
}

// quarantined tells where to look for the ends that brought the request there.
func (w *story) quarantined() []string {
	out := append(w.reason(), w.attemptsTold()...)
	search := "identity=" + w.end.fields["identity"]
	if part, ok := quarantinedPart(w.end.fields["reason"]); ok {
		search = part
	} else if w.end.fields["identity"] == "" {
		return out
	}
	return append(out, "`grep "+search+"` lists the requests and endpoints that made it so")
}

// quarantinedPart returns the first part of the prompt that the reason of a refusal names, if it names one.
func quarantinedPart(reason string) (part string, found bool) {
	rest, found := strings.CutPrefix(reason, "part ")
	if !found {
		return "", false
	}
	parts, _, found := strings.Cut(rest, " of the prompt")
	part, _, _ = strings.Cut(parts, ",")
	return part, found
}

func (w *story) queueTime() []string {
	return append([]string{"no endpoint had room for it while it waited"}, w.reason()...)
}

func (w *story) callerGone() []string {
	f := w.end.fields
	return []string{fmt.Sprintf("the caller closed its connection after %s ms, of %s ms allowed", f["elapsed_ms"], f["timeout_ms"])}
}

// stalled tells what cut a stream.
func (w *story) stalled() []string {
	if len(w.attempts) == 0 {
		return w.reason()
	}
	lost := w.attempts[len(w.attempts)-1]
	endpoint := lost.fields["endpoint"]
	out := w.movesTold()
	if leaving, ok := w.leaving(endpoint); ok {
		text := fmt.Sprintf("%s; this entry knew it %v before the cut", leavingSays(leaving.fields), lost.At.Sub(leaving.At).Round(time.Millisecond))
		out = append([]string{text}, append(out, w.evacuationTold(endpoint)...)...)
		return append(out, w.attemptsTold()...)
	}
	if text := lost.fields["error"]; strings.Contains(text, "timed out") || strings.Contains(text, "connection reset") {
		out = append(out, fmt.Sprintf("nothing told that %s would end: the connection crossed a cut (%s)", endpoint, text))
	} else {
		out = append(out, fmt.Sprintf("nothing told that %s would end: it crashed, or closed the connection", endpoint))
	}
	return append(append(out, w.attemptsTold()...), w.reachTold()...)
}

// leaving finds the first line before the end that says that an endpoint leaves.
func (w *story) leaving(endpoint string) (Line, bool) {
	for _, l := range w.others {
		if l.message == "endpoint leaving" && l.fields["endpoint"] == endpoint && l.VM == w.end.VM && !l.At.After(w.end.At) {
			return l, true
		}
	}
	return Line{}, false
}

// evacuationTold tells the entry's last plan for an engine that leaves.
func (w *story) evacuationTold(endpoint string) []string {
	var out []string
	for _, l := range w.others {
		f := l.fields
		if l.message == "evacuation" && f["endpoint"] == endpoint && l.VM == w.end.VM && !l.At.After(w.end.At) {
			out = []string{fmt.Sprintf("the entry's last plan for %s, %v before: %s moves for its %s of %s runs, %s engines to move to, %s ms left",
				endpoint, w.end.At.Sub(l.At).Round(time.Millisecond), f["steps"], f["mine"], f["runs"], f["targets"], f["left_ms"])}
		}
	}
	return out
}

func (w *story) late() []string {
	f := w.end.fields
	var out []string
	if above(f["first_ms"], f["objective_ms"]) {
		out = append(out, fmt.Sprintf("the first event came after %s ms, the objective is %s ms; %s ms of it in the queue", f["first_ms"], f["objective_ms"], f["queued_ms"]))
	}
	if above(f["gap_ms"], f["max_gap_ms"]) {
		out = append(out, fmt.Sprintf("the longest time between events was %s ms, %s ms are allowed", f["gap_ms"], f["max_gap_ms"]))
	}
	return append(append(out, w.movesTold()...), w.attemptsTold()...)
}

// above compares times in ms; a bound of zero is none.
func above(value, bound string) bool {
	v, errV := time.ParseDuration(value + "ms")
	b, errB := time.ParseDuration(bound + "ms")
	return errV == nil && errB == nil && b > 0 && v > b
}

// attemptsTold tells each attempt that failed.
func (w *story) attemptsTold() []string {
	says := map[string]string{
		"not_sent":                 "could not be connected to, nothing ran there",
		"refused_before_execution": "refused it, nothing ran there",
		"link_lost":                "the connection to it broke",
		"generation_lost":          "it lost the request, or was given up on",
		"protocol":                 "its reply made no sense",
		"answered_error":           "ran it and answered with an error",
		"caller_gone":              "the caller had gone",
	}
	var out []string
	for i, l := range w.attempts {
		f := l.fields
		out = append(out, fmt.Sprintf("attempt %d, %s: %s (%s); then %s", i+1, f["endpoint"], cmp.Or(says[f["failure"]], f["failure"]), f["error"], f["step"]))
	}
	return out
}

// movesTold tells the moves of the request to another engine.
func (w *story) movesTold() []string {
	var out []string
	for _, l := range w.own {
		if l.At.After(w.end.At) {
			// Told when it was over: no cause.
			break
		}
		switch l.message {
		case messageMoveFailed:
			out = append(out, fmt.Sprintf("its move from %s to %s failed: %s", l.fields["from"], l.fields["to"], l.fields["error"]))
		case messageHandedOver:
			out = append(out, fmt.Sprintf("it was moved from %s to %s, %s ms without an event", l.fields["from"], l.fields["to"], l.fields["pause_ms"]))
		}
	}
	return out
}

// reachTold tells what the entry believed of data centres and itself, if that was bad.
func (w *story) reachTold() []string {
	var out []string
	if f, ok := w.fact("reach"); ok && f.Line.fields["lost"] != "[]" {
		out = append(out, fmt.Sprintf("%s, for %v", f.Says, w.age(f)))
	}
	out = append(out, w.reachFoundLater()...)
	if f, ok := w.fact("readiness"); ok && f.Line.fields["state"] != "ready" {
		out = append(out, fmt.Sprintf("the entry was %s, for %v", f.Says, w.age(f)))
	}
	return out
}

// reachFoundLater tells a loss of data centres that the entry found just after the end.
func (w *story) reachFoundLater() []string {
	for _, l := range w.others {
		if l.message == "reach of data centres" && l.VM == w.end.VM && l.At.After(w.end.At) && l.fields["lost"] != "[]" {
			return []string{fmt.Sprintf("%v later the entry found: %s", l.At.Sub(w.end.At).Round(time.Millisecond), reachSays(l.fields))}
		}
	}
	return nil
}

func (w *story) fact(about string) (Fact, bool) {
	if w.belief == nil {
		return Fact{}, false
	}
	return w.belief.Fact(about)
}

// age is for how long a fact had held when the request ended.
func (w *story) age(f Fact) time.Duration { return w.end.At.Sub(f.Line.At).Round(time.Millisecond) }
