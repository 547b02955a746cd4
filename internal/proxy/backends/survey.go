package backends

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
)

const (
	// BusyPause is the pause before a retry at a server that had no free slot.
	BusyPause = 15 * time.Millisecond
	// PrimaryChangeWait is the longest wait for a change of the primary before the next check.
	PrimaryChangeWait = 50 * time.Millisecond
)

// surveyTimeout bounds the wait for the servers' reports. A status request takes a slot, so a
// server with a full queue answers late, and the server with the newest log must not be missed.
const surveyTimeout = 600 * time.Millisecond

// survey asks the servers of the service for their status. For a server that does not answer in
// time, but has recently answered other requests, its last known applied position is used instead.
// Servers that left the directory recently may still run, and acknowledge commits as synchronous
// replicas.
func (s *Service) survey(effect failover.Survey) []failover.Report {
	s.replicationLock <- struct{}{}
	defer func() { <-s.replicationLock }()
	asksDeparted := s.synchronousReplicas() > 0
	var reports []failover.Report
	var mutex sync.Mutex
	var requests sync.WaitGroup
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if entry.ID == effect.Except || (entry.Gone && !asksDeparted) || (effect.Only != "" && entry.ID != effect.Only) {
			continue
		}
		target := s.backends.Server(entry.ID)
		if target == nil {
			continue
		}
		requests.Go(func() {
			deadline := time.Now().Add(surveyTimeout)
			report, answered := target.report(effect.Hold, deadline)
			if !answered && entry.Gone && target.hasEnded(deadline) {
				report, answered = failover.Report{ID: target.ID, Ended: true}, true
			}
			if !answered {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, report)
		})
	}
	requests.Wait()
	s.backends.log.Write(eventlog.FailoverSurvey, zap.String("service", s.Name), zap.Any("reports", reports))
	return reports
}

// report asks the server for its status. If hold is set, a replica stops receiving before. It reports
// false if the position of the server is not known.
func (t *Server) report(hold bool, deadline time.Time) (failover.Report, bool) {
	status := t.requestStatus(upstream.Operation{Kind: upstream.ReportStatus}, deadline)
	if status != nil && hold && !status.Primary {
		status = t.requestStatus(upstream.Operation{Kind: upstream.HoldReplication, Term: status.Term + 1}, deadline)
	}
	assumed := false
	if status == nil && !hold {
		status = t.lastKnownStatus(time.Now())
		assumed = true
	}
	if status == nil {
		return failover.Report{}, false
	}
	return failover.Report{
		ID: t.ID, Primary: status.Primary, Term: status.Term,
		Received: status.Received, Assumed: assumed, Lost: t.logLoss.missingAt(status.Received),
	}, true
}

// hasEnded reports whether the server's process has certainly ended: its address refuses connections, or
// another server has it.
func (t *Server) hasEnded(deadline time.Time) bool {
	lease, err := t.Pool.Reserve(deadline)
	if err == nil {
		lease.Return()
		return false
	}
	outcome, refused := upstream.RefusalOf(err)
	return errors.Is(err, syscall.ECONNREFUSED) || (refused && outcome == upstream.WrongServer)
}

// maxStatusAge is how old a server's last answer may be for its last known position to be used.
const maxStatusAge = time.Second

// lastKnownStatus returns the status shown by a server's earlier answers, nil if they are too old.
func (t *Server) lastKnownStatus(now time.Time) *upstream.Status {
	applied := t.Stats.Applied()
	if applied.IsZero() || t.Stats.SinceAnswer(now) > maxStatusAge {
		return nil
	}
	return &upstream.Status{Term: applied.Term, Received: applied}
}

// resumeReplication lets the replicas receive again. It never overlaps a survey: a late request
// would resume a replica that the survey has paused.
func (s *Service) resumeReplication() {
	s.replicationLock <- struct{}{}
	defer func() { <-s.replicationLock }()
	deadline := time.Now().Add(resumeTimeout)
	var requests sync.WaitGroup
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		target := s.backends.Server(entry.ID)
		if target == nil {
			continue
		}
		requests.Go(func() { target.resume(deadline) })
	}
	requests.Wait()
}

// resumeTimeout bounds the wait for the replicas' answers.
const resumeTimeout = 250 * time.Millisecond

func (t *Server) resume(deadline time.Time) {
	lease, err := t.Pool.Reserve(deadline)
	if err != nil {
		return
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.ResumeReplication}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return
	}
	lease.Return()
}

const (
	// stallSuspicion is how long a commit of a service with synchronous replicas may go without an
	// answer before it is checked whether the replicas receive.
	stallSuspicion = 500 * time.Millisecond
	// stallGrace is how long replicas have to receive what the primary has.
	stallGrace = 300 * time.Millisecond
	// stallStatusTimeout bounds the wait for the primary's status.
	stallStatusTimeout = 150 * time.Millisecond
	// stallCheckPause is the pause between checks, stallCheckShare the additional pause for each
	// node of the fleet, since each check takes a slot of each server.
	stallCheckPause = 400 * time.Millisecond
	stallCheckShare = 20 * time.Millisecond
)

// replicationWatch finds out whether the synchronous replicas of a service receive.
type replicationWatch struct {
	// suspected is set while commits without an answer or an earlier check give a reason to check.
	suspected atomic.Bool
	checking  atomic.Bool
	// stalledUntil is until when the last check counts that found the replication stalled, in
	// nanoseconds since the node's start.
	stalledUntil atomic.Int64
}

// WatchCommit watches a commit that is being sent to the primary. The returned function ends that.
func (s *Service) WatchCommit() (end func()) {
	if s.synchronousReplicas() == 0 {
		return func() {}
	}
	timer := time.AfterFunc(stallSuspicion, func() { s.replication.suspected.Store(true) })
	return func() { timer.Stop() }
}

// replicationStalled reports whether too few replicas were found to receive, though they answer. It
// starts a check if there is a reason for one.
func (s *Service) replicationStalled(now time.Time) bool {
	watch := &s.replication
	if watch.suspected.Load() && watch.checking.CompareAndSwap(false, true) {
		go s.checkReplication()
	}
	return int64(now.Sub(s.backends.started)) < watch.stalledUntil.Load()
}

// checkReplication compares what the replicas have received with what the primary had before.
func (s *Service) checkReplication() {
	watch := &s.replication
	pause := stallCheckPause
	if members := s.backends.Members.Load(); members != nil {
		pause += time.Duration(len(*members)) * stallCheckShare
	}
	defer func() {
		time.Sleep(pause/2 + rand.N(pause))
		watch.checking.Store(false)
	}()
	primary := s.PrimaryView.Primary()
	at, known := s.primaryPosition(primary)
	if !known {
		return
	}
	time.Sleep(stallGrace)
	received, behind := 0, 0
	for _, report := range s.survey(failover.Survey{Except: primary}) {
		switch {
		case report.Assumed, report.Ended:
		case report.Received.Covers(at):
			received++
		default:
			behind++
		}
	}
	stalled := behind > 0 && received < s.synchronousReplicas()
	watch.suspected.Store(stalled)
	if !stalled {
		watch.stalledUntil.Store(0)
		return
	}
	until := time.Now().Add(2*pause + stallGrace + 2*surveyTimeout)
	watch.stalledUntil.Store(int64(until.Sub(s.backends.started)))
	s.backends.log.Write(eventlog.ReplicationStalled, zap.String("service", s.Name), zap.String("primary", primary),
		zap.Stringer("position", at), zap.Int("received", received), zap.Int("behind", behind))
}

// primaryPosition returns the end of the primary's log, and whether it is known that the server is
// the primary. Commits that wait for the replicas may occupy all slots; the position that the
// primary's answers have shown is returned then.
func (s *Service) primaryPosition(primary string) (position.Position, bool) {
	target := s.backends.Server(primary)
	if target == nil {
		return position.Position{}, false
	}
	status := target.requestStatus(upstream.Operation{Kind: upstream.ReportStatus}, time.Now().Add(stallStatusTimeout))
	if status != nil {
		return status.Received, status.Primary
	}
	if status = target.lastKnownStatus(time.Now()); status != nil {
		return status.Received, true
	}
	return position.Position{}, false
}

// requestStatus sends a request that returns a status until it is answered or the deadline passes.
func (t *Server) requestStatus(operation upstream.Operation, deadline time.Time) *upstream.Status {
	lease, err := t.Pool.Reserve(deadline)
	if err != nil {
		return nil
	}
	status, open := statusOf(lease, operation, deadline)
	if open {
		lease.Return()
	} else {
		lease.Discard()
	}
	return status
}

// statusOf sends a request that returns a status over a connection until it is answered or the deadline
// passes. It reports whether the connection can still be used.
func statusOf(lease *upstream.Lease, operation upstream.Operation, deadline time.Time) (*upstream.Status, bool) {
	for time.Now().Before(deadline) {
		batch := lease.Run([]upstream.Operation{operation}, deadline)
		if batch.Err != nil {
			return nil, false
		}
		if result := batch.Last(); result.Outcome == upstream.Succeeded {
			return result.Status, true
		}
		time.Sleep(BusyPause)
	}
	return nil, true
}

// probeResult is the result of a check whether a server is the primary.
type probeResult uint8

const (
	// probeInconclusive: no connection was free, which says nothing about the server.
	probeInconclusive probeResult = iota
	// probeSilent: the server gave no answer.
	probeSilent
	// probeNotPrimary: the server answered, but did not prove to be the primary.
	probeNotPrimary
	// probePrimary: the server proved to be the primary.
	probePrimary
)

// acquireFunc acquires a connection to a server.
type acquireFunc func(target *Server, deadline time.Time) (*upstream.Lease, error)

// acquireShared acquires a connection that may go through the server's owner.
func (b *Backends) acquireShared(target *Server, deadline time.Time) (*upstream.Lease, error) {
	return b.Acquire(target, upstream.Own, deadline)
}

// acquireReserved acquires a connection of this node that is reserved for requests about the
// server.
func acquireReserved(target *Server, deadline time.Time) (*upstream.Lease, error) {
	return target.Pool.Reserve(deadline)
}

// probe asks a server to begin and roll back a transaction that only a primary accepts.
func (s *Service) probe(target *Server, acquire acquireFunc, deadline time.Time) probeResult {
	sentUnder, hasTenure := s.RequestTenure(target.ID)
	lease, err := acquire(target, deadline)
	if err != nil {
		if _, refused := upstream.RefusalOf(err); refused {
			return probeNotPrimary
		}
		if errors.Is(err, upstream.ErrNoConnection) && target.Stats.Unanswered(time.Now()) < pingTimeout {
			return probeInconclusive
		}
		return probeSilent
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.Begin}, {Kind: upstream.Rollback}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return probeSilent
	}
	arrived := time.Now()
	lease.Settle(batch.Last())
	if s.CheckBegin(target, batch.First()) && hasTenure && s.Confirm(sentUnder, arrived, deadline) {
		s.RecordProof(target, batch.SentAt, batch.First())
		return probePrimary
	}
	return probeNotPrimary
}

// CheckBegin reports whether a server has accepted a transaction as the primary. It records a
// denial by the server.
func (s *Service) CheckBegin(target *Server, begin *upstream.Result) bool {
	if !s.backends.isCurrent(target) {
		return false
	}
	s.rejectIncompletePrimary(target, begin)
	switch begin.Outcome {
	case upstream.Succeeded:
		return true
	case upstream.NotPrimary:
		if s.RecordDenial(target.ID, time.Now()) {
			s.backends.log.Write(eventlog.PrimaryDenied, zap.String("service", s.Name), zap.String("server", target.ID))
		}
	default:
	}
	return false
}

// RecordProof records an answer that only the primary gives to a request sent at sentAt. If nodes
// agree on tenures, the caller must have confirmed the answer. A primary that lost entries of its log
// proves nothing.
func (s *Service) RecordProof(target *Server, sentAt time.Time, result *upstream.Result) {
	if !s.backends.isCurrent(target) || target.logLoss.missingAt(result.Position) {
		return
	}
	if s.backends.Tenures == nil && s.PrimaryView.Confirm(target.ID, result.Position.Term) {
		s.backends.log.Write(eventlog.PrimaryProved, zap.String("by", "answer"), zap.String("service", s.Name),
			zap.String("server", target.ID), zap.Stringer("position", result.Position))
	}
	if !result.Position.IsZero() {
		s.Proofs.Add(freshness.Proof{At: sentAt, Position: result.Position})
	}
}

// proofRefresher lets concurrent callers share one request to the primary.
type proofRefresher struct {
	mutex   sync.Mutex
	running chan struct{}
}

// RefreshProof asks the primary for a new proof, or waits for a request in progress. That one was
// sent before the call, so the caller must check whether the proof is new enough.
func (s *Service) RefreshProof(deadline time.Time) {
	s.proofRefresh.mutex.Lock()
	running := s.proofRefresh.running
	if running == nil {
		running = make(chan struct{})
		s.proofRefresh.running = running
		go s.requestProof(running, deadline)
	}
	s.proofRefresh.mutex.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-running:
	case <-timer.C:
	}
}

func (s *Service) requestProof(done chan struct{}, deadline time.Time) {
	defer func() {
		s.proofRefresh.mutex.Lock()
		s.proofRefresh.running = nil
		s.proofRefresh.mutex.Unlock()
		close(done)
	}()
	target := s.UsablePrimary(time.Now())
	if target == nil {
		time.Sleep(PrimaryChangeWait)
		return
	}
	requestDeadline := time.Now().Add(ProofTimeout)
	if deadline.Before(requestDeadline) {
		requestDeadline = deadline
	}
	if s.probe(target, s.backends.acquireShared, requestDeadline) != probePrimary {
		time.Sleep(PrimaryChangeWait)
	}
}

// ProofTimeout bounds one request for a proof.
const ProofTimeout = 300 * time.Millisecond
