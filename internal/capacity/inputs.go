package capacity

import (
	"fmt"
	"math"
)

// Input is one number that the page is computed from and that was not measured: a plan, a budget, or a setting of the
// program.
type Input struct {
	Name       string  `json:"name"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
	Changeable string  `json:"changeable"` // who can change it, or where
	About      string  `json:"about"`
}

// Inputs are all of them, in the order of the page.
type Inputs struct {
	Inputs []Input `json:"inputs"`
}

// ParseInputs reads the file of inputs.
func ParseInputs(name string, text []byte) (*Inputs, error) {
	var in Inputs
	if err := decode(name, text, &in); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, input := range in.Inputs {
		switch {
		case input.Name == "" || input.Unit == "" || input.Changeable == "" || input.About == "":
			return nil, &FileError{File: name, Err: fmt.Errorf("input %q: name, unit, changeable and about must be there", input.Name)}
		case seen[input.Name]:
			return nil, &FileError{File: name, Err: fmt.Errorf("input %q is there twice", input.Name)}
		case math.IsNaN(input.Value) || math.IsInf(input.Value, 0) || input.Value < 0:
			return nil, &FileError{File: name, Err: fmt.Errorf("input %q: %v is no number of at least 0", input.Name, input.Value)}
		}
		seen[input.Name] = true
	}
	return &in, nil
}

// Value gives an input by its name.
func (in *Inputs) Value(name string) (float64, bool) {
	for _, input := range in.Inputs {
		if input.Name == name {
			return input.Value, true
		}
	}
	return 0, false
}
