package main

import (
	"fmt"
	"os"
)

// cases are the scripts, by name.
var cases = map[string]func(*world) error{
	"stop-with-queue":   stopWithQueue,
	"readers-restarted": readersRestarted,
	"new-seeds":         newSeeds,
	"not-an-answer":     notAnAnswer,
	"delegated-abroad":  delegatedAbroad,
	"bound-and-cut":     boundAndCut,
	"cut-and-hang":      cutAndHang,
	"last-tenant":       lastTenant,
	"ran-and-503":       ranAnd503,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE RECORD, in the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	w, err := newWorld(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](w)
	if err != nil {
		w.logf("the case could not run: %v", err)
	}
	w.end(os.Args[2])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(w.broken) > 0:
		for _, b := range w.broken {
			fmt.Println("broken:", b)
		}
		os.Exit(1)
	}
	fmt.Println("held")
}
