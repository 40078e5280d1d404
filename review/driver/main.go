package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldNt = 2
)

// cases plays each case and returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"brittle":   playBrittle,
	"limits":    playLimits,
	"memory":    playMemory,
	"nonanswer": playNonAnswer,
	"shares":    playShares,
	"surplus":   playSurplus,
	"unframed":  playUnframed,
	"version":   playVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(couldNt)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNt)
	}
	failed, err := cases[os.Args[1]](w)
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNt)
	case failed:
		os.Exit(broken)
	}
	os.Exit(held)
}
