package trace

import (
	"fmt"
	"strings"
	"time"
)

const (
	eventPlaced   = "flow_placed"
	eventPassedOn = "flow_passed_on"
	eventReset    = "flow_reset"
	eventWaits    = "flow_waits"

	keyReason  = "reason"
	keyOutcome = "outcome"
	keyRoute   = "route"
	keyWait    = "wait"

	// maxRetryPause is the longest time between the lines of one attempt to open a flow. Callers
	// give up a SYN after 1.4 s.
	maxRetryPause = 2 * time.Second
)

// explainRefusals sets the explanation of each line about a refused or deferred request. The lines
// must be in order of time.
func explainRefusals(timeline []Entry) {
	for i, e := range timeline {
		if e.OfFlow {
			timeline[i].Explanation = explain(e, attemptBefore(timeline[:i], e))
		}
	}
}

// attemptBefore returns the lines about the same attempt to open the flow that precede e.
func attemptBefore(earlier []Entry, e Entry) []Entry {
	var attempt []Entry
	for _, other := range earlier {
		if other.OfFlow && e.Time.Sub(other.Time) <= maxRetryPause &&
			other.value(keyCaller) == e.value(keyCaller) && other.value(keyService) == e.value(keyService) {
			attempt = append(attempt, other)
		}
	}
	return attempt
}

// explain returns why the request was refused or deferred, or "" if the line is about something
// else. It leaves out what the line does not contain, such as one of an earlier version.
func explain(e Entry, attempt []Entry) string {
	var s sentences
	switch {
	case e.Event == eventWaits && e.value(keyOutcome) == "deferred":
		s.addf("agent %s gave the request nothing, as its caller repeats the SYN in time", e.Process)
		s.addDecision(e, attempt)
	case e.Event != eventReset:
	case e.value(keyReason) == "no_capacity_in_time":
		s.addf("agent %s refused the request, as it can't be answered in time there", e.Process)
		s.addDecision(e, attempt)
		s.addPassedOn(attempt)
	case e.value(keyReason) == "waited_too_long":
		s.addf("agent %s refused the request after it had waited for %s", e.Process, e.valueOr("waited", "too long"))
		s.addIf(e, "expected", "when it arrived, %s were expected")
		s.addDecision(e, attempt)
		s.addPassedOn(attempt)
	case e.value(keyReason) == "all_agents_refuse":
		s.addEntryRefusal(e)
	case e.value(keyReason) == "no_agent_admits":
		s.addf("agent %s refused the request, as no agent of the service that it has not visited admits new flows", e.Process)
		s.addPassedOn(attempt)
	case e.value(keyReason) == "all_servers_busy":
		s.addf("agent %s refused the request, as all backend servers that were tried are at capacity, and its buffer is full",
			e.Process)
		s.addPassedOn(attempt)
	}
	return strings.Join(s, "; ")
}

// sentences are the parts of an explanation.
type sentences []string

func (s *sentences) addf(format string, args ...any) { *s = append(*s, fmt.Sprintf(format, args...)) }

// addIf adds the format with the values of the keys if the line has all of them. The first key is
// given separately.
func (s *sentences) addIf(e Entry, key, format string, more ...string) {
	var values []any
	for _, k := range append([]string{key}, more...) {
		if e.value(k) == "" {
			return
		}
		values = append(values, e.value(k))
	}
	s.addf(format, values...)
}

// addDecision adds what an agent compared.
func (s *sentences) addDecision(e Entry, attempt []Entry) {
	for _, placed := range attempt {
		if placed.Event == eventPlaced {
			s.addIf(placed, keyRoute, "route %s")
			break
		}
	}
	s.addIf(e, "target", "target latency %s, priority %s, caller trying for %s", "priority", "age")
	if e.value("other_domain") == "true" {
		s.addf("the caller belongs to another failure domain")
	}
	if strings.HasPrefix(e.value("allowed"), "-") {
		s.addf("too late for its target latency even without a further wait")
	} else {
		s.addIf(e, keyWait, "expected wait %s, at most %s to be in time", "allowed")
	}
	if e.value("late_wait") == "none_left" {
		s.addf("other requests leave no capacity for late ones")
	} else {
		s.addIf(e, "late_wait", "as a late request %s, at most %s", "late_allowed")
	}
	s.addIf(e, "requests", "%s requests at the backend server with %s slots, %s waiting", "slots", "waiting")
	if e.value("learned") == "false" {
		s.addf("durations are assumed, as the agent has seen no answer yet")
	}
	s.addf("figures of the agent itself at that time")
}

// addEntryRefusal adds why a balancer refused a request at the entry.
func (s *sentences) addEntryRefusal(e Entry) {
	s.addf("balancer %s refused the request at the entry", e.Process)
	s.addIf(e, "refusing", "%s of %s agents of the service have reported that they refuse its class", "agents")
	s.addIf(e, keyRoute, "route %s")
	s.addIf(e, "target", "target latency %s, priority %s, caller trying for %s", "priority", "age")
	s.addIf(e, keyWait, "shortest expected wait %s, at %s in %s", keyAgent, "agent_domain")
	s.addIf(e, "left", "%s of the target latency left, which is too little by the agents' figures")
	s.addIf(e, "load_age", "that report was %s old, and valid for another %s", "valid_for")
}

// addPassedOn adds the agents that passed the flow on before.
func (s *sentences) addPassedOn(attempt []Entry) {
	var agents []string
	for _, e := range attempt {
		if e.Event == eventPassedOn {
			agents = append(agents, fmt.Sprintf("%s (%s)", e.Process, e.valueOr(keyReason, "no reason")))
		}
	}
	if len(agents) > 0 {
		s.addf("passed on before by %s", strings.Join(agents, ", "))
	}
}

// valueOr returns the value of the key, or the alternative if the line doesn't contain it.
func (e Entry) valueOr(key, alternative string) string {
	if v := e.value(key); v != "" {
		return v
	}
	return alternative
}
