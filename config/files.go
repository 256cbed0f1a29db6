package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"path"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

type (
	// Located is a problem and its position in a file.
	Located struct {
		File string `json:"file"`
		Line int    `json:"line"`
		Problem
	}

	// Folder holds the declarations read from a folder of files, and the problems found in them.
	Folder struct {
		Objects   map[Key]Object
		Problems  []Located
		locations map[Key]location
	}

	location struct {
		file string
		node *yaml.Node
	}

	// document is a YAML document that declares an object.
	document struct {
		Kind Kind      `yaml:"kind"`
		Name string    `yaml:"name"`
		Spec yaml.Node `yaml:"spec"`
	}
)

// Error returns the problem as "file:line: object: field: message".
func (l Located) Error() string {
	return fmt.Sprintf("%s:%d: %s", l.File, l.Line, l.Problem.Error())
}

// ReadFolder reads and validates every .yaml and .yml file. It returns all problems in Folder.Problems, sorted by file and
// line; the error is about reading the files.
func ReadFolder(files fs.FS) (*Folder, error) {
	folder := &Folder{Objects: map[Key]Object{}, locations: map[Key]location{}}
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if extension := path.Ext(name); entry.IsDir() || (extension != ".yaml" && extension != ".yml") {
			return nil
		}
		data, err := fs.ReadFile(files, name)
		if err != nil {
			return errors.Wrap(err, name)
		}
		folder.readFile(name, data)
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	if len(folder.Problems) == 0 {
		for _, problem := range checkAll(folder.Objects) {
			folder.reportAt(folder.locations[problem.Key], problem)
		}
	}
	sort.SliceStable(folder.Problems, func(i, j int) bool {
		a, b := folder.Problems[i], folder.Problems[j]
		return a.File < b.File || (a.File == b.File && a.Line < b.Line)
	})
	return folder, nil
}

func (f *Folder) readFile(name string, data []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if err == io.EOF {
			return
		}
		if err != nil {
			f.report(name, lineOfYAMLError(err), Problem{Path: "document", Message: err.Error()})
			return
		}
		f.readDocument(name, node.Content[0])
	}
}

func (f *Folder) readDocument(file string, node *yaml.Node) {
	var doc document
	if err := node.Decode(&doc); err != nil {
		f.report(file, node.Line, Problem{Path: "document", Message: "must have kind, name and spec: " + err.Error()})
		return
	}
	key := Key{Kind: doc.Kind, Name: doc.Name}
	at := location{file: file, node: node}
	construct, known := specConstructors[doc.Kind]
	if !known {
		f.reportAt(at, Problem{key, "kind", fmt.Sprintf("unknown kind %q; known kinds are %s", doc.Kind, kindList())})
		return
	}
	if doc.Name == "" || strings.ContainsAny(doc.Name, "/ \t") {
		f.reportAt(at, Problem{key, "name", "must not be empty or contain slashes, spaces or tabs"})
		return
	}
	if other, taken := f.locations[key]; taken {
		f.reportAt(at, Problem{key, "name", fmt.Sprintf("is already declared at %s:%d", other.file, other.node.Line)})
		return
	}
	f.locations[key] = at
	typed := construct()
	f.reportUnknownFields(at, key, &doc.Spec, reflect.TypeOf(typed).Elem(), "spec")
	if err := doc.Spec.Decode(typed); err != nil {
		f.report(file, lineOfYAMLError(err), Problem{key, "spec", err.Error()})
		return
	}
	spec, err := json.Marshal(typed)
	if err != nil {
		f.reportAt(at, Problem{key, "spec", err.Error()})
		return
	}
	object := Object{Key: key, Spec: spec}
	if err := object.decode(); err != nil {
		f.reportAt(at, Problem{key, "spec", err.Error()})
		return
	}
	f.Objects[key] = object
}

func (f *Folder) report(file string, line int, problem Problem) {
	f.Problems = append(f.Problems, Located{File: file, Line: line, Problem: problem})
}

// reportAt reports a problem at the line of its field.
func (f *Folder) reportAt(at location, problem Problem) {
	f.report(at.file, findLine(at.node, problem.Path), problem)
}

// reportUnknownFields reports the fields of a YAML node that the Go type lacks, recursively.
func (f *Folder) reportUnknownFields(at location, key Key, node *yaml.Node, t reflect.Type, prefix string) {
	switch {
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, child := range node.Content {
			f.reportUnknownFields(at, key, child, t.Elem(), fmt.Sprintf("%s[%d]", prefix, i))
		}
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		fields := fieldTypes(t)
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			field, known := fields[name]
			if !known {
				f.report(at.file, node.Content[i].Line, Problem{key, prefix + "." + name, "unknown field; known fields are " + fieldList(fields)})
				continue
			}
			f.reportUnknownFields(at, key, node.Content[i+1], field, prefix+"."+name)
		}
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		tag := field.Tag.Get("yaml")
		if tag == ",inline" {
			for name, inner := range fieldTypes(field.Type) {
				fields[name] = inner
			}
		} else if field.IsExported() {
			fields[tag] = field.Type
		}
	}
	return fields
}

func fieldList(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func kindList() string {
	names := make([]string, len(Kinds))
	for i, kind := range Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// findLine returns the line of a field such as spec.stages[0], or of its nearest existing parent.
func findLine(node *yaml.Node, fieldPath string) int {
	line := node.Line
	for _, step := range strings.FieldsFunc(fieldPath, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		child := childNode(node, step)
		if child == nil {
			return line
		}
		node, line = child, child.Line
	}
	return line
}

func childNode(node *yaml.Node, step string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		index, err := strconv.Atoi(step)
		if err != nil || index >= len(node.Content) {
			return nil
		}
		return node.Content[index]
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == step {
			return node.Content[i+1]
		}
	}
	return nil
}

// lineOfYAMLError parses the line number out of an error of the YAML library, and returns 1 if it has none.
func lineOfYAMLError(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 1
	}
	digits, _, _ := strings.Cut(rest, ":")
	line, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return line
}

// Difference returns the change that turns the objects of the state into those of the folder.
func (f *Folder) Difference(s *State) Change {
	change := Change{Basis: s.Offset}
	for _, key := range sortedKeys(f.Objects) {
		if !f.Objects[key].Equal(s.Objects[key]) {
			change.Objects = append(change.Objects, f.Objects[key])
		}
	}
	for _, key := range sortedKeys(s.Objects) {
		if _, kept := f.Objects[key]; !kept {
			change.Deleted = append(change.Deleted, key)
		}
	}
	return change
}
