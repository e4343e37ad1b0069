package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

func main() {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/chicoryturn", "the system's program")
	record := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for the processes' logs")
	flag.Parse()
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	full, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{
		dir: dir, program: full, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f, jobs: map[string]*submission{},
		roundTrip: 40 * time.Millisecond,
		client:    &http.Client{Timeout: 3200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	w.note("case %d, with the disruption: %v", *number, w.trouble)
	broken := play(w)
	w.dump()
	for _, b := range broken {
		w.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if *keep != "" {
		_ = os.CopyFS(*keep, os.DirFS(dir))
	}
	w.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	w.note("the rule held")
	fmt.Println("the rule held")
}
