package upstream

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
)

// limitedDialer simulates a server with a connection limit.
type limitedDialer struct {
	mutex   sync.Mutex
	limit   int
	open    int
	refused int
	dials   int
	// delay is the extra time that a dial takes.
	delay time.Duration
}

func (d *limitedDialer) Dial(context.Context, Target) (Connection, position.Position, error) {
	time.Sleep(10*time.Millisecond + d.delay)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dials++
	if d.open >= d.limit {
		d.refused++
		return nil, position.Position{}, &RefusedError{Outcome: ConnectionLimit}
	}
	d.open++
	return &idleConnection{dialer: d}, position.Position{}, nil
}

func (d *limitedDialer) counts() (dials, refused int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.dials, d.refused
}

// idleConnection is a connection without a server.
type idleConnection struct {
	dialer *limitedDialer
	once   sync.Once
	dead   bool
}

func (c *idleConnection) Send([]Operation, time.Time) error { return nil }

func (c *idleConnection) Receive(OperationKind, time.Time) (Result, error) { return Result{}, nil }

func (c *idleConnection) Alive() bool { return !c.dead }

func (c *idleConnection) Close() {
	c.once.Do(func() {
		c.dialer.mutex.Lock()
		c.dialer.open--
		c.dialer.mutex.Unlock()
	})
}

func newTestPool(dialer *limitedDialer, ceiling int) *Pool {
	return NewPool(dialer, Target{Address: "address", Service: "service", Server: "server"}, ceiling, NewStats())
}

// TestFullServerIsNotFloodedWithDials guards against dialing a full server again and again.
func TestFullServerIsNotFloodedWithDials(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 0}
		pool := newTestPool(dialer, 30)
		var users sync.WaitGroup
		end := time.Now().Add(5 * time.Second)
		for i := range 20 {
			users.Go(func() {
				for time.Now().Before(end) {
					if i == 0 {
						_, _ = pool.Reserve(time.Now().Add(100 * time.Millisecond))
					} else {
						_, _ = pool.Get(Own, time.Now().Add(100*time.Millisecond))
					}
				}
			})
		}
		users.Wait()
		_, refused := dialer.counts()
		must.LessEq(t, 60, refused)
	})
}

func TestPoolGrowsOnDemandAndReusesConnections(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 100}
		pool := newTestPool(dialer, 16)
		var working sync.WaitGroup
		for range 16 {
			working.Go(func() {
				lease, err := pool.Get(Own, time.Now().Add(5*time.Second))
				must.NoError(t, err)
				time.Sleep(3 * time.Second)
				lease.Return()
			})
		}
		working.Wait()
		must.LessEq(t, 16, pool.Open())
		before, _ := dialer.counts()
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		lease.Return()
		after, _ := dialer.counts()
		must.Eq(t, before, after, must.Sprint("the idle connection should be reused, not a new one opened"))
		pool.Trim(time.Now().Add(time.Hour))
		must.Eq(t, 0, pool.Open())
	})
}

func TestDeadIdleConnectionIsReplaced(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 4}
		pool := newTestPool(dialer, 16)
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		lease.Connection.(*idleConnection).dead = true
		lease.Return()
		lease, err = pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		must.True(t, lease.Alive())
		must.Eq(t, 1, pool.Open())
		lease.Discard()
	})
}

func TestWaiterGetsReturnedConnectionOrTimesOut(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		pool := newTestPool(&limitedDialer{limit: 1}, 1)
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		_, err = pool.Get(Own, time.Now().Add(100*time.Millisecond))
		must.ErrorIs(t, err, ErrNoConnection)
		time.AfterFunc(300*time.Millisecond, lease.Return)
		began := time.Now()
		again, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		must.Eq(t, 300*time.Millisecond, time.Since(began))
		again.Discard()
		pool.Close()
		_, err = pool.Get(Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, ErrNoConnection)
	})
}

// TestSlowDialSurvivesCallerTimeouts guards against canceling a slow dial when its caller times
// out. No connection would ever be opened.
func TestSlowDialSurvivesCallerTimeouts(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 4, delay: 300 * time.Millisecond}
		pool := newTestPool(dialer, 16)
		var lease *Lease
		err := ErrNoConnection
		tries := 0
		for ; err != nil && tries < 10; tries++ {
			lease, err = pool.Get(Own, time.Now().Add(150*time.Millisecond))
		}
		must.NoError(t, err)
		must.LessEq(t, 4, tries)
		dials, _ := dialer.counts()
		must.LessEq(t, 3, dials)
		lease.Return()
		time.Sleep(time.Second)
		pool.Close()
	})
}

// TestResetPoolIgnoresOldConnections guards against counting connections over a broken path
// towards the limit after Reset.
func TestResetPoolIgnoresOldConnections(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 10}
		pool := newTestPool(dialer, 2)
		first, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		second, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		pool.Reset()
		third, err := pool.Get(Own, time.Now().Add(100*time.Millisecond))
		must.NoError(t, err)
		first.Return()
		second.Discard()
		must.Eq(t, 1, pool.Open())
		third.Return()
		must.Eq(t, 1, pool.Open())
		pool.Close()
		must.Eq(t, 0, pool.Open())
		must.Eq(t, 0, dialer.open)
	})
}

// sparseTraffic runs operations at an interval on a pool with a ceiling and returns how many
// connections were opened.
func sparseTraffic(t *testing.T, ceiling, operations int, interval time.Duration) (opened int) {
	t.Helper()
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 1000}
		pool := newTestPool(dialer, ceiling)
		for range operations {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			lease.Return()
			for end := time.Now().Add(interval); time.Now().Before(end); time.Sleep(time.Second) {
				pool.TrimIdle(time.Now())
			}
		}
		opened, _ = dialer.counts()
		time.Sleep(spareIdleTimeout)
		pool.TrimIdle(time.Now())
		must.Eq(t, 0, pool.Open())
	})
	return opened
}

// TestSpareConnectionsStay guards against closing the connection between rare operations where
// connections are plentiful, and against keeping it where other nodes need it.
func TestSpareConnectionsStay(t *testing.T) {
	must.Eq(t, 1, sparseTraffic(t, 360, 12, 5*time.Second))
	must.Eq(t, 12, sparseTraffic(t, 30, 12, 5*time.Second))
}

// TestSpareConnectionsAreFew guards against keeping more idle connections than the spare ones.
func TestSpareConnectionsAreFew(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		pool := newTestPool(&limitedDialer{limit: 1000}, 360)
		var leases []*Lease
		for range 20 {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			leases = append(leases, lease)
		}
		for _, lease := range leases {
			lease.Return()
		}
		time.Sleep(idleTimeout)
		pool.TrimIdle(time.Now())
		must.Eq(t, initialLimit(360)/spareDivisor, pool.Open())
	})
}
