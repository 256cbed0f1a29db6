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

	// policy selects how requests are routed. The first policy is willowwick's own; each baseline differs from it in one
	// aspect, the oracle in several.
	policy struct {
		name         string
		cascade      cascadeKind
		picker       pickerKind
		fifo         bool
		timedRollout bool
		skipsRollout bool // stays on the current version
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
