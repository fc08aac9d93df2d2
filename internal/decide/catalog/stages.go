package catalog

import (
	"fmt"
	"slices"
)

// FinalStages returns the indexes of the stages that no other stage depends on. Their
// results are the inputs of the request itself.
func (r *Route) FinalStages() []int {
	hasDependents := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, d := range s.DependsOn {
			if d >= 0 && d < len(hasDependents) {
				hasDependents[d] = true
			}
		}
	}
	var final []int
	for i, has := range hasDependents {
		if !has {
			final = append(final, i)
		}
	}
	return final
}

// MaxPieces bounds the pieces of one stage of a request.
const MaxPieces = 1024

// CheckPieces returns an error if the stages of a request cannot be run with the given
// number of pieces by stage, where missing numbers are 0 and a stage with 0 pieces is
// omitted. A stage that depends on others needs the results of at least one of them, and
// the request itself those of at least one final stage. A request may omit all stages.
func (r *Route) CheckPieces(counts []int) error {
	omitted := func(stage int) bool { return stage >= len(counts) || counts[stage] == 0 }
	included := 0
	for i, s := range r.Stages {
		if omitted(i) {
			continue
		}
		included++
		if counts[i] > MaxPieces {
			return fmt.Errorf("stage %d has %d pieces, at most %d are allowed", i, counts[i], MaxPieces)
		}
		if len(s.DependsOn) > 0 && !slices.ContainsFunc(s.DependsOn, func(d int) bool { return !omitted(d) }) {
			return fmt.Errorf("stage %d needs results of the stages %v, all of which the request omits", i, s.DependsOn)
		}
	}
	if final := r.FinalStages(); included > 0 && !slices.ContainsFunc(final, func(i int) bool { return !omitted(i) }) {
		return fmt.Errorf("the request omits the last stages %v, so that the results of the others would not be used", final)
	}
	return nil
}
