package backends

import "github.com/prometheus/client_golang/prometheus"

// MetricsNamespace begins the names of all metrics.
const MetricsNamespace = "dewknot"

// DurationBuckets are seconds; latency objectives lie between them.
var DurationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 2, 4}

// backendMetrics are the counters and histograms of the services.
type backendMetrics struct {
	failovers *prometheus.CounterVec
	// rounds are the times of questions to the voters, unproved the answers that came
	// without a lease and were not confirmed.
	rounds   *prometheus.HistogramVec
	unproved prometheus.Counter
}

func newBackendMetrics() *backendMetrics {
	return &backendMetrics{
		failovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: MetricsNamespace, Name: "failover_phases_total", Help: "Phases entered by the failover machines.",
		}, []string{"service", "phase"}),
		rounds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: MetricsNamespace, Name: "tenure_round_seconds", Buckets: DurationBuckets,
			Help: "Time of a candidate's question to the voters, by step.",
		}, []string{"step", "outcome"}),
		unproved: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: MetricsNamespace, Name: "answers_unproved_total",
			Help: "Answers of a primary that were not believed, since its tenure may have ended.",
		}),
	}
}

// Collectors returns what tells of the services and their servers.
func (n *Backends) Collectors() []prometheus.Collector {
	return []prometheus.Collector{n.metrics.failovers, n.metrics.rounds, n.metrics.unproved, newServerCollector(n)}
}
