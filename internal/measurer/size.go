// Sizes: the values of the parameters that the cost of an operation depends on.

package measurer

import (
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// Parameter is a named number that a size sets, with inclusive bounds.
type Parameter struct {
	Name     string
	Help     string
	Min, Max int
}

// Size maps each parameter of a measurement to its value.
type Size map[string]int

// FormatSize returns a size in the form that Plan parses, with the parameters in
// their order in the measurement.
func (m *Measurement) FormatSize(size Size) string {
	settings := make([]string, len(m.Parameters))
	for i, p := range m.Parameters {
		settings[i] = fmt.Sprintf("%s=%d", p.Name, size[p.Name])
	}
	return strings.Join(settings, ",")
}

// SizeError reports a size that is malformed or out of a measurement's bounds.
type SizeError struct {
	Measurement string
	Size        string
	Err         error
}

// Error returns the message with the size, the measurement and the problem.
func (e *SizeError) Error() string {
	return fmt.Sprintf("size %q of %s: %v", e.Size, e.Measurement, e.Err)
}

// Unwrap returns the problem.
func (e *SizeError) Unwrap() error { return e.Err }

func (m *Measurement) parseSizes(texts []string) ([]Size, error) {
	var sizes []Size
	for _, text := range texts {
		size, err := m.parseSize(text)
		if err != nil {
			return nil, &SizeError{Measurement: m.Name, Size: text, Err: err}
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// parseSize parses a size. Parameters that are missing in it have their values from
// the first default size.
func (m *Measurement) parseSize(text string) (Size, error) {
	size := maps.Clone(m.Sizes[0])
	for setting := range strings.SplitSeq(text, ",") {
		name, digits, found := strings.Cut(setting, "=")
		if !found {
			return nil, errors.New("parameters have the form NAME=NUMBER")
		}
		p, err := m.findParameter(name)
		if err != nil {
			return nil, err
		}
		value, err := strconv.Atoi(digits)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", digits)
		}
		if value < p.Min || value > p.Max {
			return nil, fmt.Errorf("%s must be from %d to %d", name, p.Min, p.Max)
		}
		size[name] = value
	}
	return size, nil
}

func (m *Measurement) findParameter(name string) (Parameter, error) {
	var known []string
	for _, p := range m.Parameters {
		if p.Name == name {
			return p, nil
		}
		known = append(known, p.Name)
	}
	return Parameter{}, fmt.Errorf("unknown parameter %q, want one of %q", name, known)
}
