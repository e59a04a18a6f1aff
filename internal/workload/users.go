package workload

import (
	"math"
	"math/rand/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Names of the users' workloads.
const (
	TallyName    = "tally"
	ChlebnetName = "chlebnet"
)

// Election night: booths report in bursts, and each burst triggers summaries,
// which take one to twelve look-ups.
const (
	tallyBaseIntensity = 0.80
	tallyBurstGap      = 40.0
	tallyBurstTime     = 10.0
	// tallyBurstIntensity makes the mean intensity 1.
	tallyBurstIntensity = (1 - tallyBaseIntensity) * tallyBurstGap / tallyBurstTime
	tallyPeak           = tallyBaseIntensity + 2*tallyBurstIntensity
)

func tally() Shape {
	lookup := template{
		name: "lookup", prefixTokens: 900, priority: 5, turns: between(1, 3),
		firstInput: lengthRange{150, 500}, followingInput: lengthRange{200, 900}, stepAnswer: lengthRange{30, 80}, finalAnswer: lengthRange{80, 200},
		pause: pauseDistribution{median: 0.6, sigma: 0.6, tail: 0.03, tailFrom: 3, tailTo: 30},
	}
	return Shape{
		Name:               TallyName,
		Zones:              []structs.ZoneName{"east", "north", "west"},
		Engines:            12,
		Model:              "scribe",
		ZoneDelaySeconds:   0.0015,
		ClientDelaySeconds: 0.001,
		tenants:            []weighted[structs.TenantName]{{"courier", 1.2}, {"gazette", 1}, {"herald", 0.8}},
		templates: []template{
			{
				name: "summary", weight: 0.35, prefixTokens: 3500, priority: 5, turns: lookUpTurns,
				firstInput: lengthRange{400, 1500}, followingInput: lengthRange{500, 5000}, stepAnswer: lengthRange{30, 90}, finalAnswer: lengthRange{200, 450},
				pause:            pauseDistribution{median: 0.8, sigma: 0.7, tail: 0.05, tailFrom: 3, tailTo: 30},
				spawnProbability: 0.08, child: &lookup,
			},
			{
				name: "desk-question", weight: 0.25, prefixTokens: 2200, priority: 6, turns: between(1, 6),
				firstInput: lengthRange{100, 600}, followingInput: lengthRange{300, 3000}, stepAnswer: lengthRange{30, 90}, finalAnswer: lengthRange{80, 300},
				pause: pauseDistribution{median: 1, sigma: 0.7, tail: 0.05, tailFrom: 3, tailTo: 30},
			},
			{
				name: "public-page", weight: 0.40, prefixTokens: 1200, priority: 4, turns: between(1, 2),
				firstInput: lengthRange{80, 300}, followingInput: lengthRange{150, 500}, stepAnswer: lengthRange{20, 50}, finalAnswer: lengthRange{60, 160},
				pause: pauseDistribution{median: 0.5, sigma: 0.5, tail: 0.02, tailFrom: 2, tailTo: 30},
			},
		},
		intensity: tallyIntensity,
		peak:      tallyPeak,
	}
}

// lookUpTurns returns the turns of one to twelve look-ups and the final
// answer.
func lookUpTurns(random *rand.Rand) int {
	u := random.Float64()
	return 2 + int(12*u*u)
}

func between(low, high int) func(*rand.Rand) int {
	return func(random *rand.Rand) int { return low + random.IntN(high-low+1) }
}

func tallyIntensity(random *rand.Rand, duration float64) func(float64) float64 {
	starts := burstTimes(random, tallyBurstGap, duration)
	return func(at float64) float64 {
		intensity := tallyBaseIntensity
		for _, start := range starts {
			if at >= start && at < start+tallyBurstTime {
				intensity += tallyBurstIntensity
			}
		}
		return min(intensity, tallyPeak)
	}
}

// Orders before dawn: the load rises over the run, and people think between
// calls.
const (
	chlebnetAmplitude = 0.35
	chlebnetPeak      = 1 + chlebnetAmplitude
)

func chlebnet() Shape {
	flour := template{
		name: "flour-check", prefixTokens: 1000, priority: 5, turns: between(1, 2),
		firstInput: lengthRange{60, 200}, followingInput: lengthRange{80, 300}, stepAnswer: lengthRange{20, 50}, finalAnswer: lengthRange{30, 90},
		pause: pauseDistribution{median: 0.5, sigma: 0.5, tail: 0.03, tailFrom: 2, tailTo: 30},
	}
	return Shape{
		Name:               ChlebnetName,
		Zones:              []structs.ZoneName{"banska", "brezno", "martin", "zvolen"},
		Engines:            15,
		Model:              "order-clerk",
		ZoneDelaySeconds:   0.0005,
		ClientDelaySeconds: 0.003,
		CacheWeight:        0.5,
		tenants: []weighted[structs.TenantName]{
			{"bakeries", 1}, {"canteens", 1.4}, {"hospitals", 0.8}, {"shops-north", 1.2}, {"shops-south", 1.2},
		},
		templates: []template{
			{
				name: "shop-order", weight: 0.45, prefixTokens: 1500, priority: 5, turns: between(2, 4),
				firstInput: lengthRange{40, 200}, followingInput: lengthRange{40, 250}, stepAnswer: lengthRange{20, 70}, finalAnswer: lengthRange{30, 120},
				pause:            pauseDistribution{median: 3, sigma: 0.9, tail: 0.12, tailFrom: 10, tailTo: 180},
				spawnProbability: 0.10, child: &flour,
			},
			{
				name: "canteen-order", weight: 0.30, prefixTokens: 1800, priority: 5, turns: between(2, 5),
				firstInput: lengthRange{80, 300}, followingInput: lengthRange{60, 300}, stepAnswer: lengthRange{20, 80}, finalAnswer: lengthRange{40, 150},
				pause:            pauseDistribution{median: 4, sigma: 0.9, tail: 0.12, tailFrom: 12, tailTo: 180},
				spawnProbability: 0.10, child: &flour,
			},
			{
				name: "kitchen-diet", weight: 0.15, prefixTokens: 2200, priority: 6, turns: between(2, 4),
				firstInput: lengthRange{100, 400}, followingInput: lengthRange{60, 300}, stepAnswer: lengthRange{30, 90}, finalAnswer: lengthRange{60, 200},
				pause: pauseDistribution{median: 3, sigma: 0.8, tail: 0.10, tailFrom: 10, tailTo: 120},
			},
			{
				name: "flour-reconcile", weight: 0.10, prefixTokens: 2000, priority: 4, turns: between(3, 9),
				firstInput: lengthRange{200, 800}, followingInput: lengthRange{150, 700}, stepAnswer: lengthRange{30, 90}, finalAnswer: lengthRange{100, 300},
				pause: pauseDistribution{median: 1.0, sigma: 0.8, tail: 0.08, tailFrom: 5, tailTo: 120},
			},
		},
		intensity: chlebnetIntensity,
		peak:      chlebnetPeak,
	}
}

func chlebnetIntensity(_ *rand.Rand, duration float64) func(float64) float64 {
	return func(at float64) float64 {
		return 1 + chlebnetAmplitude*math.Sin(math.Pi*(2*at/duration-0.5))
	}
}
