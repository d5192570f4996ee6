package strictjson

import (
	"testing"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/gomega"
)

// TestMissing guards against a missing or null field that is taken for one with the zero value.
func TestMissing(t *testing.T) {
	type object struct {
		Name     *string `json:"name"`
		Count    *int    `json:"count"`
		Optional int     `json:"optional"`
	}
	for content, want := range map[string][]string{
		`{"name":"","count":0}`:               nil,
		`{"name":"a","count":1,"optional":2}`: nil,
		`{"name":null,"count":0}`:             {"name"},
		`{"count":0}`:                         {"name"},
		`{}`:                                  {"name", "count"},
	} {
		g := NewWithT(t)
		var o object
		g.Expect(json.Unmarshal([]byte(content), &o)).To(Succeed())
		g.Expect(Missing(o)).To(Equal(want), content)
	}
}
