package daemon

import (
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/traffic"
	"dewknot/platform"
)

// accounting tells what the bytes of questions between nodes are for.
func accounting(meter *traffic.Meter) relay.Accounting {
	return relay.Accounting{Meter: meter, Kinds: map[string]traffic.Kind{
		platform.Kinds.Members: traffic.Members, platform.Kinds.Configuration: traffic.Configuration,
		platform.Kinds.Servers: traffic.Directory,
	}}
}
