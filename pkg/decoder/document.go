// Package decoder reads INI files against a schema. A base file and overlays
// are merged key by key, and every mistake is reported with the file, line,
// section, key and the values that are accepted.
//
// # Usage
//
//	document, err := decoder.Parse(decoder.Source{Name: "base.ini", Data: data})
//	err = document.Decode(func(section decoder.Section) ([]decoder.Field, bool) {
//		...
//	})
//
// Unknown sections and keys are mistakes. Decode reports all mistakes at once
// as [SchemaErrors].
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

// Position is where a key stands; line zero is the file as a whole.
type Position struct {
	File string
	Line int
}

// Section is one section of the merged document. Its name is split at the
// first dot into a kind and a name: "model.assist" has kind "model".
type Section struct {
	Kind string
	Name string
	// Position is where the section first begins.
	Position Position

	keys []entry
}

// entry is one key of a section, from the last file that sets it.
type entry struct {
	name     string
	value    string
	position Position
}

// Document is the merge of all sources.
type Document struct {
	// name is that of the first source.
	name     string
	sections []*Section
}

// Parse reads sources in order; a key in a later source replaces the same key
// of an earlier one.
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
			target.set(entry{name: key.Name(), value: key.Value(), position: position})
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

func (s *Section) set(e entry) {
	for i := range s.keys {
		if s.keys[i].name == e.name {
			s.keys[i] = e
			return
		}
	}
	s.keys = append(s.keys, e)
}

// header returns the section's name as it stands in the file.
func (s *Section) header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + "." + s.Name
}

// location names a key of a section, or the section itself when key is empty.
type location struct {
	section string
	key     string
}

// lineNumbers returns the line of every section and key of an INI file.
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
