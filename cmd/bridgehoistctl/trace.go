package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/logtrace"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

// traceCommand prints a request's way through the logs of a fleet.
func traceCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("trace", flag.ContinueOnError)
	request := fs.String("request", "", "id of the request")
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "bridgehoistctl trace -request ID LOG...",
		ShortHelp:  "print what the entries did with a request and what they believed then, from their logs",
		FlagSet:    fs,
		Exec: func(_ context.Context, files []string) error {
			if *request == "" || len(files) == 0 {
				return settings.UsageError("usage: bridgehoistctl trace -request ID LOG...")
			}
			lines, err := logtrace.Trace(*request, func() (io.ReadCloser, error) { return openAll(files) })
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no line names request %s", *request)
			}
			for _, l := range lines {
				fmt.Fprintln(out, l.Text)
			}
			return nil
		},
	}
}

// logFiles are files that are read one after the other.
type logFiles struct {
	io.Reader
	files []*os.File
}

func openAll(names []string) (io.ReadCloser, error) {
	all := &logFiles{}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			all.Close()
			return nil, err
		}
		all.files = append(all.files, f)
		readers = append(readers, f)
	}
	all.Reader = io.MultiReader(readers...)
	return all, nil
}

// Close closes all files; what was read of them is unaffected by a failure.
func (l *logFiles) Close() error {
	for _, f := range l.files {
		f.Close()
	}
	return nil
}
