//go:build review

// Command standin plays the cases of the review: it starts sidecars as separate
// processes between a store, backend servers and clients of its own, and checks one
// rule from what these see. It exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRunTime bounds a case; everything is ended then.
const maxRunTime = 110 * time.Second

// cases are the cases by the name of their folder.
var cases = map[string]func(*fleet, bool) (broken bool, err error){
	"appended":  answerAppended,
	"truncated": answerTruncated,
	"owners":    twoOwners,
	"drain":     drainedServer,
	"uploads":   uploadsAtOnce,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case, writes its record and returns the exit code.
func play(name, folder string, trouble bool) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	record.logf("case %s, trouble %v", name, trouble)
	f, err := newFleet(record)
	if err != nil {
		record.logf("could not run: %v", err)
		return 2
	}
	defer f.close()
	giveUp := func(cause string) {
		record.logf("could not run: %s", cause)
		f.close()
		os.Exit(2)
	}
	time.AfterFunc(maxRunTime, func() { giveUp("not done in time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		record.logf("could not run: %v", err)
		return 2
	case broken:
		record.logf("result: the rule was broken")
		return 1
	}
	record.logf("result: the rule held")
	return 0
}
