package main

import (
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
)

// progress shows on a terminal how many runs are done; elsewhere it shows nothing.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(w io.Writer, runs int) progress {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return progress{}
	}
	return progress{progressbar.NewOptions(runs,
		progressbar.OptionSetWriter(w),
		progressbar.OptionSetDescription("runs"),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(100*time.Millisecond),
		progressbar.OptionClearOnFinish(),
	)}
}

// add counts one run. Failures to draw are passed over.
func (p progress) add() {
	if p.bar != nil {
		_ = p.bar.Add(1)
	}
}

func (p progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
