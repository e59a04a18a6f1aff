package main

import (
	"context"
	"fmt"
	"os"
)

// Exit codes (issue 77).
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the breaches of its rule; an error means that it could
// not run. isTroubled: with the disruption.
var cases = map[string]func(ctx context.Context, r *record, isTroubled bool) (breaches []string, err error){
	"misdirected": playMisdirected,
	"comments":    playComments,
	"path":        playPath,
	"budget":      playBudget,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	const wanted = 2
	if len(arguments) != wanted || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	isTroubled := os.Getenv("TROUBLE") != "0"
	r.write("case %s, with the disruption: %v", arguments[0], isTroubled)
	breaches, err := cases[arguments[0]](ctx, r, isTroubled)
	for _, breach := range breaches {
		r.write("BROKEN: %s", breach)
		fmt.Println("BROKEN:", breach)
	}
	if err != nil {
		r.write("not run: %v", err)
		fmt.Println("not run:", err)
	}
	if closeErr := r.close(); err != nil || closeErr != nil {
		return exitNotRun
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}
