package replay

// Names of the policies that are compared.
const (
	PolicyWillowwick   = "willowwick"
	PolicyStrong       = "always strong"
	PolicyCheap        = "always cheap"
	PolicyFixed        = "fixed cascade"
	PolicyTimedRollout = "clock-stepped roll-out"
	PolicyRoundRobin   = "round robin"
	PolicyLeastLoaded  = "least loaded on stale reports"
	PolicyNoAffinity   = "without prefix affinity"
	PolicyFIFO         = "first come, first served"
	PolicyPerfectLoad  = "perfect knowledge of load"
	PolicyOracle       = "oracle"
)

type (
	cascadeKind int
	pickerKind  int

	// policy is one way to decide; all but the first differ from it in one thing.
	policy struct {
		name         string
		cascade      cascadeKind
		picker       pickerKind
		fifo         bool
		timedRollout bool
		skipsRollout bool // does not take part in the roll-out
	}
)

const (
	cascadeLearned cascadeKind = iota
	cascadeFixed
	cascadeStrong
	cascadeCheap
	cascadeOracle
)

const (
	pickPowerOfTwo pickerKind = iota
	pickNoAffinity
	pickRoundRobin
	pickLeastLoaded
	pickPerfectLoad
)

var policies = []policy{
	{name: PolicyWillowwick},
	{name: PolicyStrong, cascade: cascadeStrong},
	{name: PolicyCheap, cascade: cascadeCheap},
	{name: PolicyFixed, cascade: cascadeFixed},
	{name: PolicyTimedRollout, timedRollout: true},
	{name: PolicyRoundRobin, picker: pickRoundRobin},
	{name: PolicyLeastLoaded, picker: pickLeastLoaded},
	{name: PolicyNoAffinity, picker: pickNoAffinity},
	{name: PolicyFIFO, fifo: true},
	{name: PolicyPerfectLoad, picker: pickPerfectLoad},
	{name: PolicyOracle, cascade: cascadeOracle, picker: pickPerfectLoad, skipsRollout: true},
}
