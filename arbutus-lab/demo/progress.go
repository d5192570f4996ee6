package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"arbutusfront.dev/arbutus-lab/cluster"
)

const progressInterval = 500 * time.Millisecond

// printf prints a line on the standard output.
func (o *Options) printf(format string, args ...any) {
	fmt.Fprintf(o.Streams.Out, format+"\n", args...)
}

// progress prints the counts to a terminal each progressInterval until the returned
// function is called. Without a terminal it does nothing.
func (o *Options) progress(n *counters) func() {
	if !o.Streams.OutIsTerminal {
		return func() {}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(progressInterval):
				fmt.Fprintf(o.Streams.Err, "\r%d answered, %d broken ", n.answered.Load(), n.broken.Load())
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		fmt.Fprintln(o.Streams.Err)
	}
}

// ctl runs arbutusctl and returns its error.
func ctl(ctx context.Context, c *cluster.Cluster, args ...string) error {
	_, err := c.Ctl(ctx, args...)
	return err
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}
