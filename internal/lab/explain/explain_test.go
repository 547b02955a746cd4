package explain

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
)

const sampleLogs = `  24.1 n1 {"time":"2026-12-02T10:00:00.1Z","event":"primary_proved","node":"n1","service":"bookings","server":"s1","position":"1/7"}
{"time":"2026-12-02T10:00:01Z","event":"primary_denied","node":"n1","service":"bookings","server":"s1"}
{"time":"2026-12-02T10:00:00.9Z","event":"configuration_applied","node":"n1","version":7}
{"time":"2026-12-02T10:00:01.5Z","event":"attempt_failed","node":"n1","request":"r1","server":"s1","error":"EOF"}
{"time":"2026-12-02T10:00:01.6Z","event":"request_failed","node":"n1","request":"r1","service":"bookings","server":"s1","outcome":"outcome_unknown"}
{"time":"2026-12-02T10:00:01.2Z","event":"primary_announced","node":"n2","service":"bookings","server":"s2"}
{"time":"2026-12-02T10:00:01.3Z","event":"primary_announced","node":"n1","service":"other","server":"s9"}
no event
{"level":"info"}
`

func read(t *testing.T) *Logs {
	t.Helper()
	read := &Logs{}
	must.NoError(t, read.Read(strings.NewReader(sampleLogs)))
	must.Eq(t, 2, read.Skipped)
	return read
}

// A request's lines must include the earlier state changes of its node, in the order in which
// the node wrote them although its clock went back.
func TestRequestIncludesEarlierStateChanges(t *testing.T) {
	var out strings.Builder
	must.NoError(t, read(t).Request(&out, "r1"))
	must.Eq(t, `10:00:00.100 n1                   primary_proved position=1/7 server=s1 service=bookings
10:00:01.000 n1                   primary_denied server=s1 service=bookings
10:00:01.000 n1                   configuration_applied version=7
10:00:01.500 n1                   attempt_failed error=EOF request=r1 server=s1
10:00:01.600 n1                   request_failed outcome=outcome_unknown request=r1 server=s1 service=bookings
`, out.String())
}

// The lines of a server or service must be selected by any node's log.
func TestServerAndFailover(t *testing.T) {
	var out strings.Builder
	must.NoError(t, read(t).Server(&out, "s2"))
	must.Eq(t, "10:00:01.200 n2                   primary_announced server=s2 service=bookings\n", out.String())
	out.Reset()
	must.NoError(t, read(t).Failover(&out, "bookings"))
	must.Eq(t, 3, strings.Count(out.String(), "\n"))
}

// A tenant's lines must include the quota events of its nodes, but not of other tenants or
// nodes.
func TestTenantIncludesQuotaEvents(t *testing.T) {
	tenantLogs := &Logs{}
	must.NoError(t, tenantLogs.Read(strings.NewReader(`{"time":"2026-12-02T10:00:00Z","event":"quota_share","node":"n1","nodes":59}
{"time":"2026-12-02T10:00:00Z","event":"quota_share","node":"n2","nodes":59}
{"time":"2026-12-02T10:00:00.5Z","event":"quota_held_back","node":"n3","tenant":"amber","level":"1","began":true}
{"time":"2026-12-02T10:00:00.6Z","event":"quota_held_back","node":"n3","tenant":"birch","level":"1","began":true}
{"time":"2026-12-02T10:00:01Z","event":"request_failed","node":"n1","request":"r1","tenant":"amber","outcome":"over_quota"}
{"time":"2026-12-02T10:00:02Z","event":"request_failed","node":"n1","request":"r2","tenant":"birch","outcome":"over_quota"}
`)))
	var out strings.Builder
	must.NoError(t, tenantLogs.Tenant(&out, "amber"))
	must.Eq(t, `10:00:00.000 n1                   quota_share nodes=59
10:00:00.500 n3                   quota_held_back began=true level=1 tenant=amber
10:00:01.000 n1                   request_failed outcome=over_quota request=r1 tenant=amber
`, out.String())
}

// A name that no line contains must be reported and not give an empty output.
func TestUnknownNamesReturnNotFoundError(t *testing.T) {
	var missing *NotFoundError
	must.True(t, errors.As(read(t).Request(&strings.Builder{}, "r9"), &missing))
	must.True(t, errors.As(read(t).Server(&strings.Builder{}, "s7"), &missing))
	must.True(t, errors.As(read(t).Tenant(&strings.Builder{}, "none"), &missing))
	must.True(t, errors.As(read(t).Failover(&strings.Builder{}, "none"), &missing))
}

// lineWriter passes on what is written.
type lineWriter chan string

func (w lineWriter) Write(content []byte) (int, error) {
	w <- string(content)
	return len(content), nil
}

// TestOddIDStaysOnOneLine: a request's ID with line ends, of invalid characters or of any size must be
// found, and shown in one line; a line that is too long must not end the reading of the others.
func TestOddIDStaysOnOneLine(t *testing.T) {
	for _, id := range []string{"a\nb", "\r\n", "\xff\xfe", "\x00", strings.Repeat("\xff", 5000), strings.Repeat("i", 5000)} {
		written := make(lineWriter, 1)
		log := eventlog.New(written, eventlog.Config{Node: "n", LinesPerSecond: 100})
		log.Write(eventlog.RequestFailed, zap.String("request", id), zap.String("tenant", "t"))
		log.Close()
		logs := &Logs{}
		must.NoError(t, logs.Read(strings.NewReader("{"+strings.Repeat("x", 2<<20)+"\n"+<-written)))
		must.Eq(t, 1, logs.Skipped)
		var out strings.Builder
		must.NoError(t, logs.Request(&out, id))
		must.Eq(t, 1, strings.Count(out.String(), "\n"))
		must.StrHasSuffix(t, " tenant=t\n", out.String())
	}
}
