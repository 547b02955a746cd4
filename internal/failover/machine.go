// Package failover decides when a service's primary is replaced, by which
// server and under which fencing token.
//
// Machine is a pure reducer: events with their time go in, effects come out as
// data. One machine runs for each service on each node. Nodes agree on who acts
// through one lease object a service in the durable store: it names the holder
// and an epoch that rises with every change of holder. A token is made of the
// epoch and a counter, so tokens of different holders never collide, and each
// order for another target carries a higher one: an earlier order that is
// carried out late is then fenced off.
package failover

import (
	"time"

	"dewknot/internal/position"
)

// tokensPerEpoch is how many tokens a holder may use within one epoch.
const tokensPerEpoch = 1 << 20

// The times of the protocol.
const (
	// holderDelay is how long a node that does not hold the lease waits before it
	// looks whether the holder lives; takeoverDelay is how long it leaves the
	// matter to a holder that does.
	holderDelay   = 400 * time.Millisecond
	takeoverDelay = 2500 * time.Millisecond
	// contradictedPause is the pause after other nodes have reached a primary
	// that this node does not reach.
	contradictedPause = 500 * time.Millisecond
	// leaderlessDelay is how long a service may be without a known primary
	// before one is promoted.
	leaderlessDelay = 1500 * time.Millisecond
	// goneDelay is how long a primary that vanished from the directory, but
	// still answers, is left in office.
	goneDelay = 2 * time.Second
	// settleLimit bounds the wait for a promoted server to take the lead.
	settleLimit = 3 * time.Second
	// unansweredLimit is the same after an order that was not answered.
	unansweredLimit = 1200 * time.Millisecond
	// pauseAfterFailure is the pause after a step that failed.
	pauseAfterFailure = 300 * time.Millisecond
	// rejectedLife is how long a target that the platform rejected is avoided.
	rejectedLife = 2 * time.Second
)

// Phase is what a machine is waiting for.
type Phase uint8

// The phases.
const (
	Watching Phase = iota
	// Corroborating: other nodes are asked whether they reach the primary.
	Corroborating
	ReadingLease
	WritingLease
	Surveying
	Promoting
	Settling
	// Withdrawing: an order that was not answered is fenced off.
	Withdrawing
)

var phaseNames = [...]string{
	"watching", "corroborating", "reading_lease", "writing_lease", "surveying", "promoting", "settling", "withdrawing",
}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// Lease is the content of a service's lease object.
type Lease struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Life tells the holder's processes of the same name apart.
	Life string `json:"life"`
}

// Observation is what the node sees of the service.
type Observation struct {
	// Leader is the server believed to be the primary; "" if none is known.
	Leader string
	// LeaderDown is set if the leader surely does not answer this node.
	LeaderDown bool
	// LeaderDraining is set if the leader has announced its end, LeaderGone if
	// it has vanished from the directory.
	LeaderDraining bool
	LeaderGone     bool
	// Servers are all servers of the service known to the node.
	Servers []Server
	// SynchronousReplicas is how many replicas hold a commit when it is acknowledged.
	SynchronousReplicas int
}

// Server is a possible target.
type Server struct {
	ID      string
	Leaving bool
}

// Report is one server's answer to a survey.
type Report struct {
	ID       string
	Primary  bool
	Term     uint64
	Received position.Position
}

// PromotionOutcome is the platform's answer to an order.
type PromotionOutcome uint8

// The outcomes of an order.
const (
	// Accepted: the server takes the lead shortly.
	Accepted PromotionOutcome = iota
	// Rejected: a newer token was seen, or the server does not run.
	Rejected
	// Unanswered: the order may be carried out, now or later.
	Unanswered
)

var outcomeNames = [...]string{"accepted", "rejected", "unanswered"}

// String returns the outcome's name in logs.
func (o PromotionOutcome) String() string { return outcomeNames[o] }

// Machine is the reducer of one service on one node.
type Machine struct {
	node string
	life string
	rank time.Duration

	phase   Phase
	holding bool
	// holder is the lease's last holder known.
	holder string
	// holderLives is set once the holder has answered since the need began.
	holderLives bool
	epoch       uint64
	counter     uint64
	revision    uint64

	needSince   time.Time
	notBefore   time.Time
	settleUntil time.Time
	target      string
	// unanswered is set while an order may still be carried out late.
	unanswered  bool
	rejected    map[string]time.Time
	observation Observation
}

// New returns a machine. life is unique to the process; rank delays a takeover,
// so that the nodes do not all try at once.
func New(node, life string, rank time.Duration) *Machine {
	return &Machine{node: node, life: life, rank: rank, rejected: map[string]time.Time{}}
}

// Phase returns what the machine is waiting for.
func (m *Machine) Phase() Phase { return m.phase }

// Holding reports whether this node holds the lease, as far as it knows.
func (m *Machine) Holding() bool { return m.holding }

// Step takes an event and returns what to do.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Observed:
		m.observation = event.Observation
		return m.observed(now)
	case Corroborated:
		return m.corroborated(now, event)
	case LeaseKnown:
		return m.leaseKnown(now, event)
	case LeaseWritten:
		return m.leaseWritten(now, event)
	case Surveyed:
		return m.surveyed(now, event)
	case Ordered:
		return m.ordered(now, event)
	}
	return nil
}

// need returns whether the primary should be replaced, and after which delay.
func (m *Machine) need() (bool, time.Duration) {
	switch seen := &m.observation; {
	case seen.Leader == "":
		return len(seen.Servers) > 0, leaderlessDelay
	case seen.LeaderDown, seen.LeaderDraining:
		return m.otherServer(), 0
	case seen.LeaderGone:
		return m.otherServer(), goneDelay
	default:
		return false, 0
	}
}

func (m *Machine) otherServer() bool {
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader && !server.Leaving {
			return true
		}
	}
	return false
}

func (m *Machine) observed(now time.Time) []Effect {
	if m.phase == Settling {
		if m.observation.Leader == m.target && !m.observation.LeaderDown {
			return m.settled(now)
		}
		if now.Before(m.settleUntil) {
			return nil
		}
		m.rest(now, 0)
	}
	if m.phase != Watching {
		return nil
	}
	needed, delay := m.need()
	if !needed {
		m.needSince, m.holderLives = time.Time{}, false
		return m.withdraw()
	}
	if m.needSince.IsZero() {
		m.needSince = now
	}
	if !m.holding {
		delay += m.deference()
	}
	if now.Sub(m.needSince) < delay || now.Before(m.notBefore) {
		return nil
	}
	if m.observation.Leader != "" && (m.observation.LeaderDown || !m.holding) {
		m.phase = Corroborating
		return []Effect{Corroborate{Server: m.observation.Leader, Holder: m.holder}}
	}
	return m.act()
}

// rankShare is the part of its rank by which a node waits before it looks
// whether the holder lives.
const rankShare = 4

// deference is how long a node that does not hold the lease leaves a need to
// the holder.
func (m *Machine) deference() time.Duration {
	if m.holderLives || m.observation.Leader == "" {
		return takeoverDelay + m.rank
	}
	return holderDelay + m.rank/rankShare
}

// enoughAnswers is how many answers may contradict this node's own evidence.
const enoughAnswers = 2

// corroborated weighs what other nodes see. If most of them reach the primary,
// it is this node that is cut off, and replacing the primary would lose what it
// has not replicated yet.
func (m *Machine) corroborated(now time.Time, event Corroborated) []Effect {
	if m.phase != Corroborating {
		return nil
	}
	m.phase = Watching
	needed, _ := m.need()
	if !needed {
		return nil
	}
	if m.observation.LeaderDown && event.Answers >= enoughAnswers && 2*event.Reached > event.Answers {
		m.rest(now, contradictedPause)
		m.needSince, m.holderLives = time.Time{}, false
		return nil
	}
	if m.holding || !event.HolderAnswered || m.holderLives {
		return m.act()
	}
	m.holderLives = true
	return nil
}

// settled ends a change of the primary that has succeeded.
func (m *Machine) settled(now time.Time) []Effect {
	m.rest(now, 0)
	m.needSince = time.Time{}
	m.unanswered = false
	return m.resume()
}

// withdraw fences off an order that was not answered and is no longer needed,
// by ordering the present primary under a higher token. Only services with
// synchronous replicas need it: their replicas are held until then, since an
// order carried out late would lose what they acknowledge afterwards. If the
// late order is carried out first, the present primary has become the only
// replica that is not held, so it holds all that was acknowledged since.
func (m *Machine) withdraw() []Effect {
	if !m.unanswered || !m.holding || m.observation.SynchronousReplicas == 0 {
		return nil
	}
	m.phase = Withdrawing
	m.target = m.observation.Leader
	m.counter++
	return []Effect{Order{Target: m.target, Token: m.epoch*tokensPerEpoch + m.counter}}
}

func (m *Machine) act() []Effect {
	if m.holding {
		m.phase = Surveying
		return []Effect{Survey{Except: m.downLeader(), Hold: m.observation.SynchronousReplicas > 0}}
	}
	m.phase = ReadingLease
	return []Effect{ReadLease{}}
}

// downLeader returns the leader if it is not worth asking.
func (m *Machine) downLeader() string {
	if m.observation.LeaderDown {
		return m.observation.Leader
	}
	return ""
}

// leaseKnown takes the lease as it stands in the store: at the start, or since
// this node wants to act.
func (m *Machine) leaseKnown(now time.Time, event LeaseKnown) []Effect {
	acting := m.phase == ReadingLease
	if event.Failed {
		if acting {
			m.rest(now, pauseAfterFailure)
		}
		return nil
	}
	if event.Lease.Holder == m.node && event.Lease.Life == m.life {
		m.revision = event.Revision
		m.hold(event.Lease.Epoch)
		if acting {
			return m.act()
		}
		return nil
	}
	m.holding = false
	m.holder = event.Lease.Holder
	mine := event.Lease.Holder == m.node
	changed := event.Revision != m.revision
	m.revision = event.Revision
	if acting && changed && !event.Missing && !mine {
		// Another node has taken the lease lately and is about to act.
		m.rest(now, 0)
		m.needSince, m.holderLives = now, true
		return nil
	}
	if !acting && !event.Missing && !mine {
		return nil
	}
	if !acting && m.phase != Watching {
		return nil
	}
	m.phase = WritingLease
	m.epoch = event.Lease.Epoch + 1
	return []Effect{WriteLease{
		Revision: event.Revision, Create: event.Missing,
		Lease: Lease{Holder: m.node, Epoch: m.epoch, Life: m.life},
	}}
}

func (m *Machine) leaseWritten(now time.Time, event LeaseWritten) []Effect {
	switch event.Result {
	case Written:
		m.revision = event.Revision
		m.hold(m.epoch)
		m.phase = Watching
		effects := m.observed(now)
		if m.phase == Watching {
			// An earlier holder may have ended between a survey and its order.
			return append(effects, m.resume()...)
		}
		return effects
	case Superseded:
		// Another node was faster and is about to act.
		m.rest(now, 0)
		m.needSince, m.holderLives = now, true
	case Uncertain:
		m.rest(now, pauseAfterFailure)
	}
	return nil
}

// hold notes that the lease is held. The counter is never reset, since a lease
// that is held again under the same epoch must not give out a token twice.
func (m *Machine) hold(epoch uint64) {
	m.holding, m.epoch = true, epoch
}

// surveyed chooses the target: the server that has received most.
func (m *Machine) surveyed(now time.Time, event Surveyed) []Effect {
	if m.phase != Surveying {
		return nil
	}
	for _, report := range event.Reports {
		if report.Primary && report.ID != m.observation.Leader {
			m.rest(now, pauseAfterFailure)
			return append(m.resume(), LeaderFound{ID: report.ID})
		}
	}
	needed, _ := m.need()
	best := m.furthest(now, event.Reports)
	if !needed || best == nil || !m.holdsAllCommits(best, event.Reports) {
		m.rest(now, pauseAfterFailure)
		if m.unanswered {
			return nil
		}
		return m.resume()
	}
	m.target = best.ID
	m.phase = Promoting
	m.counter++
	return []Effect{Order{Target: best.ID, Token: m.epoch*tokensPerEpoch + m.counter}}
}

// resume ends what a survey that held the replicas began.
func (m *Machine) resume() []Effect {
	if m.observation.SynchronousReplicas == 0 {
		return nil
	}
	return []Effect{Resume{}}
}

// furthest returns the report of the eligible server that has received most,
// nil if there is none.
func (m *Machine) furthest(now time.Time, reports []Report) *Report {
	var best *Report
	for i := range reports {
		report := &reports[i]
		if !m.eligible(report.ID, now) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) {
			best = report
		}
	}
	return best
}

// holdsAllCommits reports whether the best server surely holds every
// acknowledged commit of a service with synchronous replicas. Either it holds
// all that the primary itself holds, or so many replicas have reported, none
// with more, that each commit's synchronous replicas are among them.
func (m *Machine) holdsAllCommits(best *Report, reports []Report) bool {
	if m.observation.SynchronousReplicas == 0 {
		return true
	}
	replicas := 0
	for _, server := range m.observation.Servers {
		if server.ID != m.observation.Leader {
			replicas++
		}
	}
	reported := 0
	for _, report := range reports {
		if report.ID == m.observation.Leader {
			if best.Received.Covers(report.Received) {
				return true
			}
			continue
		}
		if best.Received.Less(report.Received) {
			return false
		}
		reported++
	}
	return reported >= replicas-m.observation.SynchronousReplicas+1
}

func (m *Machine) eligible(id string, now time.Time) bool {
	if id == m.observation.Leader {
		return false
	}
	if at, found := m.rejected[id]; found && now.Sub(at) < rejectedLife {
		return false
	}
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return !server.Leaving
		}
	}
	return false
}

func (m *Machine) ordered(now time.Time, event Ordered) []Effect {
	if m.phase == Withdrawing {
		return m.withdrawn(now, event)
	}
	if m.phase != Promoting {
		return nil
	}
	switch event.Outcome {
	case Accepted:
		m.phase, m.settleUntil = Settling, now.Add(settleLimit)
	case Unanswered:
		m.unanswered = true
		m.phase, m.settleUntil = Settling, now.Add(unansweredLimit)
	case Rejected:
		// Either the target does not run, or another node holds a newer token.
		m.rejected[m.target] = now
		m.holding = false
		m.phase = ReadingLease
		return []Effect{ReadLease{}}
	}
	return nil
}

func (m *Machine) withdrawn(now time.Time, event Ordered) []Effect {
	m.rest(now, pauseAfterFailure)
	if event.Outcome == Unanswered {
		return nil
	}
	// A rejection shows a newer token, which fences the order off as well.
	m.unanswered = false
	return m.resume()
}

func (m *Machine) rest(now time.Time, pause time.Duration) {
	m.phase = Watching
	m.notBefore = now.Add(pause)
}
