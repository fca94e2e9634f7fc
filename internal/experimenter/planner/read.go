// Reading an experiment from files. Errors contain the file and the line.

package planner

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// stepRead is the step in errors of reading a file.
const stepRead = flow.Step("read-experiment")

// Read reads an experiment and its deployment, which may be a file of its own. It
// returns an error that contains the file, and the line if known, if a file cannot
// be read or parsed or has an invalid value.
func Read(path string) (*Experiment, error) {
	experiment := &Experiment{}
	file, err := readFile(path, experiment)
	if err != nil {
		return nil, err
	}
	if experiment.Name == "" {
		experiment.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	deploymentFile := &sourceFile{name: file.name, value: file.value, content: file.content, prefix: "/deployment"}
	switch {
	case experiment.DeploymentFile != "" && experiment.Deployment != nil:
		return nil, file.errorAt("/deployment", "and deployment-file exclude each other; give one of them")
	case experiment.DeploymentFile != "":
		experiment.Deployment = &Deployment{}
		deploymentFile, err = readFile(filepath.Join(filepath.Dir(path), experiment.DeploymentFile), experiment.Deployment)
		if err != nil {
			return nil, err
		}
	case experiment.Deployment == nil:
		return nil, file.errorAt("", "deployment or deployment-file is missing")
	}
	if err := checkDeployment(deploymentFile, experiment.Deployment); err != nil {
		return nil, err
	}
	return experiment, checkExperiment(file, experiment)
}

// Decode reads a file of JSON with comments into target, a pointer to a struct. It
// returns an error for fields that target does not have.
func Decode(path string, target any) error {
	_, err := readFile(path, target)
	return err
}

// sourceFile is a parsed file, which is kept to find the lines of its values.
type sourceFile struct {
	name    string
	prefix  string // JSON pointer that errorAt prepends to the given ones
	content []byte
	value   hujson.Value
}

// readFile is Decode, but also returns the parsed file.
func readFile(path string, target any) (*sourceFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, flow.Wrap(stepRead, path, err)
	}
	value, err := hujson.Parse(content)
	if err != nil {
		return nil, flow.Wrap(stepRead, path, err)
	}
	file := &sourceFile{name: path, content: content, value: value}
	if err := file.checkFields(value, reflect.TypeOf(target), ""); err != nil {
		return nil, err
	}
	standard := value.Clone()
	standard.Standardize() // keeps all offsets
	if err := json.Unmarshal(standard.Pack(), target); err != nil {
		return nil, file.typeError(err)
	}
	return file, nil
}

// errorAt returns an error with the line of the value at a JSON pointer. The
// message begins with the name of the field.
func (f *sourceFile) errorAt(pointer, format string, args ...any) error {
	offset := f.value.StartOffset
	if found := f.value.Find(f.prefix + pointer); found != nil {
		offset = found.StartOffset
	}
	name := pointer[strings.LastIndexByte(pointer, '/')+1:]
	return f.errorAtOffset(offset, strings.TrimSpace(name+" "+fmt.Sprintf(format, args...)))
}

func (f *sourceFile) errorAtOffset(offset int, problem string) error {
	line := 1 + bytes.Count(f.content[:min(offset, len(f.content))], []byte{'\n'})
	return flow.Wrap(stepRead, f.name+":"+strconv.Itoa(line), errors.New(problem))
}

// typeError returns an error with the line of a value of the wrong type.
func (f *sourceFile) typeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return f.errorAtOffset(int(wrong.Offset), fmt.Sprintf("%s is a %s, want %s", wrong.Field, wrong.Value, wrong.Type))
	}
	return flow.Wrap(stepRead, f.name, err)
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkFields returns an error if an object anywhere in value has a field that
// the corresponding struct does not have, or has one twice, or if a string cannot
// be unmarshaled as text. json.Unmarshal would not report the line.
func (f *sourceFile) checkFields(value hujson.Value, want reflect.Type, name string) error {
	for want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if reflect.PointerTo(want).Implements(textUnmarshalerType) {
		return f.checkText(value, want, name)
	}
	switch body := value.Value.(type) {
	case *hujson.Object:
		return f.checkObject(body, want)
	case *hujson.Array:
		return f.checkArray(body, want, name)
	}
	return nil
}

func (f *sourceFile) checkObject(object *hujson.Object, want reflect.Type) error {
	if want.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldsOf(want)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, known := fields[name]
		if !known {
			return f.errorAtOffset(member.Name.StartOffset, fmt.Sprintf("%s is no known field", name))
		}
		if seen[name] {
			return f.errorAtOffset(member.Name.StartOffset, fmt.Sprintf("%s is given twice", name))
		}
		seen[name] = true
		if err := f.checkFields(member.Value, field, name); err != nil {
			return err
		}
	}
	return nil
}

func (f *sourceFile) checkArray(array *hujson.Array, want reflect.Type, name string) error {
	if want.Kind() != reflect.Slice {
		return nil
	}
	for _, element := range array.Elements {
		if err := f.checkFields(element, want.Elem(), name); err != nil {
			return err
		}
	}
	return nil
}

func (f *sourceFile) checkText(value hujson.Value, want reflect.Type, name string) error {
	text, ok := value.Value.(hujson.Literal)
	if !ok || text.Kind() != '"' {
		return f.errorAtOffset(value.StartOffset, fmt.Sprintf("%s must be a string like \"250ms\"", name))
	}
	target := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text.String())); err != nil {
		return f.errorAtOffset(value.StartOffset, fmt.Sprintf("%s: %v", name, err))
	}
	return nil
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for field := range want.Fields() {
		fields[field.Tag.Get("json")] = field.Type
	}
	return fields
}
