// Package eventlog writes a node's structured log as JSON lines, one per decision. All events
// belong to a fixed vocabulary.
//
// Writing never blocks, and the volume is bounded. Lines are queued for a single writer. When
// the queue is full or the limit of lines per second is reached, lines are dropped and counted
// by event. Each class of events has its own limit, so that served requests never displace
// failures, and failures never displace changes of the node's state.
package eventlog

import (
	"cmp"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dewknot/internal/base/bounded"
)

// Event is the name of an event. docs/OPERATIONS.md lists all of them.
type Event string

// Class is the importance of an event. Each class has its own limit of lines per second.
type Class uint8

// The classes of events, the most important first.
const (
	// StateChange: a change of the node's state or of its view of others, such as a start, a stop,
	// or a dependency that is lost or regained.
	StateChange Class = iota
	// Failure: a request that failed or was rejected.
	Failure
	// Success: a request that was served. Above the limit only a part is logged.
	Success
	classes
)

// The vocabulary: the values of "event" in log lines.
const (
	NodeStarted           Event = "node_started"
	NodeStopping          Event = "node_stopping"
	NodeStopped           Event = "node_stopped"
	SettingsRead          Event = "settings_read"
	SettingsRefused       Event = "settings_refused"
	StoreLost             Event = "store_lost"
	StoreRegained         Event = "store_regained"
	StoreRestored         Event = "store_restored"
	ConfigurationApplied  Event = "configuration_applied"
	ConfigurationRefused  Event = "configuration_refused"
	DirectoryListed       Event = "directory_listed"
	ServerChanged         Event = "server_changed"
	ServerGone            Event = "server_gone"
	EntryRefused          Event = "entry_refused"
	ServerReborn          Event = "server_reborn"
	ZonesEvacuated        Event = "zones_evacuated"
	PrimaryLacksLog       Event = "primary_lacks_log"
	ServerUnreachable     Event = "server_unreachable"
	ServerReachable       Event = "server_reachable"
	DetourTaken           Event = "detour_taken"
	DetourEnded           Event = "detour_ended"
	PeerSilent            Event = "peer_silent"
	MemberRemoved         Event = "member_removed"
	TransferDone          Event = "transfer_done"
	TransferInterrupted   Event = "transfer_interrupted"
	NodeDegraded          Event = "node_degraded"
	OwnerMoved            Event = "owner_moved"
	TrafficTold           Event = "traffic_told"
	LinkOpened            Event = "link_opened"
	LinkEnded             Event = "link_ended"
	PrimaryAnnounced      Event = "primary_announced"
	PrimaryProved         Event = "primary_proved"
	PrimaryDenied         Event = "primary_denied"
	FailoverPhase         Event = "failover_phase"
	FailoverLease         Event = "failover_lease"
	FailoverSurvey        Event = "failover_survey"
	FailoverWitnesses     Event = "failover_witnesses"
	ReplicationStalled    Event = "replication_stalled"
	FailoverOrder         Event = "failover_order"
	TenureChanged         Event = "tenure_changed"
	TenureRound           Event = "tenure_round"
	VotersSelected        Event = "voters_selected"
	VoterLeaves           Event = "voter_leaves"
	VotersAbandoned       Event = "voters_abandoned"
	VotersChanged         Event = "voters_changed"
	VotersRefused         Event = "voters_refused"
	EraNotEnded           Event = "era_not_ended"
	VoterRecovered        Event = "voter_recovered"
	StepDown              Event = "step_down"
	NodeIsolated          Event = "node_isolated"
	AnswerUnproved        Event = "answer_unproved"
	AnswerMismatched      Event = "answer_mismatched"
	MessageLost           Event = "message_lost"
	QuotaShare            Event = "quota_share"
	QuotaHeldBack         Event = "quota_held_back"
	RoomShort             Event = "room_short"
	RoomRegained          Event = "room_regained"
	SessionRefused        Event = "session_refused"
	RequestServed         Event = "request_served"
	RequestFailed         Event = "request_failed"
	AttemptFailed         Event = "attempt_failed"
	TransactionRolledBack Event = "transaction_rolled_back"
	LinesDropped          Event = "lines_dropped"
)

// Vocabulary maps all events to their classes.
var Vocabulary = map[Event]Class{
	NodeStarted: StateChange, NodeStopping: StateChange, NodeStopped: StateChange, SettingsRead: StateChange,
	SettingsRefused: StateChange, StoreLost: StateChange, StoreRegained: StateChange, StoreRestored: StateChange,
	ConfigurationApplied: StateChange, ConfigurationRefused: StateChange, DirectoryListed: StateChange,
	ServerChanged: StateChange, ServerGone: StateChange, EntryRefused: StateChange, ServerReborn: StateChange,
	ZonesEvacuated: StateChange, PrimaryLacksLog: StateChange, ServerUnreachable: StateChange,
	ServerReachable: StateChange, DetourTaken: StateChange, DetourEnded: StateChange, PeerSilent: StateChange, MemberRemoved: StateChange,
	OwnerMoved: StateChange, TrafficTold: StateChange, LinkOpened: StateChange, LinkEnded: StateChange,
	PrimaryAnnounced: StateChange, PrimaryProved: StateChange, PrimaryDenied: StateChange, FailoverPhase: StateChange,
	FailoverLease: StateChange, FailoverSurvey: StateChange, FailoverWitnesses: StateChange, ReplicationStalled: StateChange,
	FailoverOrder: StateChange, TenureChanged: StateChange, TenureRound: StateChange, VotersSelected: StateChange, VoterLeaves: StateChange, VotersAbandoned: StateChange, VotersChanged: StateChange,
	VotersRefused: StateChange, EraNotEnded: StateChange, VoterRecovered: StateChange, StepDown: StateChange,
	NodeIsolated: StateChange, NodeDegraded: StateChange, TransferDone: StateChange, TransferInterrupted: StateChange,
	MessageLost: StateChange, QuotaShare: StateChange, QuotaHeldBack: StateChange, RoomShort: StateChange,
	RoomRegained: StateChange, AnswerUnproved: Failure, AnswerMismatched: Failure, SessionRefused: Failure,
	RequestServed: Success, RequestFailed: Failure, AttemptFailed: Failure,
	TransactionRolledBack: Failure, LinesDropped: StateChange,
}

// shares are the fractions of the lines per second that each class may use. Their sum is 1,
// so that no class uses the share of another.
var shares = [classes]float64{StateChange: 0.4, Failure: 0.45, Success: 0.15}

// queueSize is the maximum number of lines that wait for the writer.
const queueSize = 1024

// Log is an event log of bounded volume. It is safe for concurrent use.
type Log struct {
	encoder zapcore.Encoder
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	name    string
	// lastClass is the least important class that is written.
	lastClass Class

	budgets [classes]budget
	mutex   sync.Mutex
	dropped map[Event]int
	total   atomic.Int64
	clock   func() time.Time
}

// budget limits the lines per second.
type budget struct {
	mutex  sync.Mutex
	second int64
	used   int
	limit  int
}

// allow reports whether another line may be written in the current second, and counts it.
func (b *budget) allow(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	if b.used >= b.limit {
		return false
	}
	b.used++
	return true
}

// Level selects the classes that are written.
type Level string

// The levels.
const (
	// Everything writes all classes.
	Everything Level = "everything"
	// Problems excludes served requests.
	Problems Level = "problems"
	// StateChanges writes only changes of the node's state, no requests.
	StateChanges Level = "beliefs"
)

// lastClasses maps each level to the least important class that it writes.
var lastClasses = map[Level]Class{Everything: Success, Problems: Failure, StateChanges: StateChange}

// Config configures a log.
type Config struct {
	// Node is the name of the node. Every line has it.
	Node string
	// LinesPerSecond is the maximum number of lines per second.
	LinesPerSecond int
	// Level defaults to Everything.
	Level Level
}

// New returns a log that writes to out.
func New(out io.Writer, cfg Config) *Log {
	configuration := zapcore.EncoderConfig{
		TimeKey: "time", MessageKey: "event", EncodeTime: zapcore.RFC3339NanoTimeEncoder,
		EncodeDuration: zapcore.MillisDurationEncoder, LineEnding: "\n",
	}
	log := &Log{
		encoder: zapcore.NewJSONEncoder(configuration), lines: make(chan []byte, queueSize),
		stop: make(chan struct{}), done: make(chan struct{}),
		name: cfg.Node, dropped: map[Event]int{}, clock: time.Now,
	}
	for class := range log.budgets {
		log.budgets[class].limit = max(1, int(shares[class]*float64(cfg.LinesPerSecond)))
	}
	log.lastClass = lastClasses[cmp.Or(cfg.Level, Everything)]
	go log.write(out)
	return log
}

// Write logs an event. It never blocks. Lines above the limits are dropped and counted.
func (l *Log) Write(event Event, fields ...zap.Field) {
	class := Vocabulary[event]
	if class > l.lastClass {
		return
	}
	now := l.clock()
	if !l.budgets[class].allow(now) {
		l.drop(event)
		return
	}
	l.enqueue(event, now, fields)
}

func (l *Log) enqueue(event Event, now time.Time, fields []zap.Field) {
	all := make([]zap.Field, 0, len(fields)+1)
	all = append(all, zap.String("node", l.name))
	for i := range fields {
		all = append(all, asText(&fields[i]))
	}
	buffer, err := l.encoder.EncodeEntry(zapcore.Entry{Time: now, Message: string(event)}, all)
	if err != nil {
		l.drop(event)
		return
	}
	line := append([]byte(nil), buffer.Bytes()...)
	buffer.Free()
	select {
	case l.lines <- line:
	default:
		l.drop(event)
	}
}

// maxTextBytes bounds the text of a field, which may come from a caller and have any size.
const maxTextBytes = 1 << 10

// asText replaces an error by its message, since a stack trace would make the line ten times as long,
// and shortens long texts.
func asText(field *zap.Field) zap.Field {
	if failed, isError := field.Interface.(error); isError && field.Type == zapcore.ErrorType {
		return zap.String(field.Key, Text(failed.Error()))
	}
	if field.Type == zapcore.StringType {
		return zap.String(field.Key, Text(field.String))
	}
	return *field
}

// Text returns a text as it is logged: shortened if it is long, with a replacement character for each
// byte that is not UTF-8.
func Text(text string) string { return string([]rune(bounded.Text(text, maxTextBytes))) }

func (l *Log) drop(event Event) {
	l.total.Add(1)
	l.mutex.Lock()
	l.dropped[event]++
	l.mutex.Unlock()
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 { return l.total.Load() }

// Flush logs the number of lines dropped since the last call, by event. The node calls it
// periodically.
func (l *Log) Flush() {
	l.mutex.Lock()
	dropped := l.dropped
	l.dropped = map[Event]int{}
	l.mutex.Unlock()
	if len(dropped) == 0 {
		return
	}
	fields := make([]zap.Field, 0, len(dropped))
	for event, count := range dropped {
		fields = append(fields, zap.Int(string(event), count))
	}
	l.enqueue(LinesDropped, l.clock(), fields)
}

// closeTimeout bounds the wait for queued lines.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, waiting for closeTimeout at most, and stops the writer. It must
// be called only once.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// write writes queued lines in batches, so that a burst takes few system calls.
func (l *Log) write(out io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			_, _ = out.Write(l.gather(line))
		case <-l.stop:
			if rest := l.gather(nil); len(rest) > 0 {
				_, _ = out.Write(rest)
			}
			return
		}
	}
}

// gather appends the queued lines to a batch, up to about batchBytes.
func (l *Log) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case next := <-l.lines:
			batch = append(batch, next...)
		default:
			return batch
		}
	}
	return batch
}

// batchBytes is the size from which a batch takes no further line.
const batchBytes = 256 << 10
