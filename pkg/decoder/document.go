// Package decoder decodes INI files against a schema. A base file and overlays
// are merged key by key, and every violation of the schema is reported with the
// file, line, section, key and accepted values.
//
// # Usage
//
//	document, err := decoder.Parse(decoder.Source{Name: "base.ini", Data: data})
//	err = document.Decode(func(section *decoder.Section) ([]decoder.Field, bool) {
//		...
//	}, "[server], [client.NAME]", "server")
//
// Unknown sections and keys violate the schema too. Decode reports all
// violations at once as [SchemaErrors].
package decoder

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Source is one INI file.
type Source struct {
	// Name is shown in error messages.
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Position is the position of a key or section; line zero means the whole file.
type Position struct {
	File string
	Line int
}

// Section is one section of the merged document. Its name is split at the
// first dot into a kind and a name: "model.assist" has kind "model".
type Section struct {
	Kind string
	Name string
	// Position is that of the section's first header.
	Position Position

	keys []keyValue
}

// keyValue is one key of a section, from the last file that sets it.
type keyValue struct {
	name     string
	value    string
	position Position
}

// Document is the result of merging all sources.
type Document struct {
	// name is the name of the first source.
	name     string
	sections []*Section
}

// Parse merges sources in order; a key in a later source overrides the same key
// in an earlier one. The error is of KindSyntax; a key that is set twice in one
// source is an error too.
func Parse(sources ...Source) (*Document, error) {
	d := &Document{}
	for _, source := range sources {
		if d.name == "" {
			d.name = source.Name
		}
		if err := d.merge(source); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Document) merge(source Source) error {
	options := ini.LoadOptions{
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
		AllowShadows:            true,
	}
	file, err := ini.LoadSources(options, source.Data)
	if err != nil {
		return faulter.Newf("parse "+source.Name, KindSyntax, "%s", err)
	}
	lines := lineNumbers(source.Data)
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		target := d.section(name, Position{File: source.Name, Line: lines[location{section: name}]})
		for _, key := range section.Keys() {
			position := Position{File: source.Name, Line: lines[location{section: name, key: key.Name()}]}
			if len(key.ValueWithShadows()) > 1 {
				return faulter.Newf("parse "+source.Name, KindSyntax,
					"line %d: section [%s]: key %q is set twice", position.Line, name, key.Name())
			}
			target.set(keyValue{name: key.Name(), value: key.Value(), position: position})
		}
	}
	return nil
}

func (d *Document) section(name string, position Position) *Section {
	kind, rest, _ := strings.Cut(name, ".")
	for _, s := range d.sections {
		if s.Kind == kind && s.Name == rest {
			return s
		}
	}
	s := &Section{Kind: kind, Name: rest, Position: position}
	d.sections = append(d.sections, s)
	return s
}

func (s *Section) set(kv keyValue) {
	for i := range s.keys {
		if s.keys[i].name == kv.name {
			s.keys[i] = kv
			return
		}
	}
	s.keys = append(s.keys, kv)
}

// header returns the section's full name as written in the file.
func (s *Section) header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + "." + s.Name
}

// location identifies a key of a section, or the section itself if key is empty.
type location struct {
	section string
	key     string
}

// lineNumbers returns the line number of every section and key of an INI file.
func lineNumbers(data []byte) map[location]int {
	lines := make(map[location]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, ";") || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			lines[location{section: section}] = i + 1
		default:
			key, _, _ := strings.Cut(line, "=")
			lines[location{section: section, key: strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}
