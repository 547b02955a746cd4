package configuration

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/postgres/objectapi"
	"dewknot/internal/postgres/policy"
)

// Prefixes of the keys of configuration objects.
const (
	GroupPrefix      = "groups/"
	PolicyPrefix     = "policies/"
	ProposalPrefix   = "proposals/"
	UserPrefix       = "users/"
	NodeMarkPrefix   = "marks/node/"
	ServerMarkPrefix = "marks/server/"
)

// Server is a database server of a group.
type Server struct {
	Address string `json:"address" msgpack:"a"`
	Zone    string `json:"zone" msgpack:"z"`
}

// Group is the configuration of a database group. Callers connect to it with its
// name as the database name.
type Group struct {
	Name    string   `json:"-" msgpack:"n"`
	Servers []Server `json:"servers" msgpack:"s"`
	// Slots and Connections are the limits of each server, shared by the fleet.
	Slots       int `json:"slots" msgpack:"sl"`
	Connections int `json:"connections" msgpack:"cn"`
	// User and Password are the credentials for connections to the servers.
	User     string `json:"user" msgpack:"u"`
	Password string `json:"password,omitempty" msgpack:"p"`
	// Database is the name of the database on the servers. It defaults to the
	// group's name.
	Database string `json:"database,omitempty" msgpack:"d"`
}

// HomeZone returns the zone in or near which the group's owners should run.
func (g *Group) HomeZone() string {
	if len(g.Servers) == 0 {
		return ""
	}
	return g.Servers[0].Zone
}

// Check returns an error if the group cannot be served.
func (g *Group) Check() error {
	switch {
	case len(g.Servers) == 0:
		return errors.Errorf("group %s has no servers; list at least one", g.Name)
	case len(g.Servers) > MaxServers:
		return errors.Errorf("group %s has %d servers; use at most %d", g.Name, len(g.Servers), MaxServers)
	case g.Slots < 1 || g.Connections < MinimumConnections:
		return errors.Errorf("group %s has %d slots and %d connections; use at least 1 and %d", g.Name, g.Slots, g.Connections, MinimumConnections)
	}
	return nil
}

// Limits on a group's size.
const (
	// MaxServers is the maximum number of servers of a group.
	MaxServers = 9
	// MinimumConnections is enough for the owner, the standby owner and their status
	// connections.
	MinimumConnections = 5
)

// Operation identifies a change by an operator, so that a change whose response was
// lost can be recognized when the object is read back.
type Operation struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Note   string    `json:"note,omitempty"`
	// Version is the version of the object that the change replaced.
	Version uint64 `json:"replaced_version"`
}

// maxOperations is the maximum number of operations in an object's history.
const maxOperations = 16

// Policy is the active policy of a service, with its history of operations.
type Policy struct {
	Source     string        `json:"source"`
	Table      *policy.Table `json:"table"`
	Author     string        `json:"author"`
	Approver   string        `json:"approver,omitempty"`
	Operations []Operation   `json:"operations"`
}

// Proposal is a policy that waits for review by a second operator.
type Proposal struct {
	Source string `json:"source"`
	Author string `json:"author"`
	// Replaces is the version of the active policy that the author has seen.
	Replaces   uint64      `json:"replaces"`
	Operations []Operation `json:"operations"`
}

// User holds the credentials of a caller.
type User struct {
	// Verifier is a SCRAM-SHA-256 verifier in the format of PostgreSQL.
	Verifier string `json:"verifier"`
}

// Mark is an operator's mark on a node or a server that is to be stopped.
type Mark struct {
	Leaving    bool        `json:"leaving"`
	Author     string      `json:"author"`
	Operations []Operation `json:"operations"`
}

// WithOperation returns a copy of the history with the operation appended, without
// the oldest operations beyond the maximum length.
func WithOperation(history []Operation, operation Operation) []Operation {
	history = append(append([]Operation(nil), history...), operation)
	return history[max(0, len(history)-maxOperations):]
}

// HasOperation reports whether the history contains the operation.
func HasOperation(history []Operation, id string) bool {
	for _, operation := range history {
		if operation.ID == id {
			return true
		}
	}
	return false
}

// ServerMarkKey returns the key of the mark on a server of a group.
func ServerMarkKey(group, address string) string {
	return ServerMarkPrefix + group + "/" + address
}

// Decoded holds the decoded values of configuration objects, keyed by name.
type Decoded struct {
	Groups   map[string]*Group
	Policies map[string]*PolicyInForce
	Users    map[string]*User
	// LeavingNodes is keyed by node name, LeavingServers by "group/address".
	LeavingNodes   map[string]bool
	LeavingServers map[string]bool
	// Faults holds the errors of objects that could not be used, by object key.
	Faults map[string]string
}

// PolicyInForce is the active rule table of a service, with its version.
type PolicyInForce struct {
	Table   *policy.Table
	Version uint64
}

// NewDecoded returns a Decoded without values.
func NewDecoded() *Decoded {
	return &Decoded{
		Groups: map[string]*Group{}, Policies: map[string]*PolicyInForce{}, Users: map[string]*User{},
		LeavingNodes: map[string]bool{}, LeavingServers: map[string]bool{}, Faults: map[string]string{},
	}
}

// Apply updates the values of the changed objects. If an object cannot be used, its
// last usable value remains and the error is added to Faults.
func (d *Decoded) Apply(changed []objectapi.Object) {
	for _, object := range changed {
		if err := d.applyObject(object); err != nil {
			d.Faults[object.Key] = err.Error()
		} else {
			delete(d.Faults, object.Key)
		}
	}
}

func (d *Decoded) applyObject(object objectapi.Object) error {
	switch {
	case strings.HasPrefix(object.Key, GroupPrefix):
		return d.applyGroup(object)
	case strings.HasPrefix(object.Key, PolicyPrefix):
		return d.applyPolicy(object)
	case strings.HasPrefix(object.Key, UserPrefix):
		return applyValue(d.Users, object.Key[len(UserPrefix):], object)
	case strings.HasPrefix(object.Key, NodeMarkPrefix):
		return applyMark(d.LeavingNodes, object.Key[len(NodeMarkPrefix):], object)
	case strings.HasPrefix(object.Key, ServerMarkPrefix):
		return applyMark(d.LeavingServers, object.Key[len(ServerMarkPrefix):], object)
	default:
		return nil
	}
}

func applyValue[T any](target map[string]*T, name string, object objectapi.Object) error {
	if object.Deleted {
		delete(target, name)
		return nil
	}
	value := new(T)
	if err := json.Unmarshal(object.Value, value); err != nil {
		return errors.Wrapf(err, "object %s", object.Key)
	}
	target[name] = value
	return nil
}

func (d *Decoded) applyGroup(object objectapi.Object) error {
	name := object.Key[len(GroupPrefix):]
	if object.Deleted {
		delete(d.Groups, name)
		return nil
	}
	group := &Group{}
	if err := json.Unmarshal(object.Value, group); err != nil {
		return errors.Wrapf(err, "object %s", object.Key)
	}
	group.Name = name
	if err := group.Check(); err != nil {
		return err
	}
	d.Groups[name] = group
	return nil
}

func (d *Decoded) applyPolicy(object objectapi.Object) error {
	service := object.Key[len(PolicyPrefix):]
	if object.Deleted {
		delete(d.Policies, service)
		return nil
	}
	value := &Policy{}
	if err := json.Unmarshal(object.Value, value); err != nil {
		return errors.Wrapf(err, "object %s", object.Key)
	}
	if value.Table == nil {
		return errors.Errorf("object %s has no rule table; submit the policy again", object.Key)
	}
	d.Policies[service] = &PolicyInForce{Table: value.Table, Version: object.Version}
	return nil
}

func applyMark(target map[string]bool, name string, object objectapi.Object) error {
	mark := Mark{}
	if !object.Deleted {
		if err := json.Unmarshal(object.Value, &mark); err != nil {
			return errors.Wrapf(err, "object %s", object.Key)
		}
	}
	if mark.Leaving {
		target[name] = true
	} else {
		delete(target, name)
	}
	return nil
}

// Clone returns a copy that shares the decoded values, which are never modified.
func (d *Decoded) Clone() *Decoded {
	return &Decoded{
		Groups: cloneMap(d.Groups), Policies: cloneMap(d.Policies), Users: cloneMap(d.Users),
		LeavingNodes: cloneMap(d.LeavingNodes), LeavingServers: cloneMap(d.LeavingServers), Faults: cloneMap(d.Faults),
	}
}

func cloneMap[V any](source map[string]V) map[string]V {
	copied := make(map[string]V, len(source))
	for key, value := range source {
		copied[key] = value
	}
	return copied
}
