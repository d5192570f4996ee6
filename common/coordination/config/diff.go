package config

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Change is one difference between two configurations: the path of a value, such as
// "domains.arcadia-a.state", with its old and new content. From is empty for an added
// value, To for a removed one.
type Change struct {
	Path string `json:"path"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Diff returns the changes that lead from one configuration to the other, sorted by
// path. List items are matched by name, strings by their value, and others by index.
func Diff(from, to Config) ([]Change, error) {
	before, err := flatten(from)
	if err != nil {
		return nil, err
	}
	after, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range after {
		if former, ok := before[path]; !ok || former != value {
			changes = append(changes, Change{Path: path, From: before[path], To: value})
		}
	}
	for path, value := range before {
		if _, kept := after[path]; !kept {
			changes = append(changes, Change{Path: path, From: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes, nil
}

// Disjoint reports whether two sets of changes have no path in common.
func Disjoint(a, b []Change) bool {
	for _, c := range a {
		if slices.ContainsFunc(b, func(d Change) bool { return c.Path == d.Path }) {
			return false
		}
	}
	return true
}

// flatten returns the configuration's scalar values, keyed by path.
func flatten(c Config) (map[string]string, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var tree any
	if err := json.Unmarshal(b, &tree); err != nil {
		return nil, Error.Wrap(err)
	}
	leaves := make(map[string]string)
	collect(leaves, "", tree)
	return leaves, nil
}

// collect adds the scalar values of a decoded JSON node to leaves.
func collect(leaves map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			collect(leaves, join(path, key), child)
		}
	case []any:
		for i, child := range node {
			collect(leaves, join(path, itemKey(i, child)), child)
		}
	case string:
		leaves[path] = node
	default:
		b, err := json.Marshal(node)
		if err == nil {
			leaves[path] = string(jsontext.Value(b))
		}
	}
}

// itemKey returns the path element of a list item: the string itself, the object's
// name, or else the index.
func itemKey(i int, item any) string {
	switch item := item.(type) {
	case string:
		return item
	case map[string]any:
		if name, ok := item["name"].(string); ok {
			return name
		}
	}
	return strconv.Itoa(i)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
