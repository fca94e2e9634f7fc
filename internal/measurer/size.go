// Sizes: the numbers that a measurement's effort depends on, as parameters with
// names and bounds.

package measurer

import (
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// Parameter is one of the numbers that a size consists of.
type Parameter struct {
	Name        string
	Help        string
	Least, Most int
}

// Size gives each parameter of a measurement its value.
type Size map[string]int

// Text returns a size as Plan reads it, with the parameters in the order of the
// table.
func (m *Measurement) Text(size Size) string {
	settings := make([]string, len(m.Parameters))
	for i, p := range m.Parameters {
		settings[i] = fmt.Sprintf("%s=%d", p.Name, size[p.Name])
	}
	return strings.Join(settings, ",")
}

// -----------------------------------------------------------------------------

// SizeError is the error of one who asks for a size that a measurement cannot
// have.
type SizeError struct {
	Measurement string
	Size        string
	Err         error
}

// Error returns the size, the measurement and the problem.
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

// parseSize reads a size. Parameters that it does not name are those of the
// first default size.
func (m *Measurement) parseSize(text string) (Size, error) {
	size := maps.Clone(m.Sizes[0])
	for setting := range strings.SplitSeq(text, ",") {
		name, digits, found := strings.Cut(setting, "=")
		if !found {
			return nil, errors.New("parameters have the form NAME=NUMBER")
		}
		p, err := m.parameter(name)
		if err != nil {
			return nil, err
		}
		value, err := strconv.Atoi(digits)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", digits)
		}
		if value < p.Least || value > p.Most {
			return nil, fmt.Errorf("%s must be from %d to %d", name, p.Least, p.Most)
		}
		size[name] = value
	}
	return size, nil
}

func (m *Measurement) parameter(name string) (Parameter, error) {
	var known []string
	for _, p := range m.Parameters {
		if p.Name == name {
			return p, nil
		}
		known = append(known, p.Name)
	}
	return Parameter{}, fmt.Errorf("unknown parameter %q, want one of %q", name, known)
}
