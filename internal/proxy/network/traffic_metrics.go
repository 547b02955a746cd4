package network

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/traffic"
)

// trafficLogInterval is the interval between log lines of a node's traffic. A node that sends
// busyBytes sooner logs after busyLogInterval.
const (
	trafficLogInterval = time.Minute
	busyLogInterval    = 4 * time.Second
	busyBytes          = 256 << 10
)

// TrafficLogDue reports whether the next log line is due, given the time since the last one.
func (n *Network) TrafficLogDue(since time.Duration) bool {
	return since > trafficLogInterval || (since > busyLogInterval && n.ports.Traffic.Sent() >= n.loggedSent+busyBytes)
}

// distanceTo returns the distance to the address of a member or server, or to a member's host.
func (n *Network) distanceTo(address string) traffic.Distance {
	if zones := n.memberZones.Load(); zones != nil {
		if zone, known := zoneOf(*zones, address); known {
			return n.trafficDistance(zone)
		}
	}
	for _, entry := range n.Catalog.Current().Servers {
		if entry.Address == address {
			return n.trafficDistance(entry.Zone)
		}
	}
	return traffic.UnknownDistance
}

// zoneOf looks up an address, then its host: the source port of an incoming connection is
// arbitrary.
func zoneOf(zones map[string]string, address string) (string, bool) {
	if zone, known := zones[address]; known {
		return zone, true
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", false
	}
	zone, known := zones[host]
	return zone, known
}

// trafficDistances is indexed by the results of ZoneDistance.
var trafficDistances = [...]traffic.Distance{traffic.SameZone, traffic.SameRegion, traffic.OtherRegion}

func (n *Network) trafficDistance(zone string) traffic.Distance {
	return trafficDistances[n.ZoneDistance(n.options.Zone, zone)]
}

// recordMemberZones updates the zones of the members' addresses and hosts.
func (n *Network) recordMemberZones(members []Member) {
	zones := make(map[string]string, 2*len(members))
	for _, member := range members {
		zones[member.Address] = member.Zone
		if member.TokenAddress != "" {
			zones[member.TokenAddress] = member.Zone
		}
		if host, _, err := net.SplitHostPort(member.Address); err == nil {
			zones[host] = member.Zone
		}
	}
	n.memberZones.Store(&zones)
}

// Collectors returns the collectors of the node's traffic metrics.
func (n *Network) Collectors() []prometheus.Collector {
	return []prometheus.Collector{newTrafficCollector(n.ports.Traffic)}
}

// trafficCollector exports the exchanged bytes by kind, distance and direction. It implements
// prometheus.Collector.
type trafficCollector struct {
	meter *traffic.Meter
	bytes *prometheus.Desc
}

func newTrafficCollector(meter *traffic.Meter) *trafficCollector {
	return &trafficCollector{meter: meter, bytes: prometheus.NewDesc(
		prometheus.BuildFQName(MetricsNamespace, "", "traffic_bytes_total"),
		"Bytes exchanged with other nodes, servers and the store, by what they are for and how far they go.",
		[]string{"kind", "distance", "direction"}, nil,
	)}
}

// Describe implements prometheus.Collector.
func (c *trafficCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.bytes }

// Collect implements prometheus.Collector.
func (c *trafficCollector) Collect(metrics chan<- prometheus.Metric) {
	c.meter.Each(func(kind traffic.Kind, distance traffic.Distance, direction traffic.Direction, bytes uint64) {
		metrics <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(bytes), kind.String(), distance.String(), direction.String())
	})
}

// LogTraffic logs the bytes sent by kind and distance, the bytes received from the store, and the
// number of calls to the store. Only one goroutine may call it.
func (n *Network) LogTraffic() {
	var fields []zap.Field
	n.ports.Traffic.Each(func(kind traffic.Kind, distance traffic.Distance, direction traffic.Direction, bytes uint64) {
		if bytes > 0 && (direction == traffic.Sent || kind == traffic.Store) {
			fields = append(fields, zap.Uint64(kind.String()+"."+distance.String()+"."+direction.String(), bytes))
		}
	})
	fields = append(fields, zap.Any("store_calls", n.calls.snapshot()))
	n.loggedSent = n.ports.Traffic.Sent()
	n.Log.Write(eventlog.TrafficTold, fields...)
}
