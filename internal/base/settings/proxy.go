package settings

import (
	"fmt"
	"time"
)

// Proxy holds the settings of a node that reaches its servers directly
// (dewknot-proxy).
type Proxy struct {
	// Name names the node; it is unique in the fleet.
	Name string `toml:"name" validate:"required,max=128"`
	Zone string `toml:"zone" validate:"required,max=64"`
	// Callers is the address for callers, Readiness that of the readiness probe,
	// Metrics that of the metrics; an empty Metrics serves none.
	Callers   string `toml:"callers" validate:"required,hostname_port"`
	Readiness string `toml:"readiness" validate:"required,hostname_port"`
	Metrics   string `toml:"metrics" validate:"omitempty,hostname_port"`
	// Peers is the address for other nodes; without it they cannot ask this one.
	Peers string `toml:"peers" validate:"omitempty,hostname_port"`
	// Advertise is the address at which other nodes reach Peers, if another one,
	// such as that of a port mapping.
	Advertise string `toml:"advertise" validate:"omitempty,hostname_port"`
	// Seeds are addresses of some nodes' Peers, asked by a node that starts while the
	// store does not answer. They may be out of date, and this node's own.
	Seeds []string `toml:"seeds" validate:"max=64,dive,hostname_port"`
	// Store is the durable store, Promotions takes orders to promote a server.
	Store      string `toml:"store" validate:"required,hostname_port"`
	Promotions string `toml:"promotions" validate:"omitempty,hostname_port"`
	// UnfencedPromotions says that the platform does not check the tokens of orders to
	// promote, and that a replaced primary may go on. The nodes then agree on primaries,
	// with datagrams to Messages.
	UnfencedPromotions bool   `toml:"unfenced_promotions"`
	Messages           string `toml:"messages" validate:"required_if=UnfencedPromotions true,omitempty,hostname_port"`
	// QuotaWindow is the span in which a tenant's operations are bounded: in any such span
	// they are at most its rate times the span and its burst, QuotaOverage of that more,
	// and QuotaSlack. Zero for no quotas. Messages about them come to Tokens.
	QuotaWindow  Duration `toml:"quota_window"`
	QuotaOverage float64  `toml:"quota_overage" validate:"min=0,max=10"`
	QuotaSlack   float64  `toml:"quota_slack" validate:"min=0,max=1000000"`
	Tokens       string   `toml:"tokens" validate:"omitempty,hostname_port"`
	// FirstStart says that the whole fleet starts for the first time: no other node had a
	// share of the quotas before.
	FirstStart bool `toml:"first_start"`
	// StrictRevocation makes a node refuse all work that needs a key while it has not heard
	// for RevocationBound which keys are in force. Otherwise it goes on with those it knows.
	StrictRevocation bool     `toml:"strict_revocation"`
	RevocationBound  Duration `toml:"revocation_bound"`
	// ConfigurationBound is within how long a change has to be in force.
	ConfigurationBound Duration `toml:"configuration_bound"`
	// DrainBound is within how long a leaving server must receive no new work.
	DrainBound Duration `toml:"drain_bound"`
	// EvacuationBound is within how long the servers of an evacuated zone must receive nothing.
	// Zero where zones are not evacuated: evacuations are not followed then.
	EvacuationBound Duration `toml:"evacuation_bound"`
	// ColdOverage and ColdSlack are by how much the requests to a cold server may pass its rate
	// in a second: as a factor, and as a number.
	ColdOverage float64 `toml:"cold_overage" validate:"min=0,max=1000"`
	ColdSlack   float64 `toml:"cold_slack" validate:"min=0,max=1000000"`
	// StopGrace is the time from SIGTERM until the process is killed.
	StopGrace Duration `toml:"stop_grace"`
	// MemoryLimitMB is the memory that the process may use, in MiB.
	MemoryLimitMB int `toml:"memory_limit_mb" validate:"min=16,max=1048576"`
	// Processors is how many processors' time the node may use, LinkMbps what its link
	// carries in Mbit/s: with the memory, they tell other nodes how much work it can own.
	// Zero for not known, which counts as the least that others tell.
	Processors float64 `toml:"processors" validate:"min=0,max=4096"`
	LinkMbps   float64 `toml:"link_mbps" validate:"min=0,max=1000000"`
	// LogLinesPerSecond bounds the volume of logs.
	LogLinesPerSecond int `toml:"log_lines_per_second" validate:"min=1,max=1000000"`
	// LogLevel is which events are written: everything, problems (no served
	// requests) or beliefs (no requests).
	LogLevel string `toml:"log_level" validate:"oneof=everything problems beliefs"`
	// Regions gives the region of each zone.
	Regions map[string]string `toml:"regions"`
}

// ProxyDefaults returns the settings that hold where the file says nothing.
func ProxyDefaults() Proxy {
	return Proxy{
		RevocationBound:    Duration{5 * time.Second},
		ConfigurationBound: Duration{4 * time.Second}, DrainBound: Duration{7 * time.Second},
		StopGrace: Duration{6 * time.Second}, MemoryLimitMB: 256, LogLinesPerSecond: 200, LogLevel: "everything",
	}
}

// LoadProxy reads and checks a settings file over the defaults.
func LoadProxy(path string) (Proxy, error) {
	loaded := ProxyDefaults()
	if err := readStrict(path, &loaded); err != nil {
		return loaded, err
	}
	return loaded, loaded.Check()
}

// Limits on durations, which tags cannot express.
const (
	minimumBound = 100 * time.Millisecond
	maximumBound = time.Hour
)

// Check refuses values that cannot be used, naming each with its remedy.
func (p *Proxy) Check() error {
	lines := checkTags(p)
	bounds := []struct {
		key   string
		value Duration
	}{
		{"configuration_bound", p.ConfigurationBound},
		{"drain_bound", p.DrainBound},
		{"stop_grace", p.StopGrace},
		{"revocation_bound", p.RevocationBound},
	}
	for _, bound := range bounds {
		if bound.value.Duration < minimumBound || bound.value.Duration > maximumBound {
			lines = append(lines, fmt.Sprintf("%s = %s: use %s to %s", bound.key, bound.value, minimumBound, maximumBound))
		}
	}
	if evacuation := p.EvacuationBound.Duration; evacuation != 0 && (evacuation < minimumBound || evacuation > maximumBound) {
		lines = append(lines, fmt.Sprintf("evacuation_bound = %s: use %s to %s, or 0s if zones are not evacuated", p.EvacuationBound, minimumBound, maximumBound))
	}
	if window := p.QuotaWindow.Duration; window != 0 && (window < minimumBound || window > maximumBound) {
		lines = append(lines, fmt.Sprintf("quota_window = %s: use %s to %s, or 0s for no quotas", p.QuotaWindow, minimumBound, maximumBound))
	}
	if p.QuotaWindow.Duration != 0 && p.Tokens == "" {
		lines = append(lines, "tokens = \"\": with a quota_window, name the address and port for messages about tokens")
	}
	return refused(lines)
}
