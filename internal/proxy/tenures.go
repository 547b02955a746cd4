package proxy

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/eventlog"
	"dewknot/internal/failover"
	"dewknot/internal/quorum"
	"dewknot/internal/tenure"
	"dewknot/internal/upstream"
)

// Where the platform checks no fences, an accepted transaction does not prove that the
// server leads: a replaced primary goes on. Then the nodes agree on tenures, and what
// only a primary may answer is believed if the tenure, under which it was asked for, was
// covered by this node's leases when the answer came.

// newTenures returns the node's part in the agreement; nil if the platform checks fences.
func (n *Node) newTenures() *tenure.Keeper {
	if !n.options.Agreed || n.ports.Messages == nil {
		return nil
	}
	return tenure.New(tenure.Config{
		Name: n.options.Name, Zone: n.options.Zone, Address: n.options.MessageAddress, Life: lifeNumber(n.options.Life),
		Store: n.ports.Store, Kind: n.options.Kinds.Voters, Sender: n.ports.Messages, Peers: n.votingPeers,
		Changed: n.tenureChanged, Voiced: n.lookSoon, Log: n.log,
	})
}

// lifeNumber makes a number of what is unique to the process.
func lifeNumber(life string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(life))
	return hash.Sum64()
}

// votingPeers returns the other nodes that take messages.
func (n *Node) votingPeers() []tenure.Peer {
	known := n.members.Load()
	if known == nil {
		return nil
	}
	peers := make([]tenure.Peer, 0, len(*known))
	for _, member := range *known {
		if member.Messages != "" {
			peers = append(peers, tenure.Peer{Name: member.Name, Address: member.Messages, Zone: member.Zone})
		}
	}
	return peers
}

// ReceiveMessage takes a message from the node at an address.
func (n *Node) ReceiveMessage(from string, m *quorum.Message) {
	if n.tenures != nil {
		n.tenures.Receive(from, m)
	}
}

// tenureChanged leads callers' work to the primary of a service's open tenure.
func (n *Node) tenureChanged(name string) {
	s := n.service(name)
	primary := ""
	if view := n.tenures.View(name); view.Open {
		primary = view.Tenure.Primary
	}
	before := s.belief.Leader()
	if s.belief.Follow(primary) && before != "" {
		n.refreshLeases()
	}
}

// firstTenureLimit bounds the wait of a new session for the first tenure of its service
// that this process learns of: short of the time that callers give a session's start.
const firstTenureLimit = 1500 * time.Millisecond

// awaitTenure holds a new session back until its service has a tenure, on a node that has
// just started. Its statements would be refused, each after a wait.
func (n *Node) awaitTenure(service string, now time.Time) {
	if n.tenures == nil {
		return
	}
	if view := n.tenures.View(service); view == nil || view.Tenure.Ballot == 0 {
		s := n.service(service)
		// This node looks at the service from now on: its holder may be lost.
		s.used(now)
		s.warm()
		n.tenures.AwaitFirst(service, now.Add(firstTenureLimit))
		n.spread(now)
	}
}

const (
	// startSpread is the span over which sessions that have waited for a tenure begin:
	// all at once they would meet full servers, and be refused until their callers give up.
	startSpread = 600 * time.Millisecond
	// startPatience bounds a session's wait as a whole: callers give its start 2 s.
	startPatience = 1800 * time.Millisecond
)

// spread holds a session that has waited since a time back a little longer.
func (n *Node) spread(since time.Time) {
	if left := startPatience - time.Since(since); left > 0 {
		time.Sleep(min(left, rand.N(startSpread)))
	}
}

// lookSoon makes the next look at the services come at once.
func (n *Node) lookSoon() {
	select {
	case n.nudged <- struct{}{}:
	default:
	}
}

// warm opens connections to a service's servers, once, while its callers wait for the
// first tenure. They will all come at once, and an opening takes a server's slot.
func (s *service) warm() {
	if s.warmed.Swap(true) {
		return
	}
	for _, entry := range s.node.catalog.Current().ByService[s.name] {
		target := s.node.server(entry.ID)
		if target == nil || entry.Gone {
			continue
		}
		for range entry.Slots + spareConnections {
			go s.node.warmOne(target)
		}
	}
}

// spareConnections are opened ahead beside one for each of a server's slots, for
// transactions whose callers think.
const spareConnections = 2

// warmTime is how long a connection that was opened ahead is kept from others, so that
// several are opened.
const warmTime = 100 * time.Millisecond

// warmOne opens a connection, or the link to the node that owns those to the server.
func (n *Node) warmOne(target *server) {
	lease, err := n.lend(target, time.Now().Add(stepDownLimit))
	if err != nil {
		return
	}
	if !lease.Remote() {
		time.Sleep(warmTime)
	}
	lease.Return()
}

// hold returns the tenure under which a server is asked for what only the primary may
// answer, and whether there is one. Where fences are checked, the answer itself tells.
func (s *service) hold(server string) (quorum.Tenure, bool) {
	if s.node.tenures == nil {
		return quorum.Tenure{}, true
	}
	view := s.node.tenures.View(s.name)
	if view == nil || !view.Open || view.Tenure.Primary != server {
		return quorum.Tenure{}, false
	}
	return view.Tenure, true
}

// leased reports whether this node may use the primary now. If its leases have run out
// it asks for new ones.
func (s *service) leased(now time.Time) bool {
	if s.node.tenures == nil {
		return true
	}
	view := s.node.tenures.View(s.name)
	if view != nil && view.Covers(now) {
		return true
	}
	s.node.tenures.Renew(now)
	return false
}

// confirmLimit bounds the wait for the voters' word on an answer that came after the
// leases had run out: some round trips between regions.
const confirmLimit = 400 * time.Millisecond

// confirmed reports whether an answer that has just come, and was asked for under a
// tenure, is the primary's: no other server can have been ordered to lead before.
func (s *service) confirmed(held quorum.Tenure, arrived, deadline time.Time) bool {
	if s.node.tenures == nil {
		return true
	}
	if limit := arrived.Add(confirmLimit); limit.Before(deadline) {
		deadline = limit
	}
	if s.node.tenures.Confirm(s.name, held, arrived, deadline) {
		return true
	}
	s.node.metrics.unproved.Inc()
	s.node.log.Write(eventlog.AnswerUnproved, zap.String("service", s.name), zap.String("server", held.Primary),
		zap.Uint64("ballot", held.Ballot), zap.Duration("waited", time.Since(arrived)))
	return false
}

// covered is confirmed without a wait, for answers that only add to what is known.
func (s *service) covered(held quorum.Tenure, arrived time.Time) bool {
	if s.node.tenures == nil {
		return true
	}
	view := s.node.tenures.View(s.name)
	return view != nil && view.Tenure == held && view.Covers(arrived)
}

// lookIsolated notes whether this node is cut off from the voters. It then wants no new
// callers and lets go of those that it has as soon as nothing of theirs is under way: on
// other nodes they are served.
func (n *Node) lookIsolated(now time.Time) {
	if n.tenures == nil {
		return
	}
	isolated := n.tenures.Isolated(now)
	if n.isolated.Swap(isolated) != isolated {
		n.log.Write(eventlog.NodeIsolated, zap.Bool("isolated", isolated), zap.Int64("sessions", n.sessionCount.Load()))
	}
	if isolated {
		n.interruptSessions()
	}
}

// deny takes a server's own word that it does not lead.
func (s *service) deny(server string, now time.Time) bool {
	if s.node.tenures == nil {
		return s.belief.Refute(server, now)
	}
	return s.belief.Deny(server, now)
}

// observeTenure tells the failover machine what the nodes agree on.
func (s *service) observeTenure(observation *failover.Observation, now time.Time) {
	observation.LeastBallot, observation.Voiceless = s.node.tenures.Standing()
	view := s.node.tenures.View(s.name)
	if view == nil {
		observation.Closed = true
		return
	}
	observation.Closed = !view.Open || s.belief.Refuted(view.Tenure.Primary, now)
	observation.Highest = view.Highest
}

// lastPrimary returns the server whose health is looked at: the primary of the last
// tenure known, also while that is closed, or the one believed in.
func (s *service) lastPrimary() string {
	if s.node.tenures == nil {
		return s.belief.Leader()
	}
	if view := s.node.tenures.View(s.name); view != nil {
		return view.Tenure.Primary
	}
	return ""
}

// performTenure carries out a step of a campaign; it reports false for other effects.
func (s *service) performTenure(effect failover.Effect) bool {
	began := time.Now()
	switch effect := effect.(type) {
	case failover.Prepare:
		result := s.node.tenures.Prepare(s.name, effect.Ballot)
		s.logRound("prepare", effect.Ballot, "", &result, began)
		s.submit(preparedFrom(effect.Ballot, &result))
	case failover.Choose:
		result := s.node.tenures.Choose(s.name, quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Target}, effect.Ordering)
		s.logRound("choose", effect.Ballot, effect.Target, &result, began)
		s.submit(failover.Held{Agreed: result.Agreed})
	case failover.AwaitClear:
		result := s.node.tenures.AwaitClear(s.name, effect.Ballot, clearLimit)
		s.logRound("clear", effect.Ballot, "", &result, began)
		s.submit(failover.Cleared{Agreed: result.Agreed})
	case failover.Open:
		result := s.node.tenures.Open(s.name, quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Primary}, effect.Term, effect.Loose)
		s.logRound("open", effect.Ballot, effect.Primary, &result, began)
		s.submit(failover.Opened{Agreed: result.Agreed})
	case failover.StepDown:
		s.submit(s.stepDown(effect.Server))
	case failover.AwaitLead:
		s.submit(s.awaitLead(effect.Target, effect.Least, began.Add(effect.Limit)))
	default:
		return false
	}
	return true
}

// clearLimit bounds the wait for leases to end: those of a voter that has just begun are
// counted from its beginning.
const clearLimit = quorum.LeaseSpan + 300*time.Millisecond

func preparedFrom(ballot uint64, result *tenure.Result) failover.Prepared {
	event := failover.Prepared{Agreed: result.Agreed, Highest: result.Highest, Busy: !result.Agreed && result.Highest < ballot}
	if !result.Agreed {
		return event
	}
	merged := quorum.Merge(result.Records)
	event.Term, event.Loose, event.LooseFor = merged.Term, result.Loose, result.LooseFor
	if merged.Ordering {
		event.Bound, event.BoundBallot = merged.Chosen.Primary, merged.Chosen.Ballot
	} else {
		event.Settled = merged.Chosen.Primary
	}
	return event
}

func (s *service) logRound(step string, ballot uint64, target string, result *tenure.Result, began time.Time) {
	s.node.metrics.rounds.WithLabelValues(step, outcomeOf(result.Agreed)).Observe(time.Since(began).Seconds())
	s.node.log.Write(eventlog.TenureRound, zap.String("service", s.name), zap.String("step", step), zap.Uint64("ballot", ballot),
		zap.String("target", target), zap.Bool("agreed", result.Agreed), zap.Uint64("highest", result.Highest),
		zap.Bool("clear", result.Clear), zap.Duration("took", time.Since(began)))
}

func outcomeOf(agreed bool) string {
	if agreed {
		return "agreed"
	}
	return "refused"
}

// leadInterval is the pause between questions whether an ordered server leads.
const leadInterval = 40 * time.Millisecond

// awaitLead waits until a server that was ordered leads in a term not below the least.
// That it accepts a transaction is cheap to learn; in which term it does, its status
// tells.
func (s *service) awaitLead(id string, least uint64, deadline time.Time) failover.Led {
	for time.Now().Before(deadline) {
		target := s.node.server(id)
		if target != nil && target.accepts(time.Now().Add(pingLimit)) {
			status := target.report(upstream.Operation{Kind: upstream.ReportStatus}, time.Now().Add(surveyLimit))
			if status != nil && status.Primary && status.Term >= least {
				return failover.Led{Leads: true, Term: status.Term}
			}
		}
		time.Sleep(leadInterval)
	}
	return failover.Led{}
}

// accepts reports whether a server opens a transaction that only a primary accepts.
func (t *server) accepts(deadline time.Time) bool {
	lease, err := t.pool.Reserve(deadline)
	if err != nil {
		return false
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.Begin}, {Kind: upstream.Rollback}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return false
	}
	lease.Settle(batch.Last())
	return batch.First().Outcome == upstream.Succeeded
}

// stepDownLimit bounds the attempt to make a primary give up the lead.
const stepDownLimit = 500 * time.Millisecond

// stepDown tells a primary to give up the lead: directly, and through other nodes that
// may reach it.
func (s *service) stepDown(id string) failover.SteppedDown {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownLimit)
	defer cancel()
	began := time.Now()
	results := make(chan *upstream.Status, 1+witnessesAsked)
	asked := 1
	go func() { results <- s.node.demote(id) }()
	for _, member := range s.node.someMembers(witnessesAsked) {
		asked++
		go func() { results <- s.node.askToDemote(ctx, &member, id) }()
	}
	event := failover.SteppedDown{Server: id}
	for ; asked > 0 && !event.Done; asked-- {
		select {
		case status := <-results:
			if status != nil {
				event.Done, event.Received = true, status.Received
			}
		case <-ctx.Done():
			asked = 1
		}
	}
	s.node.log.Write(eventlog.StepDown, zap.String("service", s.name), zap.String("server", id), zap.Bool("done", event.Done),
		zap.Stringer("received", event.Received), zap.Duration("took", time.Since(began)))
	return event
}

// demote makes a server give up the lead; the status tells that it does not lead. It is
// nil if the server did not answer.
func (n *Node) demote(id string) *upstream.Status {
	target := n.server(id)
	if target == nil {
		return nil
	}
	deadline := time.Now().Add(stepDownLimit)
	status := target.report(upstream.Operation{Kind: upstream.ReportStatus}, deadline)
	if status == nil {
		return nil
	}
	// Also a replica is told: an order that is carried out late must not find a lower term.
	if status.Primary {
		status = target.report(upstream.Operation{Kind: upstream.StepDown, Term: status.Term + 1}, deadline)
	}
	if status == nil || status.Primary {
		return nil
	}
	return status
}
