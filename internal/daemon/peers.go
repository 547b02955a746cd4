package daemon

import (
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/traffic"
	"dewknot/platform"
)

// accounting returns the meter for requests between nodes, with the kind of traffic of each
// kind of object.
func accounting(meter *traffic.Meter) relay.Accounting {
	return relay.Accounting{Meter: meter, Kinds: map[string]traffic.Kind{
		platform.Kinds.Members: traffic.Members, platform.Kinds.Configuration: traffic.Configuration,
		platform.Kinds.Servers: traffic.Directory,
	}}
}
