package config

import (
	"strings"

	"arbutusfront.dev/common/protocol/strictjson"
)

type (
	// Place is where a file defines a value. Line counts from 1; 0 stands for the whole file. Path is
	// the JSON pointer of the value.
	Place struct {
		File string
		Line int
		Path string
	}

	// Sources has the places of a loaded configuration's entries.
	Sources struct {
		deployment                located
		domains, services, routes map[string]located
		// entries has the name of each entry by file and JSON pointer.
		entries map[string]string
	}
)

// LoadWithSources is LoadDirectory. In addition, it returns where the files define the entries.
func LoadWithSources(dir string) (Config, Sources, strictjson.Problems) {
	l := load(dir)
	return l.config.sorted(), l.sources(), l.problems
}

// Deployment returns the place of a field of the deployment. The field is a JSON pointer without its
// leading slash, such as "limits/heartbeat_millis". If the file doesn't contain the field, the
// line is that of the deployment. The same holds for the other methods.
func (s Sources) Deployment(field string) Place { return s.deployment.place(field) }

// Domain returns the place of a field of the named failure domain, or of the failure domain itself if
// field is empty.
func (s Sources) Domain(name, field string) Place { return s.domains[name].place(field) }

// Service returns the place of a field of the named service.
func (s Sources) Service(name, field string) Place { return s.services[name].place(field) }

// Route returns the place of a field of the named route.
func (s Sources) Route(name, field string) Place { return s.routes[name].place(field) }

// EntryAt returns the entry to which the JSON pointer in the file belongs, such as "service
// desk". It is empty if there is none.
func (s Sources) EntryAt(file, path string) string {
	for {
		if entry, ok := s.entries[file+path]; ok {
			return entry
		}
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			return ""
		}
		path = path[:i]
	}
}

// place returns the place of a field of the located object, or of the object itself if field
// is empty.
func (at located) place(field string) Place {
	p := Place{File: at.file, Path: at.path}
	if at.locate == nil {
		return p
	}
	if field != "" {
		p.Path += "/" + field
	}
	if p.Line = at.locate(p.Path); p.Line == 0 {
		p.Line = at.locate(at.path)
	}
	return p
}

// sources returns the places of the entries, in the order in which the files were read.
func (l *loader) sources() Sources {
	s := Sources{
		domains: make(map[string]located), services: make(map[string]located), routes: make(map[string]located),
		entries: make(map[string]string),
	}
	for _, source := range l.deployments {
		s.deployment = located{source, deploymentPath}
		s.entries[source.file+deploymentPath] = "deployment"
	}
	for i, d := range l.config.Domains {
		s.domains[d.Name] = l.domains[i]
		s.entries[l.domains[i].file+l.domains[i].path] = "failure domain " + d.Name
	}
	for i, service := range l.config.Services {
		s.services[service.Name] = l.services[i]
		s.entries[l.services[i].file+l.services[i].path] = "service " + service.Name
	}
	for i, r := range l.config.Routes {
		s.routes[r.Name] = l.routes[i]
		s.entries[l.routes[i].file+l.routes[i].path] = "route " + r.Name
	}
	return s
}
