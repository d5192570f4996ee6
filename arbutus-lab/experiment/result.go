package experiment

import (
	"maps"
	"os"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"arbutusfront.dev/common/protocol/strictjson"
)

// Causes of a long flow's end. The first that applies is counted: ByFailure, ByDomain,
// ByPlanned.
const (
	// ByDomain stands for a flow whose failure domain was taken out.
	ByDomain Cause = "failure domain out"
	// ByFailure stands for a flow whose agent was killed or frozen during the run.
	ByFailure Cause = "killed or frozen"
	// ByPlanned stands for any other flow, whose end is attributed to a planned change.
	ByPlanned Cause = "planned change"
)

type (
	// Cause names why a long flow ended.
	Cause string

	// Result holds the measurements of one run of an experiment.
	Result struct {
		Experiment Experiment `json:"experiment"`
		File       string     `json:"file"`
		Commit     string     `json:"commit"`
		Started    string     `json:"started"`
		Seconds    []Second   `json:"seconds"`
		Events     []Event    `json:"events"`
		Ends       []Ends     `json:"ends"`
		Imbalance  []Sample   `json:"imbalance"`
		Latencies  []Latency  `json:"latencies"`
		Baselines  []Baseline `json:"baselines"`
	}

	// Second counts the requests that were due in one second, by outcome.
	Second struct {
		Due      int `json:"due"`
		Answered int `json:"answered"`
		Broken   int `json:"broken"`
	}

	// Event is a change that was made.
	Event struct {
		// AtMillis is when the change began, after the start of the load.
		AtMillis int64  `json:"at_millis"`
		Name     string `json:"name"`
	}

	// Ends is the number of long flows that ended by one cause.
	Ends struct {
		Cause Cause `json:"cause"`
		Flows int   `json:"flows"`
	}

	// Sample is the imbalance at one time: the largest number of flows of a backend
	// server divided by the mean, over the backend servers that accept new flows.
	Sample struct {
		AtMillis    int64   `json:"at_millis"`
		MaxOverMean float64 `json:"max_over_mean"`
	}

	// Latency summarizes the latency of one kind of requests, measured from when each was
	// due.
	Latency struct {
		Requests  string `json:"requests"`
		P50Micros int64  `json:"p50_micros"`
		P99Micros int64  `json:"p99_micros"`
		MaxMicros int64  `json:"max_micros"`
	}
)

// Write writes the result to the file as JSON.
func (r *Result) Write(file string) error {
	b, err := json.Marshal(r, jsontext.WithIndent("  "))
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o600)
}

// ReadResult reads a result from the file. Invalid content is returned as
// strictjson.Problems.
func ReadResult(file string) (*Result, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := new(Result)
	if problems := strictjson.Decode(file, content, r); problems != nil {
		return nil, problems
	}
	return r, nil
}

// EndedBy returns the number of long flows that ended by the cause.
func (r *Result) EndedBy(cause Cause) int {
	i := slices.IndexFunc(r.Ends, func(e Ends) bool { return e.Cause == cause })
	if i < 0 {
		return 0
	}
	return r.Ends[i].Flows
}

// imbalance returns the largest number of flows divided by the mean, or 0 without flows.
func imbalance(held map[string]int) float64 {
	sum := 0
	for _, n := range held {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(slices.Collect(maps.Values(held)))) * float64(len(held)) / float64(sum)
}
