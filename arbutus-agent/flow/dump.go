package flow

import (
	"cmp"
	"slices"
)

// maxDumpedFlows bounds the flows that a dump lists.
const maxDumpedFlows = 1000

type (
	// Dump is the state of an engine for inspection.
	Dump struct {
		Held      int     `json:"held"`
		Directory int     `json:"directory"`
		Listed    []Entry `json:"listed"`
	}

	// Entry is a held flow. Seconds is its age.
	Entry struct {
		Caller  string `json:"caller"`
		Service string `json:"service"`
		Stage   string `json:"stage"`
		Seconds int64  `json:"seconds"`
	}
)

// Dump returns the engine's state. It lists an arbitrary selection of up to
// maxDumpedFlows flows, ordered by caller.
func (e *Engine) Dump() Dump {
	now := e.now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	d := Dump{Held: len(e.flows), Directory: e.directory.Len()}
	for key, f := range e.flows {
		if len(d.Listed) == maxDumpedFlows {
			break
		}
		d.Listed = append(d.Listed, Entry{
			Caller:  key.Caller.String(),
			Service: key.Service.String(),
			Stage:   f.currentStage().String(),
			Seconds: int64(now.Sub(f.openedAt).Seconds()),
		})
	}
	slices.SortFunc(d.Listed, func(a, b Entry) int { return cmp.Compare(a.Caller, b.Caller) })
	return d
}
