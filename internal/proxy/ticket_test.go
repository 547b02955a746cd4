package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/remote"
	"dewknot/internal/proxy/upstream"
)

var _ ticketSetter = (*remote.Session)(nil)

// rejectingServer is a server at its owner. It records the last request for a slot and rejects it.
type rejectingServer struct {
	remote.Server
	request  admission.Request
	deadline time.Time
}

func (s *rejectingServer) Owned(string) remote.Server { return s }

func (s *rejectingServer) Behind(position.Position) (position.Position, bool) {
	return position.Position{}, false
}

func (s *rejectingServer) Enter(request admission.Request, deadline time.Time) bool {
	s.request, s.deadline = request, deadline
	return false
}

func (s *rejectingServer) Report() loadreport.Report { return loadreport.Report{} }

func (s *rejectingServer) Proof() (time.Time, position.Position) {
	return time.Time{}, position.Position{}
}

// TestOwnerReceivesTicket guards against work that reaches a server's owner without its class,
// priority, arrival time and wait for a slot.
func TestOwnerReceivesTicket(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := &rejectingServer{}
		here, there := net.Pipe()
		go remote.NewOwner(server).Serve(there)
		link := remote.NewLink(here, func(string, time.Time, position.Position) {},
			func(string, time.Time, *loadreport.Report) {})
		defer link.Close()
		r, target := newTestRun(2)
		defer r.session.node.log.Close()
		time.Sleep(30 * time.Millisecond)
		lease := upstream.NewRemoteLease(link.Session("s1", upstream.Own), upstream.NewStats(), func() {})
		must.True(t, r.acquireSlot(target, lease, admission.Anywhere))
		batch := lease.Run([]upstream.Operation{{Kind: upstream.RunStatement, Statement: &command.Statement{}}}, r.deadline)
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Busy, batch.Last().Outcome)
		must.Eq(t, admission.Request{Class: admission.Anywhere, Priority: 2, Arrived: r.arrived}, server.request)
		must.Eq(t, r.queueDeadline, server.deadline)
	})
}
