package strictjson

import (
	"reflect"
	"strings"
)

// Missing returns the JSON names of the pointer fields of v, a struct, that are nil. After decoding
// they are those that the object lacked, and those that were null.
func Missing(v any) []string {
	var names []string
	value := reflect.ValueOf(v)
	for _, f := range reflect.VisibleFields(value.Type()) {
		if f.Type.Kind() == reflect.Pointer && value.FieldByIndex(f.Index).IsNil() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
