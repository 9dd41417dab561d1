package dfcapacity

// Sizing is a size of the system. The figures are those of the design's
// section 1, which call for fractions in sums, hence floating point.
type Sizing struct {
	Hosts       float64
	Databases   float64
	DataCentres float64
	Regions     float64
	// UpstreamsEach is the number of upstreams of a database.
	UpstreamsEach float64
	FewestSlots   int
	MostSlots     int
	Callers       float64
	Statements    float64
	// WriteShare is assumed; both users mostly read.
	WriteShare float64
	// ChangesPerDay counts configuration changes.
	ChangesPerDay float64
	// PrimaryChangesPerDay counts changes of primaries, planned ones included.
	PrimaryChangesPerDay float64
	RestartsPerDay       float64
	FailuresPerDay       float64
}

// Target is the size in about two years.
var Target = Sizing{
	Hosts: 2000, Databases: 3600, DataCentres: 18, Regions: 7, UpstreamsEach: 3, FewestSlots: 3, MostSlots: 5,
	Callers: 12e6, Statements: 3.7e6, WriteShare: 0.08, ChangesPerDay: 6700, PrimaryChangesPerDay: 6,
	RestartsPerDay: 790, FailuresPerDay: 7,
}

const secondsPerDay = 86400

// Upstreams returns the number of database servers.
func (s Sizing) Upstreams() float64 { return s.Databases * s.UpstreamsEach }

// HostsPerCentre returns the hosts of a data centre.
func (s Sizing) HostsPerCentre() float64 { return s.Hosts / s.DataCentres }

// CallersPerHost returns the caller connections of a host.
func (s Sizing) CallersPerHost() float64 { return s.Callers / s.Hosts }

// Held returns the databases of which a host holds a slot.
func (s Sizing) Held(slots int) float64 { return s.Databases * float64(slots) / s.Hosts }

// WritesPerHost returns the writes that a host executes in a second.
func (s Sizing) WritesPerHost() float64 { return s.Statements * s.WriteShare / s.Hosts }

// ChangesPerSecond returns the configuration changes of a second.
func (s Sizing) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// Budgets of the design's section 1.
const (
	// BudgetProcessor is a share of one core.
	BudgetProcessor = 0.025
	BudgetMemory    = 128e6
	// BudgetBytes is control traffic of a host in a second.
	BudgetBytes = 2000
	// BudgetPrimary and BudgetConfiguration are in seconds.
	BudgetPrimary       = 6
	BudgetConfiguration = 4
	// PlatformWrites stands for "several hundred" a second.
	PlatformWrites = 400
	PlatformReads  = 2000
)
