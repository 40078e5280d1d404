// Bridgehoistctl is the operators' command line.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const callTimeout = 5 * time.Second

func main() {
	root := newRoot(os.Stdout)
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	os.Exit(settings.ExitCode(os.Stderr, err))
}

func newRoot(out io.Writer) *ffcli.Command {
	options := []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)}
	commands := []*ffcli.Command{checkCommand(out), statusCommand(out), explainCommand(out), readyCommand(out), digestCommand(out), traceCommand(out), whyCommand(out), believedCommand(out)}
	for _, c := range commands {
		c.Options = options
	}
	return &ffcli.Command{
		Name:        "bridgehoistctl",
		ShortUsage:  "bridgehoistctl check|status|explain|wait-ready|key-digest|trace|why|believed [flags]",
		Subcommands: commands,
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func checkCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "bridgehoistctl check TABLE",
		ShortHelp:  "check a table and print every finding",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return settings.UsageError("usage: bridgehoistctl check TABLE")
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			_, err = table.Parse(args[0], data)
			return err
		},
	}
}

func statusCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	operator := fs.String("operator", "", "http://IP:port of an entry's operator listener")
	asJSON := fs.Bool("json", false, "print JSON")
	clean := fs.Bool("require-no-violations", false, "exit 1 if an invariant was violated")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "bridgehoistctl status -operator http://IP:port",
		ShortHelp:  "print what an entry believes and how old each belief is",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			var st operatorapi.Status
			if err := get(ctx, *operator, operatorapi.PathStatus, nil, &st); err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(out).Encode(st)
			}
			writeStatus(out, &st)
			if *clean {
				return noViolations(&st)
			}
			return nil
		},
	}
}

func noViolations(st *operatorapi.Status) error {
	for name, n := range st.Violations {
		if n > 0 {
			return errors.Errorf("invariant %s was violated %d times", name, n)
		}
	}
	return nil
}

func explainCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	operator := fs.String("operator", "", "http://IP:port of an entry's operator listener")
	workspace := fs.String("workspace", "", "workspace of the request")
	kind := fs.String("kind", "", "kind of the request")
	tokens := fs.Int("prompt-tokens", 256, "length of the prompt; 0 for plain services")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "bridgehoistctl explain -operator http://IP:port -workspace W -kind K",
		ShortHelp:  "print the row, the limits, the candidates and the choice for a request",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			q := url.Values{
				operatorapi.ParamWorkspace:    {*workspace},
				operatorapi.ParamKind:         {*kind},
				operatorapi.ParamPromptTokens: {strconv.Itoa(*tokens)},
			}
			var x operatorapi.Explanation
			if err := get(ctx, *operator, operatorapi.PathExplain, q, &x); err != nil {
				return err
			}
			if !x.Found {
				return errors.Errorf("the table (revision %d) has no kind %q for workspace %q", x.Revision, *kind, *workspace)
			}
			writeExplanation(out, &x)
			return nil
		},
	}
}

func readyCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("wait-ready", flag.ContinueOnError)
	operator := fs.String("operator", "", "http://IP:port of an entry's operator listener")
	timeout := fs.Duration("timeout", 10*time.Second, "longest wait")
	return &ffcli.Command{
		Name:       "wait-ready",
		ShortUsage: "bridgehoistctl wait-ready -operator http://IP:port",
		ShortHelp:  "wait until an entry is ready",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			for {
				err := get(ctx, *operator, operatorapi.PathReady, nil, nil)
				if err == nil {
					return nil
				}
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					return errors.Wrap(err, "not ready in time")
				}
			}
		},
	}
}

func digestCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "key-digest",
		ShortUsage: "bridgehoistctl key-digest < KEY",
		ShortHelp:  "print the digest of an API key for the fleet list",
		Exec: func(context.Context, []string) error {
			key, err := io.ReadAll(io.LimitReader(os.Stdin, 4096))
			if err != nil {
				return err
			}
			sum := sha256.Sum256(trimNewline(key))
			fmt.Fprintln(out, hex.EncodeToString(sum[:]))
			return nil
		},
	}
}

func trimNewline(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return b
}

// client calls operator addresses.
var client = &http.Client{Transport: httpclient.New(&http.Transport{})}

// get reads JSON from an operator address; a nil result only checks the status.
func get(ctx context.Context, base, path string, q url.Values, result any) error {
	if base == "" {
		return settings.UsageError("-operator (" + settings.EnvName("operator") + "): not set")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path+"?"+q.Encode(), nil)
	if err != nil {
		return settings.UsageError(err.Error())
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(result)
}
