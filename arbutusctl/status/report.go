package status

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

type (
	// summary is the status of the deployment, as it is printed. It counts and lists only
	// live members. Following is how many of the Processes have Revision or a later one in
	// force. StoreReached is set only if the configuration in force could be read from the
	// store: not before the first apply, and not if the store returned an older revision.
	summary struct {
		Revision     uint64         `json:"revision"`
		Since        string         `json:"since"`
		Author       string         `json:"author"`
		Summary      string         `json:"summary"`
		Processes    int            `json:"processes"`
		Following    int            `json:"following"`
		DomainsOut   []string       `json:"domains_out"`
		Draining     []memberReport `json:"draining"`
		Behind       []memberReport `json:"behind"`
		Unreachable  []string       `json:"unreachable"`
		StoreReached bool           `json:"store_reached"`
		// Requests are the requests that waited or were refused in the last ten seconds.
		Requests []demandReport `json:"requests"`
		Members  []memberReport `json:"members"`
	}

	// memberReport is the status of one process.
	memberReport struct {
		Name         string `json:"name"`
		Role         string `json:"role"`
		Domain       string `json:"domain"`
		Service      string `json:"service"`
		Phase        string `json:"phase"`
		Revision     uint64 `json:"revision"`
		Flows        uint32 `json:"flows"`
		SilentMillis int64  `json:"silent_millis"`
	}
)

// summarize returns the summary of a status response. The drained backend servers and the failure
// domains that are out are taken from cfg; nil means that no configuration is in force, or that the
// store could not be read or returned an older revision. Members that are leaving are listed as
// draining, too.
func summarize(response *controlv1.StatusResponse, cfg *config.Config) summary {
	head := response.GetHead()
	s := summary{
		Revision:     head.GetRevision(),
		Author:       head.GetAccepted().GetAuthor(),
		Summary:      head.GetAccepted().GetSummary(),
		Unreachable:  response.GetUnreachable(),
		StoreReached: cfg != nil,
		Requests:     demandOf(response.GetMembers()),
	}
	if head != nil {
		s.Since = time.UnixMilli(head.GetAccepted().GetUnixMillis()).UTC().Format(time.RFC3339)
	}
	if cfg != nil {
		for _, d := range cfg.Domains {
			if d.State == config.DomainOut {
				s.DomainsOut = append(s.DomainsOut, d.Name)
			}
		}
	}
	for _, m := range response.GetMembers() {
		if !session.IsLive(m) {
			continue
		}
		r := newMemberReport(m)
		s.Members = append(s.Members, r)
		s.Processes++
		if m.GetRevision() >= s.Revision {
			s.Following++
		} else {
			s.Behind = append(s.Behind, r)
		}
		drained := cfg != nil && slices.Contains(cfg.Drained, r.Name)
		if drained || r.Phase == member.Leaving.String() {
			s.Draining = append(s.Draining, r)
		}
	}
	return s
}

// newMemberReport returns the status of one member.
func newMemberReport(m *controlv1.MemberStatus) memberReport {
	return memberReport{
		Name:         m.GetMember().GetName(),
		Role:         member.Role(m.GetMember().GetRole()).String(),
		Domain:       m.GetMember().GetDomain(),
		Service:      m.GetMember().GetService(),
		Phase:        member.Phase(m.GetMember().GetPhase()).String(),
		Revision:     m.GetRevision(),
		Flows:        m.GetFlows(),
		SilentMillis: m.GetSilentMillis(),
	}
}

// print prints the summary as JSON or as a table.
func (o *Options) print(s summary) error {
	if o.Session.JSON {
		return o.Session.Streams.PrintJSON(s)
	}
	rows := [][]string{
		{"revision", strconv.FormatUint(s.Revision, 10)},
		{"since", s.Since},
		{"by", s.Author + ": " + s.Summary},
		{"following", fmt.Sprintf("%d of %d processes", s.Following, s.Processes)},
	}
	for _, d := range s.DomainsOut {
		rows = append(rows, []string{"domain out", d})
	}
	for _, m := range s.Draining {
		rows = append(rows, []string{"draining", fmt.Sprintf("%s, %d flows left", m.Name, m.Flows)})
	}
	for _, m := range s.Behind {
		rows = append(rows, []string{"behind", fmt.Sprintf("%s at revision %d", m.Name, m.Revision)})
	}
	for _, name := range s.Unreachable {
		rows = append(rows, []string{"unreachable", name})
	}
	if !s.StoreReached {
		rows = append(rows, []string{"store", "not reached; failure domains out and drained backend servers are not shown"})
	}
	for _, r := range s.Requests {
		rows = append(rows, r.row())
	}
	for _, m := range s.Members {
		state := fmt.Sprintf("%s %s %s %s, %d flows", m.Name, m.Domain, m.Service, m.Phase, m.Flows)
		rows = append(rows, []string{m.Role, state})
	}
	return o.Session.Streams.PrintTable([]string{"what", "state"}, rows)
}

// findApply looks for the apply in the head in force and its history, as read from the store, and
// prints the revision that it resulted in. If it is not there, findApply returns an error with
// command.ExitConflict. As the history is bounded, that can also happen to an accepted apply that
// was made long ago.
func (o *Options) findApply(ctx context.Context) error {
	r, err := o.Session.ReadInForce(ctx)
	if err != nil {
		return err
	}
	if r != nil {
		for _, a := range append([]*controlv1.Accepted{r.Head.GetAccepted()}, r.Head.GetHistory()...) {
			if a.GetApplyId() == o.ApplyID {
				_, err := fmt.Fprintf(o.Session.Streams.Out, "accepted: revision %d\n", a.GetRevision())
				return err
			}
		}
	}
	return command.ExitError{
		Code: command.ExitConflict,
		Err: fmt.Errorf(
			"apply not found up to revision %d: not accepted, or too old to be listed; check arbutusctl diff and apply again",
			r.Number()),
	}
}
