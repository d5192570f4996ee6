package rules

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/state/admission"
)

// classRules are about the request classes of one service.
func classRules() []Rule {
	return []Rule{
		{
			"class_without_code",
			"config.NewClassCodes (common/coordination/config): packets name a class by a code of one byte, and a service has " +
				"64 at most",
			(*checker).checkCodes,
		},
		{
			"route_without_class",
			"admission.Queue.Configure (common/state/admission): requests without a class get the shortest target latency and " +
				"the lowest weight of all classes",
			(*checker).checkUnclassified,
		},
		{
			"priority_without_effect",
			"admission.Weights (common/state/admission): the weight falls by a factor of 1.5 with each priority, to half of " +
				"an equal share at least",
			(*checker).checkPriorities,
		},
	}
}

func (c *checker) checkCodes() {
	coded := c.Config.Classes()
	for _, s := range c.Config.Services {
		classes := c.classesOf(s.Name)
		if len(classes) <= len(coded[s.Name]) {
			continue
		}
		var names []string
		for _, e := range c.byService[s.Name] {
			if !e.Requests.IsZero() && !slices.Contains(coded[s.Name], e.Requests) {
				names = append(names, e.String())
			}
		}
		c.reportService(s.Name, "name",
			fmt.Sprintf("its routes have %d request classes, of which %d can have a code: the requests of %s count as those "+
				"without a class", len(classes), len(coded[s.Name]), listed(names)),
			"use the same requests for several routes")
	}
}

func (c *checker) checkUnclassified() {
	for _, s := range c.Config.Services {
		classes := c.classesOf(s.Name)
		if len(classes) == 0 {
			continue
		}
		shortest := admission.AssumedTarget
		for _, class := range classes {
			if class.TargetLatencyMillis > 0 {
				shortest = min(shortest, class.TargetLatency())
			}
		}
		for _, e := range c.byService[s.Name] {
			if e.Requests.IsZero() {
				c.reportEntry(e, "name",
					fmt.Sprintf("it has no requests, but others that lead to service %s have: its requests get the lowest weight "+
						"there, and a target latency of %s", s.Name, millis(shortest)),
					"state requests for it")
			}
		}
	}
}

func (c *checker) checkPriorities() {
	for _, s := range c.Config.Services {
		byWeight := make(map[float64][]int)
		for priority, w := range admission.Weights(c.classesOf(s.Name)) {
			byWeight[w] = append(byWeight[w], priority)
		}
		for _, w := range slices.Sorted(maps.Keys(byWeight)) {
			if len(byWeight[w]) > 1 {
				c.reportService(s.Name, "name",
					fmt.Sprintf("requests of the priorities %s are treated alike: each has the lowest weight, half of an equal share",
						joined(byWeight[w])),
					"use fewer priorities, or numbers that are closer together")
			}
		}
	}
}

// joined returns the numbers for a message, in order.
func joined(numbers []int) string {
	slices.Sort(numbers)
	texts := make([]string, 0, len(numbers))
	for _, n := range numbers {
		texts = append(texts, strconv.Itoa(n))
	}
	return strings.Join(texts, ", ")
}

// longestTarget returns the class with the longest target latency, and whether there is a class.
func longestTarget(classes []config.RequestClass) (config.RequestClass, bool) {
	var longest config.RequestClass
	for _, class := range classes {
		if class.TargetLatencyMillis > longest.TargetLatencyMillis {
			longest = class
		}
	}
	return longest, longest.TargetLatencyMillis > 0
}
