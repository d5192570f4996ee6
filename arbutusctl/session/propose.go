package session

import (
	"context"
	"fmt"
	"time"

	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

const (
	// ApplyTimeout bounds an apply, including the retries by which it determines its outcome.
	ApplyTimeout = 15 * time.Second
	// WaitTimeout is how long --wait waits until a revision is in force everywhere.
	WaitTimeout = 30 * time.Second

	// waitInterval is the time between two status queries of --wait.
	waitInterval = 200 * time.Millisecond
)

// Propose applies the proposal under a new apply ID and the session's author, and prints the
// outcome if the apply was accepted or changed nothing. It pushes an accepted revision to the
// balancers and, with wait, waits until that revision is in force everywhere. For all other
// outcomes it prints nothing and returns an error, whose exit code distinguishes a conflict, an
// unknown outcome and an unreachable store. An error of the proposal's Change that has a more
// specific exit code, such as a UsageError, is returned unchanged.
func (s *Session) Propose(ctx context.Context, p config.Proposal, wait bool) error {
	applier, err := s.Applier()
	if err != nil {
		return err
	}
	p.ID = s.ApplyID()
	p.Author = s.Author()
	applyCtx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	outcome := applier.Apply(applyCtx, p)
	if err := outcomeError(outcome, p.ID); err != nil {
		return err
	}
	if err := s.reportOutcome(outcome); err != nil {
		return err
	}
	if outcome.Result != config.Accepted {
		return nil
	}
	s.push(ctx, outcome.Current)
	if wait {
		return s.WaitInForce(ctx, outcome.Revision)
	}
	return nil
}

// WaitInForce waits until all live processes have the revision or a later one in force, and
// prints how long that took. It keeps waiting while a balancer is unreachable. After
// WaitTimeout, or if ctx is canceled, it returns an error with command.ExitTimeout. It fails at
// once if the settings can't be loaded.
func (s *Session) WaitInForce(ctx context.Context, revision uint64) error {
	peers, err := s.Peers()
	if err != nil {
		return err
	}
	started := s.Now()
	ctx, cancel := context.WithTimeout(ctx, WaitTimeout)
	defer cancel()
	for {
		status, err := peers.Status(ctx)
		if err == nil && len(MembersBehind(status, revision)) == 0 && len(status.GetUnreachable()) == 0 {
			_, err := fmt.Fprintf(s.Streams.Out, "revision %d in force everywhere after %.1f s\n",
				revision, s.Now().Sub(started).Seconds())
			return err
		}
		select {
		case <-ctx.Done():
			return command.ExitError{
				Code: command.ExitTimeout,
				Err:  fmt.Errorf("revision %d is accepted, but not in force everywhere yet; see arbutusctl status", revision),
			}
		case <-time.After(waitInterval):
		}
	}
}

// push sends an accepted revision to the balancers, so that it spreads even if the store
// becomes unreachable right after the apply. It does nothing if r is nil or the settings can't
// be loaded. A failed push is only printed: balancers also watch the store and fetch the
// revision from there.
func (s *Session) push(ctx context.Context, r *config.Revision) {
	if r == nil {
		return
	}
	peers, err := s.Peers()
	if err != nil {
		return
	}
	if _, err := peers.Push(ctx, r); err != nil {
		fmt.Fprintf(s.Streams.Err, "accepted, but not pushed to any balancer; they will fetch it from the store: %v\n", err)
	}
}

// reportOutcome prints the outcome of an apply that was accepted or changed nothing.
func (s *Session) reportOutcome(o config.Outcome) error {
	if s.JSON {
		return s.Streams.PrintJSON(struct {
			Result   config.Result `json:"result"`
			Revision uint64        `json:"revision"`
			Rebased  bool          `json:"rebased"`
		}{o.Result, o.Revision, o.Rebased})
	}
	suffix := ""
	if o.Rebased {
		suffix = ", on top of another change that does not touch it"
	}
	_, err := fmt.Fprintf(s.Streams.Out, "%s: revision %d%s\n", o.Result, o.Revision, suffix)
	return err
}

// outcomeError returns nil if the apply was accepted or changed nothing. Otherwise, it returns
// an error with the exit code of the outcome. An error that has a more specific exit code, such
// as a usage error of the proposal's Change, is returned unchanged.
func outcomeError(o config.Outcome, id string) error {
	switch o.Result {
	case config.Accepted, config.Unchanged:
		return nil
	case config.Conflict:
		return command.ExitError{Code: command.ExitConflict, Err: fmt.Errorf(
			"conflict: %s; nothing has changed; see arbutusctl diff and apply again", describeInForce(o))}
	case config.Unknown:
		return command.ExitError{Code: command.ExitUnknown, Err: fmt.Errorf(
			"outcome unknown: the store stopped answering; find out by arbutusctl status --apply-id %s: %w", id, o.Err)}
	default:
		if code := command.CodeOf(o.Err); code != command.ExitFailure && code != command.ExitTimeout {
			return o.Err
		}
		return command.ExitError{Code: command.ExitUnreachable, Err: fmt.Errorf(
			"not accepted, nothing has changed; check the store and apply again: %w", o.Err)}
	}
}

// describeInForce returns the number of the revision in force and, if known, its author and
// summary.
func describeInForce(o config.Outcome) string {
	if o.Current == nil {
		return fmt.Sprintf("revision %d is in force", o.Revision)
	}
	by := o.Current.Head.GetAccepted()
	return fmt.Sprintf("revision %d by %s (%s) is in force", o.Revision, by.GetAuthor(), by.GetSummary())
}

// ReadInForce reads the revision in force from the store. It returns nil if there is none yet,
// and an error with command.ExitUnreachable if the store can't be read. It also fails if the
// settings can't be loaded.
func (s *Session) ReadInForce(ctx context.Context) (*config.Revision, error) {
	applier, err := s.Applier()
	if err != nil {
		return nil, err
	}
	r, err := applier.Read(ctx)
	if err != nil {
		return nil, command.ExitError{
			Code: command.ExitUnreachable,
			Err:  fmt.Errorf("can't read what is in force; check the store: %w", err),
		}
	}
	return r, nil
}
