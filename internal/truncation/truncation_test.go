package truncation

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/platform"
)

// maxWorkspaces is how many workspaces share the requests.
const maxWorkspaces = 500

// cut is one answer that is cut off.
type cut struct {
	answer, service string
	// resume is the caller's last event; none if it is empty.
	resume string
	at     int
	end    string
	kept   bool
}

func (c cut) name() string {
	return fmt.Sprintf("%s, %s, after %d bytes, %s, kept %v, resume %q", c.service, c.answer, c.at, c.end, c.kept, c.resume)
}

// group names the cuts of one line of the table.
func (c cut) group() string {
	if c.resume != "" {
		return fmt.Sprintf("%-10s %-21s %s", c.service+"*", c.answer, c.end)
	}
	return fmt.Sprintf("%-10s %-21s %s", c.service, c.answer, c.end)
}

// requestID returns IDs of one length.
func requestID(n int) string { return fmt.Sprintf("r%07d", n) }

// cuts lists all answers, cut after each byte of their heads and bodies. Endpoints fall silent after some of these.
func cuts() (all []cut) {
	for _, name := range sortedAnswers() {
		for _, s := range servicesOf(name) {
			resumes := []string{""}
			if s == "resumable" {
				resumes = append(resumes, "2")
			}
			for _, resume := range resumes {
				last, _ := strconv.Atoi(resume)
				end := len(answers[name].text(requestID(0), last)) + 1
				if name == "misdirected" {
					end = len(answers[name].head(requestID(0), last))
				}
				for at := range end {
					all = append(all, cut{name, s, resume, at, fin, at%2 != 0}, cut{name, s, resume, at, reset, at%2 == 0})
				}
				head, rest := len(answers[name].head(requestID(0), last)), end-2
				if answers[name].unframed {
					rest = end - 1
				}
				// In the status line, in a field, before the empty line, behind it, in a chunk's size or an event, at the end.
				for n, at := range []int{0, 12, 20, head - 2, head, head + 1, rest - 1, rest} {
					all = append(all, cut{name, s, resume, min(at, rest), silence, n%2 == 0})
				}
			}
		}
	}
	return all
}

func sortedAnswers() (names []string) {
	for name := range answers {
		names = append(names, name)
	}
	slices.Sort(names)
	// The first requests find full budgets of repeats.
	return append([]string{first}, slices.DeleteFunc(names, func(name string) bool { return name == first })...)
}

// silentWait is the time limit in ms of callers whose answer falls silent.
const silentWait = "500"

// smallBody is that of the requests.
var smallBody = []byte("body")

// first is the answer that is cut first.
const first = "length"

// servicesOf returns the services of which an answer is.
func servicesOf(answer string) []string {
	switch {
	case strings.Contains(answer, "stream"):
		return []string{"stream", "resumable"}
	case answer == "misdirected":
		// Whole ones, as that to a repeat, take their endpoints out of use.
		return []string{"plain"}
	default:
		return []string{"plain", "safe"}
	}
}

// TestAnAnswerCutAtAnyByteIsNotWhole guards against parts of answers that callers take for whole, and second runs.
func TestAnAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	l := &ledger{runs: map[string][]run{}}
	p := start(t, l.serve)
	tryAll(t, p, p.vm.Callers, l, cuts())
}

// TestADelegatedAnswerCutAtAnyByteIsNotWhole guards against the same where a peer has got the answer.
func TestADelegatedAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	l := &ledger{runs: map[string][]run{}}
	delegated := slices.DeleteFunc(cuts(), func(c cut) bool { return c.service != "plain" && c.service != "stream" })
	p := start(t, l.serve)
	tryAll(t, p, p.delegate(t), l, delegated)
}

// tryAll tries cuts at an address. The gateway lives on and keeps no more connections than it needs.
func tryAll(t *testing.T, p *process, address string, l *ledger, all []cut) {
	groups := tally{counts: map[string]map[string]int{}}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			c := &caller{address: address}
			defer c.close()
			for n := w; n < len(all); n += workers {
				tryCut(t, c, l, &groups, all[n], w, n, len(all))
			}
		})
	}
	wg.Wait()
	groups.log(t)
	select {
	case <-p.ended:
		t.Fatal("the gateway ended")
	default:
	}
	for end := time.Now().Add(timeout); p.sockets(t) > len(all)/4; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are left after %d cuts", p.sockets(t), len(all))
		}
	}
}

// tryCut sends a request that is answered in full and one whose answer is cut off.
func tryCut(t *testing.T, c *caller, l *ledger, groups *tally, one cut, w, n, all int) {
	key := fmt.Sprint("key", n%maxWorkspaces)
	path := fmt.Sprintf("/%s/%d/x", one.service, w)
	for try := range maxTries {
		id := requestID(try*all + n)
		before := map[string]string{headerAnswer: "length"}
		header := map[string]string{headerAnswer: one.answer, headerCut: fmt.Sprint(one.at)}
		if one.service == "stream" || one.service == "resumable" {
			before[headerAnswer] = "stream in chunks"
			before[platform.HeaderTokens], before["Model"] = "100,50", "m"
			header[platform.HeaderTokens], header["Model"] = "100,50", "m"
		}
		if !one.kept {
			before[headerClose] = "1"
		}
		header[headerEnd] = one.end
		if one.end == silence {
			header[platform.HeaderWait] = silentWait
		}
		if one.resume != "" {
			header[platform.HeaderResumeFrom] = one.resume
		}
		whole := c.send("before-"+id, key, path, before, smallBody)
		if whole.status != http.StatusServiceUnavailable && (whole.err != nil || !strings.Contains(whole.body, "before-"+id)) {
			t.Errorf("%s: the request before: %+v", one.name(), whole)
		}
		got := c.send(id, key, path, header, smallBody)
		runs := l.of(id)
		if len(runs) == 0 && (got.status == http.StatusServiceUnavailable || one.end == silence && got.status == http.StatusGatewayTimeout) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		fault := check(one, id, got, runs)
		if fault != "" && groups.add(one.group(), "FAULT "+fault) == 1 {
			t.Errorf("%s: %s: %+v, runs %+v", one.name(), fault, got, runs)
		}
		if fault == "" {
			groups.add(one.group(), verdict(got, runs))
		}
		if try > 0 {
			groups.add(one.group(), "refused before")
		}
		return
	}
	t.Errorf("%s: no endpoint got the request", one.name())
}

// check returns what is wrong with what a caller got.
func check(one cut, id string, got result, runs []run) string {
	answer := answers[one.answer]
	last, _ := strconv.Atoi(one.resume)
	head, body := answer.head(id, last), answer.body(id, last)
	headWhole := one.at >= len(head)
	whole := one.at == len(answer.text(id, last))
	// A part of an answer without a length is whole if its connection ends well, unless it ends inside an event.
	passed, unframed := "", headWhole && answer.unframed && one.end == fin
	if unframed {
		passed = body[:one.at-len(head)]
		unframed = !strings.Contains(one.answer, "stream") || passed != "" && endsEvent(passed)
	}
	stream := strings.Contains(one.answer, "stream")
	repeated := len(runs) == 2 && !answer.invalid
	success := got.status >= 200 && got.status < 300
	switch {
	case got.unasked > 0:
		return "bytes follow the answer"
	case got.status == 0:
		return "no answer"
	case len(runs) == 0:
		return "no run"
	case len(runs) > 1 && (one.service == "plain" || one.service == "stream") || len(runs) > 2:
		return "too many runs"
	case success && got.signature != signature:
		return "a success without a signature"
	case got.signature != "" && got.status != answer.status:
		return "a signed answer with another status"
	case got.signature != "" && got.err != nil && !stream:
		return "a plain answer is cut"
	case got.signature != "" && got.err != nil && !(strings.HasPrefix(body, got.body) && endsEvent(got.body)):
		return "a part of a stream that isn't its own"
	case got.signature != "" && answer.invalid:
		return "an invalid answer is passed on"
	case got.signature != "" && got.err == nil && got.body != body && !(unframed && got.body == passed):
		return "a part of an answer that is framed as whole"
	case outcome.StatusMeansNotRun(got.status) && !(answer.refused && headWhole):
		return "called not run, and may have run"
	case whole && one.end == fin && !answer.refused && !answer.invalid && (got.status != answer.status || got.err != nil):
		return "a whole answer isn't passed on"
	case repeated && got.status != answer.status && !answer.refused:
		return "the answer to the repeat isn't passed on"
	case one.service == "safe" && one.answer == first && one.end != silence && !whole && len(runs) != 2:
		return "a safe request isn't repeated"
	}
	return ""
}

// endsEvent reports whether a part of a stream ends between two events.
func endsEvent(part string) bool { return part == "" || strings.HasSuffix(part, "\n\n") }

func verdict(got result, runs []run) string {
	v := strconv.Itoa(got.status)
	if got.err != nil {
		v += " cut"
	}
	if len(runs) > 1 {
		v += " repeated"
	}
	if runs[0].kept {
		v += " kept"
	}
	return v
}

// tally counts results.
type tally struct {
	mu     sync.Mutex
	counts map[string]map[string]int
}

func (c *tally) add(group, verdict string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[group] == nil {
		c.counts[group] = map[string]int{}
	}
	c.counts[group][verdict]++
	return c.counts[group][verdict]
}

func (c *tally) log(t *testing.T) {
	var lines []string
	for group, counts := range c.counts {
		total := 0
		for v, n := range counts {
			if v != "refused before" {
				total += n
			}
		}
		lines = append(lines, fmt.Sprintf("%s %4d cuts %v", group, total, counts))
	}
	slices.Sort(lines)
	t.Log("\n" + strings.Join(lines, "\n"))
}
