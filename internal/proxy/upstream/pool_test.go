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

// limitedDialer opens connections up to a limit that the server sets.
type limitedDialer struct {
	mutex   sync.Mutex
	limit   int
	open    int
	refused int
	dials   int
	// takes is the time that opening a connection takes.
	takes time.Duration
}

func (d *limitedDialer) Dial(context.Context, Target) (Connection, position.Position, error) {
	time.Sleep(10*time.Millisecond + d.takes)
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

// TestServersLimitIsNotStormed: work and questions that find the server full
// must not knock again and again.
func TestServersLimitIsNotStormed(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 0}
		pool := newTestPool(dialer, 30)
		var asking sync.WaitGroup
		end := time.Now().Add(5 * time.Second)
		for i := range 20 {
			asking.Go(func() {
				for time.Now().Before(end) {
					if i == 0 {
						_, _ = pool.Reserve(time.Now().Add(100 * time.Millisecond))
					} else {
						_, _ = pool.Get(Own, time.Now().Add(100*time.Millisecond))
					}
				}
			})
		}
		asking.Wait()
		_, refused := dialer.counts()
		must.LessEq(t, 60, refused)
	})
}

func TestPoolGrowsWhileWantedAndLendsAgain(t *testing.T) {
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
		must.Eq(t, before, after, must.Sprint("an idle connection is lent, not a new one opened"))
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

func TestWaiterGetsAReturnedConnectionAndWaitsEnd(t *testing.T) {
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
		pool.Shut()
		_, err = pool.Get(Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, ErrNoConnection)
	})
}

// TestSlowOpeningSurvivesCallersThatCannotWait: opening takes longer than any
// caller waits; it must go on for those who come later.
func TestSlowOpeningSurvivesCallersThatCannotWait(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 4, takes: 300 * time.Millisecond}
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
		pool.Shut()
	})
}

// TestRenewedPoolDoesNotWaitForConnectionsLeftBehind: all connections hang on a
// way that is cut; the new way is used at once, and the old ones do not return.
func TestRenewedPoolDoesNotWaitForConnectionsLeftBehind(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 10}
		pool := newTestPool(dialer, 2)
		first, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		second, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		pool.Renew()
		third, err := pool.Get(Own, time.Now().Add(100*time.Millisecond))
		must.NoError(t, err)
		first.Return()
		second.Discard()
		must.Eq(t, 1, pool.Open())
		third.Return()
		must.Eq(t, 1, pool.Open())
		pool.Shut()
		must.Eq(t, 0, pool.Open())
		must.Eq(t, 0, dialer.open)
	})
}

// littleTraffic runs operations some seconds apart on a pool whose server has room for 360
// connections, or is scarce, and returns how many connections were opened.
func littleTraffic(t *testing.T, ceiling, operations int, apart time.Duration) (opened int) {
	t.Helper()
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 1000}
		pool := newTestPool(dialer, ceiling)
		for range operations {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			lease.Return()
			for end := time.Now().Add(apart); time.Now().Before(end); time.Sleep(time.Second) {
				pool.TrimIdle(time.Now())
			}
		}
		opened, _ = dialer.counts()
		time.Sleep(spareIdleSpan)
		pool.TrimIdle(time.Now())
		must.Eq(t, 0, pool.Open())
	})
	return opened
}

// TestSpareConnectionsStay replays one operation every five seconds, as a server of a large fleet
// gets them: the connection stays open between them where connections are plenty, and is let go
// where they are few, since other nodes need them.
func TestSpareConnectionsStay(t *testing.T) {
	must.Eq(t, 1, littleTraffic(t, 360, 12, 5*time.Second))
	must.Eq(t, 12, littleTraffic(t, 30, 12, 5*time.Second))
}

// TestSpareConnectionsAreFew: of many that were in use at a time, the spare ones stay only.
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
		time.Sleep(idleSpan)
		pool.TrimIdle(time.Now())
		must.Eq(t, firstLimit(360)/spareShare, pool.Open())
	})
}
