// Command standins plays one case of the review: it starts the project's daemons as processes, and
// plays the platform's store, the engines and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a whole case.
const longest = 118 * time.Second

// play is one case. It returns whether the rule was broken.
type play func(b *bed, trouble bool) (broken bool, err error)

func main() {
	relay := flag.String("relay", "target/mintpulley-relay", "the daemon's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *relay, *record))
}

func runCase(name, relay, record string) int {
	cases := map[string]struct {
		zones []string
		play  play
	}{
		"backlog": {[]string{"zilina", "martin", "banska-bystrica", "zvolen"}, playBacklog},
		"large":   {[]string{"zilina", "martin", "banska-bystrica", "zvolen"}, playLarge},
		"chain":   {[]string{"zilina", "martin"}, playChain},
		"deadly":  {[]string{"zilina", "martin", "banska-bystrica", "zvolen"}, playDeadly},
		"excess":  {[]string{"zilina", "martin"}, playExcess},
		"owners":  {[]string{"akl-a", "akl-b", "akl-c"}, playOwners},
	}
	chosen, known := cases[name]
	if !known {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	r, err := newRecorder(record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	b, err := newBed(r, relay, chosen.zones)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		r.tell("The case could not run: %v", err)
		return exitNotRun
	}
	time.AfterFunc(longest, func() {
		b.close()
		r.tell("The case could not run: it takes too long.")
		r.close()
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %v", name, trouble)
	broken, err := chosen.play(b, trouble)
	switch {
	case err != nil:
		r.tell("The case could not run: %v", err)
		return exitNotRun
	case broken:
		r.tell("The rule was broken.")
		return exitBroken
	}
	r.tell("The rule held.")
	return exitHeld
}
