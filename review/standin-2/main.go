// Command standin-2 runs the deployment of the cases of the second review that are scripts: the
// project's own processes on loopback addresses, with small stand-ins for the platform's store,
// clients and backend servers.
//
// # Usage
//
//	standin-2 CASE PROGRAM RECORD
//
// With TROUBLE=0 in the environment, the case is played without its disruption. The exit code is 0
// if the rule was kept, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{file: file, start: time.Now()}
	code := 2
	switch os.Args[1] {
	case "config-storm":
		code = configStorm(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	case "foreign-heartbeat":
		code = foreignHeartbeat(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	default:
		rec.printf("there is no case %q", os.Args[1])
	}
	rec.printf("exit code %d", code)
	_ = file.Close()
	os.Exit(code)
}

func serveHTTP(l net.Listener, h http.Handler) { _ = http.Serve(l, h) }
