package backends

import (
	"dewknot/internal/proxy/network"
)

import "github.com/prometheus/client_golang/prometheus"

// DurationBuckets are seconds; latency objectives lie between them.
var DurationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 2, 4}

// backendMetrics are the counters and histograms of the services.
type backendMetrics struct {
	failovers *prometheus.CounterVec
	// room counts what became of work for want of room.
	room *prometheus.CounterVec
	// rounds are the times of questions to the voters, unproved the answers that came
	// without a lease and were not confirmed.
	rounds   *prometheus.HistogramVec
	unproved prometheus.Counter
	// ownerMoves are the changes of owners as this node sees them.
	ownerMoves prometheus.Counter
}

func newBackendMetrics() *backendMetrics {
	return &backendMetrics{
		failovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "failover_phases_total", Help: "Phases entered by the failover machines.",
		}, []string{"service", "phase"}),
		room: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "room_decisions_total", Help: "Work that was refused, or sent elsewhere, for want of room on a server.",
		}, []string{"service", "level", "decision"}),
		rounds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: network.MetricsNamespace, Name: "tenure_round_seconds", Buckets: DurationBuckets,
			Help: "Time of a candidate's question to the voters, by step.",
		}, []string{"step", "outcome"}),
		unproved: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "answers_unproved_total",
			Help: "Answers of a primary that were not believed, since its tenure may have ended.",
		}),
		ownerMoves: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "owner_moves_total",
			Help: "Servers whose connections another node owns than before, as this node sees it.",
		}),
	}
}

// Collectors returns what tells of the services and their servers.
func (b *Backends) Collectors() []prometheus.Collector {
	m := b.metrics
	collectors := []prometheus.Collector{
		m.failovers, m.room, m.rounds, m.unproved, m.ownerMoves, newServerCollector(b),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: network.MetricsNamespace, Name: "owned_servers", Help: "Servers whose connections this node owns for others.",
		}, b.owned),
	}
	if b.Tenures != nil {
		collectors = append(collectors, b.Tenures.Metrics())
	}
	return append(collectors, b.Network.Collectors()...)
}
