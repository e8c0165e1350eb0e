package capacity

import (
	"fmt"
	"math"
)

// Input is one number that was not measured and from which the page is computed: a number of the plan, a budget, or a
// setting of the program.
type Input struct {
	Name       string  `json:"name"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
	Changeable string  `json:"changeable"` // who can change the value, or where it is set
	About      string  `json:"about"`
}

// Inputs is the list of all inputs, in the order of the page.
type Inputs struct {
	Inputs []Input `json:"inputs"`
}

// ParseInputs decodes and checks the inputs in text. name is the file name for errors, which are of type *FileError.
func ParseInputs(name string, text []byte) (*Inputs, error) {
	var in Inputs
	if err := decode(name, text, &in); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, input := range in.Inputs {
		switch {
		case input.Name == "" || input.Unit == "" || input.Changeable == "" || input.About == "":
			return nil, &FileError{File: name, Err: fmt.Errorf("input %q: name, unit, changeable and about are required", input.Name)}
		case seen[input.Name]:
			return nil, &FileError{File: name, Err: fmt.Errorf("duplicate input %q", input.Name)}
		case math.IsNaN(input.Value) || math.IsInf(input.Value, 0) || input.Value < 0:
			return nil, &FileError{File: name, Err: fmt.Errorf("input %q: value %v is not a finite number of at least 0", input.Name, input.Value)}
		}
		seen[input.Name] = true
	}
	return &in, nil
}

// Value returns the value of the named input and reports whether there is one.
func (in *Inputs) Value(name string) (float64, bool) {
	for _, input := range in.Inputs {
		if input.Name == name {
			return input.Value, true
		}
	}
	return 0, false
}
