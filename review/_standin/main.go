package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

// cases are the plays, by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"watch-cut": watchCut, "memory": memory, "deadly": deadly, "truncated": truncated, "late-order": lateOrder,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		n, _ := strconv.Atoi(os.Args[4])
		fmt.Fprintln(os.Stderr, streamReplica(os.Args[2], os.Args[3], n))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// A case that is stopped early ends its processes too.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.say("the case was stopped")
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w)
	status := 0
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		status = 2
	case broken:
		w.say("the rule was broken")
		status = 1
	default:
		w.say("the rule held")
	}
	w.close()
	os.Exit(status)
}
