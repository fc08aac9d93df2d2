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

// StageOrder returns the indexes of the stages in an order in which each comes after those
// that it depends on. It returns nil if there is none.
func (r *Route) StageOrder() []int {
	if len(r.stageOrder) == len(r.Stages) {
		return r.stageOrder
	}
	order, _ := orderStages(r.Stages)
	return order
}

// orderStages returns the order that has the lowest possible index at each place. It fails
// if stages depend on each other or on a stage that does not exist.
func orderStages(stages []Stage) ([]int, error) {
	order := make([]int, 0, len(stages))
	ordered := make([]bool, len(stages))
	ready := func(i int) bool {
		return !slices.ContainsFunc(stages[i].DependsOn, func(d int) bool { return !ordered[d] })
	}
	for i, s := range stages {
		for _, d := range s.DependsOn {
			if d < 0 || d >= len(stages) {
				return nil, fmt.Errorf("stage %d depends on stage %d, which does not exist", i, d)
			}
		}
	}
	for len(order) < len(stages) {
		next := -1
		for i := range stages {
			if !ordered[i] && ready(i) {
				next = i
				break
			}
		}
		if next < 0 {
			return nil, fmt.Errorf("stage %d depends on itself, directly or through other stages", slices.Index(ordered, false))
		}
		order, ordered[next] = append(order, next), true
	}
	return order, nil
}

// unique returns the stages in their order, each once.
func unique(stages []int) []int {
	var once []int
	for _, s := range stages {
		if !slices.Contains(once, s) {
			once = append(once, s)
		}
	}
	return once
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
