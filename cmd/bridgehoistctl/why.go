package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/logtrace"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

// metricsHelp is the help of the flag -metrics.
const metricsHelp = "metrics of the entry: a file, or http://IP:port/metrics; empty for none"

// whyCommand says why a request failed.
func whyCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("why", flag.ContinueOnError)
	request := fs.String("request", "", "id of the request")
	metrics := fs.String("metrics", "", metricsHelp)
	const usage = "bridgehoistctl why -request ID [-metrics FILE|URL] LOG..."
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: usage,
		ShortHelp:  "say why a request failed, from the logs of a fleet and the metrics of its entry",
		FlagSet:    fs,
		Exec: func(ctx context.Context, files []string) error {
			if *request == "" || len(files) == 0 {
				return settings.UsageError("usage: " + usage)
			}
			scrape, err := readScrape(ctx, *metrics)
			if err != nil {
				return err
			}
			answer, err := logtrace.Why(*request, func() (io.ReadCloser, error) { return openAll(files) })
			if err != nil {
				return err
			}
			if answer == nil {
				return errors.Errorf("no line names request %s", *request)
			}
			writeAnswer(out, answer)
			if scrape != nil {
				fmt.Fprintf(out, "\nmetrics, since the entry started:\n  %s\n", scrape.Alike(answer.Outcome, answer.Code))
				writeHealth(out, scrape)
			}
			return nil
		},
	}
}

// believedCommand says what an entry believed at a time.
func believedCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("believed", flag.ContinueOnError)
	vm := fs.String("vm", "", "name of the entry's VM")
	at := fs.String("at", "", "time as in the log, such as 2026-03-01T10:00:02.5Z")
	metrics := fs.String("metrics", "", metricsHelp)
	const usage = "bridgehoistctl believed -vm VM -at TIME [-metrics FILE|URL] LOG..."
	return &ffcli.Command{
		Name:       "believed",
		ShortUsage: usage,
		ShortHelp:  "say what an entry believed at a time, from its log and metrics",
		FlagSet:    fs,
		Exec: func(ctx context.Context, files []string) error {
			if *vm == "" || *at == "" || len(files) == 0 {
				return settings.UsageError("usage: " + usage)
			}
			when, err := time.Parse(time.RFC3339Nano, *at)
			if err != nil {
				return settings.Usagef("-at: %q is no time such as 2026-03-01T10:00:02.5Z", *at)
			}
			scrape, err := readScrape(ctx, *metrics)
			if err != nil {
				return err
			}
			belief, err := logtrace.Believed(*vm, when, func() (io.ReadCloser, error) { return openAll(files) })
			if err != nil {
				return err
			}
			if belief == nil {
				return errors.Errorf("no line is of VM %s", *vm)
			}
			writeBelief(out, belief)
			if scrape != nil {
				fmt.Fprintln(out, "\nmetrics, since the entry started and not as of that time:")
				writeHealth(out, scrape)
			}
			return nil
		},
	}
}

func writeAnswer(out io.Writer, a *logtrace.Answer) {
	fmt.Fprintf(out, "request %s at %s: %s\n", a.Request, a.VM, a.Summary)
	if len(a.Causes) > 0 {
		fmt.Fprintln(out, "\nwhy:")
	}
	for _, c := range a.Causes {
		fmt.Fprintf(out, "  %s\n", c)
	}
	if a.Belief != nil {
		fmt.Fprintln(out)
		writeBelief(out, withoutLeaving(*a.Belief))
	}
	fmt.Fprintln(out, "\nlines:")
	for _, l := range a.Lines {
		fmt.Fprintf(out, "  %s\n", l.Text)
	}
}

// withoutLeaving leaves out the endpoints that leave: the causes tell those of the request.
func withoutLeaving(b logtrace.Belief) *logtrace.Belief {
	b.Facts = slices.DeleteFunc(slices.Clone(b.Facts), func(f logtrace.Fact) bool { return f.About == "leaving" })
	return &b
}

func writeBelief(out io.Writer, b *logtrace.Belief) {
	fmt.Fprintf(out, "%s believed at %s:\n", b.VM, b.At.Format(time.RFC3339Nano))
	for _, f := range b.Facts {
		fmt.Fprintf(out, "  %-10s %s (for %v)\n", f.About, f.Says, b.At.Sub(f.Line.At).Round(time.Millisecond))
	}
	fmt.Fprintf(out, "  what isn't listed no line tells; its log begins %v before and ends %v after\n",
		b.At.Sub(b.From).Round(time.Millisecond), b.Until.Sub(b.At).Round(time.Millisecond))
}

func writeHealth(out io.Writer, s *logtrace.Scrape) {
	for _, line := range s.Health() {
		fmt.Fprintf(out, "  %s\n", line)
	}
}

// readScrape reads metrics from a file or an address; there are none if it is empty.
func readScrape(ctx context.Context, from string) (*logtrace.Scrape, error) {
	if from == "" {
		return nil, nil
	}
	open := openFile
	if strings.HasPrefix(from, "http://") || strings.HasPrefix(from, "https://") {
		open = openURL
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := open(ctx, from)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return logtrace.ReadScrape(r)
}

func openFile(_ context.Context, name string) (io.ReadCloser, error) { return os.Open(name) }

func openURL(ctx context.Context, address string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, settings.UsageError(err.Error())
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return resp.Body, nil
}
