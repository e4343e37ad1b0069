// Command standin2 plays the cases of the review: it starts the nodes of the project as
// processes, and stand-ins of the platform, the minions and the clients around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. Each returns its exit status and what it saw.
var cases = map[string]func(w *world, trouble bool) (int, string){
	"ends":   playEnds,
	"cancel": playCancel,
	"route":  playRoute,
	"gang":   playGang,
	"rows":   playRows,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return notRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		status int
		text   string
	}
	done := make(chan result, 1)
	go func() {
		status, text := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
		done <- result{status, text}
	}()
	r := result{notRun, "the case was stopped"}
	select {
	case r = <-done:
	case <-stopped:
	case <-time.After(maxTime):
		r.text = "the case took too long"
	}
	w.log.printf("result: %s", r.text)
	fmt.Println(r.text)
	return r.status
}
