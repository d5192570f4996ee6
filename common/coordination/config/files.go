package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"arbutusfront.dev/common/protocol/strictjson"
)

const (
	// MaxFileBytes is the largest accepted size of a configuration file, in bytes.
	MaxFileBytes = 1 << 20

	filePattern = "*.json"

	// deploymentPath is the JSON pointer of the deployment in its file.
	deploymentPath = "/deployment"
)

type (
	// file is the content of one configuration file.
	file struct {
		Deployment *Deployment `json:"deployment"`
		Domains    []Domain    `json:"domains"`
		Services   []Service   `json:"services"`
		Routes     []Route     `json:"routes"`
	}

	// source is the file that defines a part of the configuration. Its locate function
	// returns the line of a JSON pointer, or 0 if the pointer doesn't exist.
	source struct {
		file   string
		locate func(string) int
	}

	// loader merges the files into one configuration, and collects the source of each
	// part and the problems found.
	loader struct {
		config      Config
		deployments []source
		domains     []located
		services    []located
		routes      []located
		problems    strictjson.Problems
	}

	// located is the source of a part with its JSON pointer in the file.
	located struct {
		source
		path string
	}
)

// LoadDirectory merges all JSON files of a directory into one configuration and
// validates it. If it returns problems, the configuration must not be used.
func LoadDirectory(dir string) (Config, strictjson.Problems) {
	l := load(dir)
	return l.config.sorted(), l.problems
}

// load reads and validates all JSON files of a directory.
func load(dir string) *loader {
	var l loader
	names, err := filepath.Glob(filepath.Join(dir, filePattern))
	if err != nil || len(names) == 0 {
		l.problems = strictjson.Problems{{
			File:   dir,
			Detail: "no " + filePattern + " files",
			Remedy: "name a directory that holds the deployment's files",
		}}
		return &l
	}
	slices.Sort(names)
	for _, name := range names {
		l.read(name)
	}
	if len(l.problems) == 0 {
		l.check()
	}
	return &l
}

func (l *loader) read(name string) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > MaxFileBytes {
		l.problems = append(l.problems, strictjson.Problem{
			File:   name,
			Detail: fmt.Sprintf("the file has %d bytes, over the limit of %d", info.Size(), MaxFileBytes),
			Remedy: "split it into several files",
		})
		return
	}
	content, err := os.ReadFile(name)
	if err != nil {
		l.problems = append(l.problems, strictjson.Problem{
			File: name, Detail: err.Error(), Remedy: "make the file readable",
		})
		return
	}
	l.add(name, content)
}

func (l *loader) add(name string, content []byte) {
	var f file
	if problems := strictjson.Decode(name, content, &f); problems != nil {
		l.problems = append(l.problems, problems...)
		return
	}
	s := source{file: name, locate: strictjson.Locate(content)}
	if f.Deployment != nil {
		l.config.Deployment = *f.Deployment
		l.deployments = append(l.deployments, s)
	}
	for i, d := range f.Domains {
		l.config.Domains = append(l.config.Domains, d)
		l.domains = append(l.domains, located{s, fmt.Sprintf("/domains/%d", i)})
	}
	for i, service := range f.Services {
		l.config.Services = append(l.config.Services, service)
		l.services = append(l.services, located{s, fmt.Sprintf("/services/%d", i)})
	}
	for i, r := range f.Routes {
		l.config.Routes = append(l.config.Routes, r)
		l.routes = append(l.routes, located{s, fmt.Sprintf("/routes/%d", i)})
	}
}

// report adds a problem at a field of the located object, or at the object itself if
// field is empty. It falls back to the object's line if the file doesn't contain the
// field.
func (l *loader) report(at located, field, detail, remedy string) {
	p := at.place(field)
	l.problems = append(l.problems, strictjson.Problem{
		File: p.File, Line: p.Line, Path: p.Path, Detail: detail, Remedy: remedy,
	})
}
