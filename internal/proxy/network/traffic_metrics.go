package network

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/traffic"
)

// TrafficLook is the pause between two log lines of what a node has exchanged with others:
// the log alone then tells which kind fills a link. A node that sends busyBytes in less than that
// tells so from busyLook on.
const (
	TrafficLook = time.Minute
	busyLook    = 4 * time.Second
	busyBytes   = 256 << 10
)

// TrafficDue reports whether the next log line is due, some time after the last one.
func (n *Network) TrafficDue(since time.Duration) bool {
	return since > TrafficLook || (since > busyLook && n.ports.Traffic.Sent() >= n.toldSent+busyBytes)
}

// distanceTo tells how far an address is: a member's, a server's, or one of their machines'.
func (n *Network) distanceTo(address string) traffic.Distance {
	if zones := n.memberZones.Load(); zones != nil {
		if zone, known := zoneAt(*zones, address); known {
			return n.trafficDistance(zone)
		}
	}
	for _, entry := range n.Catalog.Current().Servers {
		if entry.Address == address {
			return n.trafficDistance(entry.Zone)
		}
	}
	return traffic.Unplaced
}

// zoneAt looks an address up, and else its machine: a connection that another node opened
// comes from a port of no meaning.
func zoneAt(zones map[string]string, address string) (string, bool) {
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

// trafficDistances are the distances of zoneDistance.
var trafficDistances = [...]traffic.Distance{traffic.SameZone, traffic.SameRegion, traffic.OtherRegion}

func (n *Network) trafficDistance(zone string) traffic.Distance {
	return trafficDistances[n.ZoneDistance(n.options.Zone, zone)]
}

// placeMembers notes where the members' addresses are.
func (n *Network) placeMembers(members []Member) {
	zones := make(map[string]string, 2*len(members))
	for _, member := range members {
		zones[member.Address] = member.Zone
		if member.Tokens != "" {
			zones[member.Tokens] = member.Zone
		}
		if host, _, err := net.SplitHostPort(member.Address); err == nil {
			zones[host] = member.Zone
		}
	}
	n.memberZones.Store(&zones)
}

// Collectors returns what tells of the node's exchange with others.
func (n *Network) Collectors() []prometheus.Collector {
	return []prometheus.Collector{newTrafficCollector(n.ports.Traffic)}
}

// trafficCollector collects the bytes exchanged by kind, distance and direction, of which
// there are few. It implements prometheus.Collector.
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

// LogTraffic is called by one goroutine. It writes the bytes sent so far by kind and distance, those received from the
// store, and the calls to it.
func (n *Network) LogTraffic() {
	var fields []zap.Field
	n.ports.Traffic.Each(func(kind traffic.Kind, distance traffic.Distance, direction traffic.Direction, bytes uint64) {
		if bytes > 0 && (direction == traffic.Sent || kind == traffic.Store) {
			fields = append(fields, zap.Uint64(kind.String()+"."+distance.String()+"."+direction.String(), bytes))
		}
	})
	fields = append(fields, zap.Any("store_calls", n.calls.told()))
	n.toldSent = n.ports.Traffic.Sent()
	n.Log.Write(eventlog.TrafficTold, fields...)
}
