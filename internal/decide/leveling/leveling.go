// Package leveling estimates the present loads of endpoints from figures that are some
// seconds old, and chooses among endpoints that are equally good by them. It answers
// herding: many choosers with old figures all take the endpoint that looked least loaded,
// so that endpoints are overrun in turns while others idle. It does no I/O and holds no
// state.
package leveling

import (
	"math"
	"math/bits"
	"time"
)

// Figures is what a daemon knows of the load of one endpoint.
type Figures struct {
	// Own counts the daemon's own requests in progress there, and OwnTokens their prompt
	// tokens that are still to be read. Both are exact.
	Own, OwnTokens int
	// Told and ToldTokens are the same of all other daemons, by their last reports.
	Told, ToldTokens int
	// Age and TokensAge are the mean ages of Told and ToldTokens.
	Age, TokensAge time.Duration
}

// Pool describes the requests of a pool.
type Pool struct {
	// RunTime is the mean time for which a request that is in progress on an endpoint will
	// still be, and ReadTime the mean time until a prompt that is being read is read.
	RunTime, ReadTime time.Duration
	// CostPerRequest and CostPerToken are the delays that a request in progress and a
	// token to read add to a new request.
	CostPerRequest, CostPerToken time.Duration
}

// Estimate is the estimated load of one endpoint.
type Estimate struct {
	// Running and Tokens are the load without what other daemons are expected to have
	// sent since their reports.
	Running, Tokens int
	// Fill is the cost of what other daemons are expected to have sent to the endpoint
	// since, see Estimates. It also makes up for the rounding of Running and Tokens.
	Fill time.Duration
	// Weight is proportional to the share of requests that the endpoint should get among
	// endpoints with the same cost.
	Weight float64
}

// significance is the number of standard deviations from the mean up to which the
// reported load of an endpoint counts as chance. If requests are spread at random, about
// one endpoint in twenty is loaded more than that.
const significance = 2

// Estimates appends the estimate of each endpoint of a pool to out, which may be nil.
//
// A reported request is still in progress with a probability that falls with the age of
// the report. In place of one that is not, on average, another has come, since the load of
// the whole pool changes slowly; where it went is not known. Those are taken to level the
// pool: they fill up the endpoints with the least load, as a chooser with present figures
// would. A load that differs from the mean by more than chance makes is a lasting one, for
// example that of the affinity endpoint of much-used prompt parts, and keeps its weight
// however old the report is.
func Estimates(out []Estimate, figures []Figures, p Pool) []Estimate {
	if len(figures) == 0 {
		return out
	}
	chance := chanceOf(figures)
	perRequest, perToken := float64(p.CostPerRequest), float64(p.CostPerToken)
	runScale, readScale := remainingScale(p.RunTime), remainingScale(p.ReadTime)
	// The request that is placed is part of what levels the pool.
	sentSince, sum := perRequest, 0.0
	first := len(out)
	for i := range figures {
		f := &figures[i]
		running, tokens := float64(f.Own), float64(f.OwnTokens)
		if f.Told > 0 || f.ToldTokens > 0 {
			byChance := chance.of(f.Told)
			gone := (1 - remainingShare(f.Age, runScale)) * byChance * float64(f.Told)
			running += float64(f.Told) - gone
			sentSince += gone * perRequest
			if f.ToldTokens > 0 {
				read := (1 - remainingShare(f.TokensAge, readScale)) * byChance * float64(f.ToldTokens)
				tokens += float64(f.ToldTokens) - read
				sentSince += read * perToken
			}
		}
		cost := running*perRequest + tokens*perToken
		sum += cost
		out = append(out, Estimate{Running: int(running + 0.5), Tokens: int(tokens + 0.5), Weight: cost})
	}
	fill(out[first:], sum, sentSince, p)
	return out
}

// The survival table holds remainingShare for ages up to remainingSteps/remainingPerMean
// times the mean remaining time. Beyond, the exponential function in it is 0.
const (
	remainingPerMean = 32
	remainingSteps   = 8 * remainingPerMean
)

var survival = func() (table [remainingSteps]float64) {
	for i := range table {
		// Daemons report by turns, so the ages lie evenly between 0 and twice the mean.
		x := 2 * float64(i) / remainingPerMean
		if table[i] = 1; x > 0 {
			table[i] = (1 - math.Exp(-x)) / x
		}
	}
	return table
}()

// remainingScale returns the scale of remainingShare for requests that take meanTime: the
// steps of the table in a nanosecond, as a fraction of 2^64.
func remainingScale(meanTime time.Duration) uint64 {
	return math.MaxUint64 / uint64(max(meanTime/remainingPerMean, 1))
}

// remainingShare returns the share of reported requests that are still in progress, or of
// prompts that are still being read. age is the mean age of the reports.
func remainingShare(age time.Duration, scale uint64) float64 {
	step, _ := bits.Mul64(uint64(max(age, 0)), scale)
	if step < remainingSteps {
		return survival[step]
	}
	return remainingPerMean / (2 * float64(step))
}

// chance describes how far the reported loads of a pool's endpoints differ by chance.
type chance struct {
	mean float64
	// lowest and highest are the loads up to which a single one counts as chance.
	lowest, highest int
	// share is what of the differences within them is chance.
	share float64
}

// chanceOf takes requests that are spread at random: the variance of the loads is their
// mean then, give or take its own deviation. What the variance has beyond that comes from
// lasting differences, such as those of speed or of the use of prompt parts.
func chanceOf(figures []Figures) chance {
	sum := 0
	for i := range figures {
		sum += figures[i].Told
	}
	n := float64(len(figures))
	c := chance{mean: float64(sum) / n, share: 1}
	bound := significance * math.Sqrt(c.mean)
	c.lowest, c.highest = int(math.Ceil(c.mean-bound)), int(c.mean+bound)
	squares := 0
	for i := range figures {
		// A single endpoint beyond the bounds says nothing of the others.
		told := min(max(figures[i].Told, c.lowest), c.highest)
		squares += told * told
	}
	variance := float64(squares)/n - c.mean*c.mean
	if expected := c.mean * (1 + math.Sqrt(2/n)); variance > expected {
		c.share = expected / variance
	}
	return c
}

// of returns the share of the difference between a reported load and the mean that is
// chance.
func (c *chance) of(told int) float64 {
	if told >= c.lowest && told <= c.highest {
		return c.share
	}
	d := float64(told) - c.mean
	return min(significance*significance*c.mean/(d*d), c.share)
}

// fill distributes the cost of requests over the endpoints with the least load, so that
// these reach the same level. Weight holds the loads, and sum is their sum. It sets Fill,
// and Weight to what the endpoint is below the level.
func fill(list []Estimate, sum, cost float64, p Pool) {
	level := fillLevel(list, sum, cost)
	for i := range list {
		e := &list[i]
		counted := time.Duration(e.Running)*p.CostPerRequest + time.Duration(e.Tokens)*p.CostPerToken
		e.Fill = time.Duration(max(e.Weight, level)) - counted
		e.Weight = max(level-e.Weight, 0)
	}
}

// fillLevel returns the level of fill. It sorts the loads into classes, whose number bounds
// its error: a fraction 1/loadClasses of the mean load.
func fillLevel(list []Estimate, sum, cost float64) float64 {
	// No endpoint above this level is filled.
	level := (sum + cost) / float64(len(list))
	if level <= 0 {
		return 0
	}
	var classes [loadClasses]struct {
		n   int
		sum float64
	}
	scale := loadClasses / level
	for i := range list {
		if class := max(int(list[i].Weight*scale), 0); class < loadClasses {
			classes[class].n++
			classes[class].sum += list[i].Weight
		}
	}
	n, filled := 0, cost
	for i := range classes {
		n, filled = n+classes[i].n, filled+classes[i].sum
		if n > 0 && filled/float64(n)*scale < float64(i+1) {
			return filled / float64(n)
		}
	}
	return level
}

const loadClasses = 128

// tolerance is the difference of two costs up to which they count as the same: a fraction
// of what one request costs, and more than rounding makes.
const tolerance = 100 * time.Microsecond

// Pick returns the index of the endpoint that gets a request, of n in the order of their
// costs. at returns an endpoint's cost and its Estimate.Weight, and u is a random number
// from 0 to 1, exclusive. Among endpoints that cost the same the choice is random, so that
// daemons with the same figures choose different ones.
func Pick(n int, at func(i int) (cost time.Duration, weight float64), u float64) int {
	if n == 0 {
		return 0
	}
	best, _ := at(0)
	equal, sum := 0, 0.0
	for ; equal < n; equal++ {
		cost, weight := at(equal)
		if cost-best > tolerance {
			break
		}
		sum += weight
	}
	if sum == 0 {
		return int(u * float64(equal))
	}
	left := u * sum
	for i := range equal {
		_, weight := at(i)
		if left -= weight; left < 0 {
			return i
		}
	}
	return equal - 1
}
