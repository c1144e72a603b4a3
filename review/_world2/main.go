// Command world plays the scripted cases of the second review: it starts entries with the
// command of the deploy file, and small stand-ins of the store, replicas and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// outcome is the exit code of a case.
type outcome int

const (
	held      outcome = 0
	broken    outcome = 1
	cannotRun outcome = 2
)

// world is what a case runs in.
type world struct {
	// folder is that of the case, scratch a temporary one.
	folder, scratch string
	// trouble is false if the case runs without its disruption.
	trouble bool
	record  *record
	store   *store
	entries []*entry
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.record.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

var cases = map[string]func(w *world) (outcome, error){
	"unannounced-run":     unannouncedRun,
	"long-prompt":         longPrompt,
	"pause-after-restart": pauseAfterRestart,
	"new-prompt":          newPrompt,
	"crash-after-event":   crashAfterEvent,
	"short-prompt":        shortPrompt,
}

func main() {
	os.Exit(int(run()))
}

func run() outcome {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER")
		return cannotRun
	}
	w := &world{folder: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	fail := func(err error) outcome {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return cannotRun
	}
	var err error
	if w.record, err = newRecord(w.folder); err != nil {
		return fail(err)
	}
	if w.scratch, err = os.MkdirTemp("", "review-"); err != nil {
		return fail(err)
	}
	defer os.RemoveAll(w.scratch)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		// The entries end with this process.
		_ = os.RemoveAll(w.scratch)
		os.Exit(int(cannotRun))
	}()
	if w.store, err = startStore(); err != nil {
		return fail(err)
	}
	defer func() {
		for _, e := range w.entries {
			e.kill()
		}
	}()
	code, err := cases[os.Args[1]](w)
	if err != nil {
		return fail(err)
	}
	return code
}
