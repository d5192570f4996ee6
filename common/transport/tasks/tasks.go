// Package tasks groups the long-running tasks of a process, so that the process can stop
// when one of them ends and collect the errors of all.
//
// # Usage
//
//	g := tasks.Gather(link.Run(ctx), node.Run(ctx))
//	select {
//	case <-g.Ended(): // a task ended although ctx was not canceled
//	case <-ctx.Done():
//	}
//	err := g.Wait()
package tasks

import "errors"

// Group is a set of running tasks. Each sends one error, or nil, on its channel when it
// ends.
type Group struct {
	ended chan struct{}
	done  chan struct{}
	err   error
}

// Gather returns a group of the running tasks with these result channels.
func Gather(tasks ...<-chan error) *Group {
	g := &Group{ended: make(chan struct{}), done: make(chan struct{})}
	results := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { results <- <-t }()
	}
	go func() {
		defer close(g.done)
		for i := range tasks {
			g.err = errors.Join(g.err, <-results)
			if i == 0 {
				close(g.ended)
			}
		}
	}()
	return g
}

// Ended returns a channel that is closed when the first task has ended.
func (g *Group) Ended() <-chan struct{} { return g.ended }

// Wait blocks until all tasks have ended and returns their errors, joined.
func (g *Group) Wait() error {
	<-g.done
	return g.err
}
