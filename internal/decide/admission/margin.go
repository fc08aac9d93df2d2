package admission

const (
	initialMargin, minMargin, maxMargin = 2, 1.25, 6
	// lateRefusalStep is added for a call that is refused after it has waited, and
	// earlyRefusalStep subtracted for one that is refused at arrival. Their
	// ratio balances at one late refusal for 250 early ones, below the target of one
	// in 100.
	lateRefusalStep, earlyRefusalStep = 0.2, 0.2 / 250
)

// Margin adapts the factor by which the predicted queue wait is multiplied. Under
// overload, a queue grows until the last admitted call is predicted to be just in
// time. Without a margin, about half of these calls would be refused late, after
// they had waited.
type Margin struct{ adjustment float64 }

// Factor returns the current factor.
func (m *Margin) Factor() float64 { return initialMargin + m.adjustment }

// RecordLateRefusal raises the factor for a call that was admitted and then refused
// after it had waited.
func (m *Margin) RecordLateRefusal() {
	m.adjustment = min(maxMargin-initialMargin, m.adjustment+lateRefusalStep)
}

// RecordEarlyRefusal lowers the factor for a call that was refused at arrival because
// of a long predicted wait.
func (m *Margin) RecordEarlyRefusal() {
	m.adjustment = max(minMargin-initialMargin, m.adjustment-earlyRefusalStep)
}
