package flow

import (
	"cmp"
	"slices"
)

// dumpedFlows bounds the flows that a dump lists.
const dumpedFlows = 1000

type (
	// Dump is the engine's state as it is shown on request.
	Dump struct {
		Held      int     `json:"held"`
		Directory int     `json:"directory"`
		Listed    []Entry `json:"listed"`
	}

	// Entry is one flow.
	Entry struct {
		Caller  string `json:"caller"`
		Service string `json:"service"`
		Stage   string `json:"stage"`
		Seconds int64  `json:"seconds"`
	}
)

// Dump returns the engine's state. Of many flows it lists a part.
func (e *Engine) Dump() Dump {
	now := e.now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	d := Dump{Held: len(e.flows), Directory: e.directory.Len()}
	for key, f := range e.flows {
		if len(d.Listed) == dumpedFlows {
			break
		}
		d.Listed = append(d.Listed, Entry{
			Caller:  key.Caller.String(),
			Service: key.Service.String(),
			Stage:   f.currentStage().String(),
			Seconds: int64(now.Sub(f.opened).Seconds()),
		})
	}
	slices.SortFunc(d.Listed, func(a, b Entry) int { return cmp.Compare(a.Caller, b.Caller) })
	return d
}
