package tenure

import "github.com/prometheus/client_golang/prometheus"

// Metrics collects metrics of a keeper's requests to voters and of its own voter.
type Metrics struct{ keeper *Keeper }

// Metrics returns the keeper's metrics.
func (k *Keeper) Metrics() Metrics { return Metrics{k} }

func newDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("dewknot_"+name, help, nil, nil)
}

var (
	rttDesc     = newDesc("voter_round_trip_seconds", "Smoothed time until the answer of the voter that answers last.")
	missesDesc  = newDesc("voter_questions_missed", "Questions in a row without an answer in time, of the voter with most of them.")
	backlogDesc = newDesc("voter_backlog_bytes", "Bytes of records on their way from this node's voter to members.")
	waitingDesc = newDesc("voter_members_waiting", "Members to which this node's voter has still to send records.")
)

// Describe implements prometheus.Collector.
func (Metrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{rttDesc, missesDesc, backlogDesc, waitingDesc} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (m Metrics) Collect(out chan<- prometheus.Metric) {
	m.keeper.mu.Lock()
	rtt, misses := m.keeper.member.Delay()
	bytes, waiting := m.keeper.voter.Backlog()
	m.keeper.mu.Unlock()
	gauge := func(desc *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	gauge(rttDesc, rtt.Seconds())
	gauge(missesDesc, float64(misses))
	gauge(backlogDesc, float64(bytes))
	gauge(waitingDesc, float64(waiting))
}
