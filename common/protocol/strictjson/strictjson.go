// Package strictjson decodes JSON files and reports mistakes with file, line, path and
// remedy.
//
// # Usage
//
//	var cfg Config
//	problems := strictjson.Decode("services.json", b, &cfg)
//	line := strictjson.Locate(b)("/services/0/port")
//
// Unknown fields, duplicate fields, wrong types and trailing data are errors.
package strictjson

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

type (
	// Problem is one mistake in a file.
	Problem struct {
		File string
		// Line counts from 1; 0 stands for the whole file.
		Line int
		// Path is the JSON pointer of the wrong value.
		Path string
		// Detail says what is wrong.
		Detail string
		// Remedy says how to correct it.
		Remedy string
	}

	// Problems is a list of mistakes, which can be returned as one error.
	Problems []Problem
)

// Error implements error. It returns one line: "file:line: path: detail; remedy".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, ": %s", p.Path)
	}
	fmt.Fprintf(&b, ": %s", p.Detail)
	if p.Remedy != "" {
		fmt.Fprintf(&b, "; %s", p.Remedy)
	}
	return b.String()
}

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Decode decodes content into v, which must be a pointer. File is the name that problems
// refer to. The result is nil or has a single problem, since decoding stops at the first.
func Decode(file string, content []byte, v any) Problems {
	err := json.Unmarshal(content, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	p := Problem{File: file, Line: 1, Detail: err.Error(), Remedy: "correct the file's syntax"}
	var syntactic *jsontext.SyntacticError
	var semantic *json.SemanticError
	switch {
	case errors.As(err, &syntactic):
		p.Line = lineAt(content, int(syntactic.ByteOffset))
		p.Path = string(syntactic.JSONPointer)
		p.Detail = syntactic.Err.Error()
	case errors.As(err, &semantic):
		p.Path = string(semantic.JSONPointer)
		p.Line = cmp.Or(Locate(content)(p.Path), lineAt(content, int(semantic.ByteOffset)))
		p.Detail, p.Remedy = explain(semantic)
	case errors.Is(err, io.ErrUnexpectedEOF):
		p.Line = lineAt(content, len(content))
		p.Detail = "the file ends too early"
	}
	return Problems{p}
}

// Locate returns a function that returns the line of a JSON pointer in content, or 0 if
// the pointer does not exist there.
func Locate(content []byte) func(pointer string) int {
	lines := make(map[string]int)
	d := jsontext.NewDecoder(bytes.NewReader(content))
	for {
		if _, err := d.ReadToken(); err != nil {
			break
		}
		pointer := string(d.StackPointer())
		if _, seen := lines[pointer]; !seen {
			lines[pointer] = lineAt(content, int(d.InputOffset()))
		}
	}
	return func(pointer string) int { return lines[pointer] }
}

func explain(err *json.SemanticError) (detail, remedy string) {
	if errors.Is(err, json.ErrUnknownName) {
		return "unknown field", "remove it or correct its name"
	}
	if err.GoType != nil && err.JSONKind != 0 {
		return fmt.Sprintf("a %s can't be used here", err.JSONKind), "give a value of type " + err.GoType.String()
	}
	if err.Err != nil {
		return err.Err.Error(), "correct the value"
	}
	return "wrong value", "correct the value"
}

func lineAt(content []byte, offset int) int {
	return 1 + bytes.Count(content[:min(offset, len(content))], []byte{'\n'})
}
