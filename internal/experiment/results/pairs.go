package results

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence of the intervals.
const Confidence = 0.95

// Difference is by how much the second of paired values is above the first.
type Difference struct {
	Pairs int
	Mean  float64
	// Low and High bound the mean of all possible pairs with Confidence, by Student's t.
	// They are NaN for fewer than two pairs.
	Low, High float64
}

// Paired compares values of the same seeds.
func Paired(first, second []float64) Difference {
	diffs := make([]float64, len(first))
	for i := range first {
		diffs[i] = second[i] - first[i]
	}
	d := Difference{Pairs: len(diffs), Low: math.NaN(), High: math.NaN()}
	if len(diffs) == 0 {
		return d
	}
	mean, deviation := stat.MeanStdDev(diffs, nil)
	d.Mean = mean
	if len(diffs) < 2 {
		return d
	}
	n := float64(len(diffs))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + Confidence) / 2)
	half := t * stat.StdErr(deviation, n)
	d.Low, d.High = mean-half, mean+half
	return d
}

// Interval gives the interval as text.
func (d Difference) Interval() string {
	if math.IsNaN(d.Low) {
		return "needs two seeds"
	}
	return fmt.Sprintf("%+.2f to %+.2f", d.Low, d.High)
}

// Verdict says what a difference means.
type Verdict string

// The verdicts.
const (
	// Better and Worse are given if the interval is on one side of zero.
	Better Verdict = "better"
	Worse  Verdict = "worse"
	// Higher and Lower are those of measures of which neither is better.
	Higher Verdict = "higher"
	Lower  Verdict = "lower"
	// Level is given if all pairs are equal.
	Level Verdict = "level"
	// Open is given if the interval holds zero, or there is none.
	Open Verdict = "not told apart"
)

// Verdict judges a difference of a measure.
func (m Measure) Verdict(d Difference) Verdict {
	switch {
	case d.Low == 0 && d.High == 0:
		return Level
	case d.Low > 0 && m.better == 0:
		return Higher
	case d.High < 0 && m.better == 0:
		return Lower
	case d.Low > 0 && m.better > 0, d.High < 0 && m.better < 0:
		return Better
	case d.Low > 0, d.High < 0:
		return Worse
	default:
		return Open
	}
}

// Pair is a paired comparison of one measure in one scenario.
type Pair struct {
	Scenario string
	// First and Second name what is compared: two policies, or two folders.
	First, Second string
	Measure       Measure
	Difference    Difference
}

// Verdict judges the pair.
func (p Pair) Verdict() Verdict { return p.Measure.Verdict(p.Difference) }
