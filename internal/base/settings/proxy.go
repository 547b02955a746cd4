package settings

import (
	"fmt"
	"strings"
	"time"
	"unicode"
)

// Proxy holds the settings of a node that connects to its servers directly (dewknot-proxy).
type Proxy struct {
	// Name is the node's name, a single word. It must be unique in the fleet.
	Name string `toml:"name" validate:"required,max=128"`
	Zone string `toml:"zone" validate:"required,max=64"`
	// Callers, Readiness and Metrics are the listen addresses for callers, for the readiness
	// probe and for metrics. Metrics are not served if the address is empty.
	Callers   string `toml:"callers" validate:"required,hostname_port"`
	Readiness string `toml:"readiness" validate:"required,hostname_port"`
	Metrics   string `toml:"metrics" validate:"omitempty,hostname_port"`
	// Peers is the listen address for other nodes. If it is empty they cannot send requests to
	// this node.
	Peers string `toml:"peers" validate:"omitempty,hostname_port"`
	// Advertise is the address at which other nodes reach Peers if it differs, for instance
	// because of a port mapping.
	Advertise string `toml:"advertise" validate:"omitempty,hostname_port"`
	// Seeds are Peers addresses of some nodes, to which a node connects if it starts while the
	// store is unavailable. They may be outdated and may include the node's own address.
	Seeds []string `toml:"seeds" validate:"max=64,dive,hostname_port"`
	// Store is the address of the durable store, Promotions that of the service that promotes
	// servers.
	Store      string `toml:"store" validate:"required,hostname_port"`
	Promotions string `toml:"promotions" validate:"omitempty,hostname_port"`
	// UnfencedPromotions means that the platform does not check the fencing tokens of promotions,
	// and that a replaced primary may continue to run. The nodes then agree on primaries with
	// datagrams to Messages.
	UnfencedPromotions bool   `toml:"unfenced_promotions"`
	Messages           string `toml:"messages" validate:"required_if=UnfencedPromotions true,omitempty,hostname_port"`
	// QuotaWindow is the duration for which a tenant's operations are limited. In any window of
	// this duration the limit is (rate * window + burst) * (1 + QuotaOverage) + QuotaSlack. There
	// are no quotas if it is zero. Tokens is the listen address for messages about quotas.
	QuotaWindow  Duration `toml:"quota_window"`
	QuotaOverage float64  `toml:"quota_overage" validate:"min=0,max=10"`
	QuotaSlack   float64  `toml:"quota_slack" validate:"min=0,max=1000000"`
	Tokens       string   `toml:"tokens" validate:"omitempty,hostname_port"`
	// FirstStart means that the whole fleet starts for the first time, so that no other node
	// has had a share of the quotas before.
	FirstStart bool `toml:"first_start"`
	// StrictRevocation makes a node reject all requests that need a key after it could not
	// refresh the valid keys for RevocationBound. Otherwise it uses the last known keys.
	StrictRevocation bool     `toml:"strict_revocation"`
	RevocationBound  Duration `toml:"revocation_bound"`
	// ConfigurationBound is the maximum time until a change of the configuration is in force.
	ConfigurationBound Duration `toml:"configuration_bound"`
	// DrainBound is the maximum time until a leaving server receives no new requests.
	DrainBound Duration `toml:"drain_bound"`
	// EvacuationBound is the maximum time until the servers of an evacuated zone receive nothing.
	// Evacuations are ignored if it is zero.
	EvacuationBound Duration `toml:"evacuation_bound"`
	// ColdOverage and ColdSlack are the allowed excess of requests per second to a cold server
	// over its rate: as a factor, and as a number.
	ColdOverage float64 `toml:"cold_overage" validate:"min=0,max=1000"`
	ColdSlack   float64 `toml:"cold_slack" validate:"min=0,max=1000000"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace Duration `toml:"stop_grace"`
	// MemoryLimitMB is the memory limit of the process in MiB.
	MemoryLimitMB int `toml:"memory_limit_mb" validate:"min=16,max=1048576"`
	// Processors is the processor limit of the node, LinkMbps the bandwidth of its link in
	// Mbit/s. Together with the memory they determine how many servers it owns. Zero means
	// unknown, which counts as the smallest value of the other nodes.
	Processors float64 `toml:"processors" validate:"min=0,max=4096"`
	LinkMbps   float64 `toml:"link_mbps" validate:"min=0,max=1000000"`
	// LogLinesPerSecond is the maximum number of log lines per second.
	LogLinesPerSecond int `toml:"log_lines_per_second" validate:"min=1,max=1000000"`
	// LogLevel selects the events that are logged: everything, problems (no served requests) or
	// beliefs (no requests, only changes of the node's state).
	LogLevel string `toml:"log_level" validate:"oneof=everything problems beliefs"`
	// Regions maps zones to regions.
	Regions map[string]string `toml:"regions"`
}

// ProxyDefaults returns the default settings.
func ProxyDefaults() Proxy {
	return Proxy{
		RevocationBound:    Duration{5 * time.Second},
		ConfigurationBound: Duration{4 * time.Second}, DrainBound: Duration{7 * time.Second},
		StopGrace: Duration{6 * time.Second}, MemoryLimitMB: 256, LogLinesPerSecond: 200, LogLevel: "everything",
	}
}

// LoadProxy reads and checks a settings file. Missing keys get their defaults.
func LoadProxy(path string) (Proxy, error) {
	loaded := ProxyDefaults()
	if err := readStrict(path, &loaded); err != nil {
		return loaded, err
	}
	return loaded, loaded.Check()
}

// Limits of durations, which validation tags cannot express.
const (
	minimumBound = 100 * time.Millisecond
	maximumBound = time.Hour
)

// Check returns an error that names all invalid values with a remedy for each.
func (p *Proxy) Check() error {
	lines := checkTags(p)
	// The name is sent to servers as a word of a line and to the platform in a header.
	if strings.ContainsFunc(p.Name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		lines = append(lines, fmt.Sprintf("name = %q: use a name without white space and control characters", p.Name))
	}
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
	return invalidSettings(lines)
}
