// Package operator contains the server and the client of a node's HTTP API for
// operators: health, metrics, status and changes of the configuration.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/node"
)

// maxBodyBytes is the maximum size of a request's body.
const maxBodyBytes = 1 << 20

// Server is the HTTP server of a node's operator API.
type Server struct {
	node *node.Node
	http *http.Server
}

// Serve starts a server for the node on the given address.
func Serve(address string, n *node.Node) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for operators on %s; name a free address", address)
	}
	server := &Server{node: n}
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.http.Serve(socket) }()
	return server, nil
}

const headerTimeout = 5 * time.Second

// Close stops the server without waiting for requests in progress.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(newRegistry(s.node), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /fleet", s.fleet)
	mux.HandleFunc("GET /policies/{service}", s.getPolicy)
	mux.HandleFunc("POST /policies/{service}", handleChange(s.submitPolicy))
	mux.HandleFunc("GET /proposals/{service}", s.getProposal)
	mux.HandleFunc("POST /proposals/{service}/approve", handleChange(s.approvePolicy))
	mux.HandleFunc("POST /marks", handleChange(s.mark))
	mux.HandleFunc("POST /groups/{name}", handleChange(s.setGroup))
	mux.HandleFunc("POST /users/{name}", handleChange(s.setUser))
	return mux
}

func (s *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	if !s.node.View().Ready || s.node.Draining() {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

func (s *Server) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, s.node.Status())
}

// FleetStatus holds the status of all nodes that responded and the names of the others.
type FleetStatus struct {
	Nodes  []node.NodeStatus `json:"nodes"`
	Silent []string          `json:"silent,omitempty"`
}

// fleetTimeout is the timeout for requesting the status of all nodes.
const fleetTimeout = 2 * time.Second

func (s *Server) fleet(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), fleetTimeout)
	defer cancel()
	view := s.node.View()
	var mu sync.Mutex
	var wg sync.WaitGroup
	fleet := FleetStatus{}
	for _, member := range view.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, err := NewClient(member.Addresses.Operator).Status(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fleet.Silent = append(fleet.Silent, member.ID)
				return
			}
			fleet.Nodes = append(fleet.Nodes, status)
		}()
	}
	wg.Wait()
	writeJSON(writer, fleet)
}

// PolicyState is a policy or proposal and its version, which is 0 if there is none.
type PolicyState[T any] struct {
	Version uint64 `json:"version"`
	Policy  T      `json:"policy"`
}

func (s *Server) getPolicy(writer http.ResponseWriter, request *http.Request) {
	policy, version, err := s.node.ActivePolicy(request.PathValue("service"))
	writeResult(writer, PolicyState[configuration.Policy]{version, policy}, err)
}

func (s *Server) getProposal(writer http.ResponseWriter, request *http.Request) {
	proposal, version, err := s.node.Proposal(request.PathValue("service"))
	writeResult(writer, PolicyState[configuration.Proposal]{version, proposal}, err)
}

// PolicyChange is a request to submit a policy.
type PolicyChange struct {
	administration.Change
	Source string `json:"source"`
}

func (s *Server) submitPolicy(request *http.Request, change PolicyChange) (administration.Outcome, error) {
	return s.node.Administration().SubmitPolicy(request.Context(), request.PathValue("service"), []byte(change.Source), change.Change)
}

func (s *Server) approvePolicy(request *http.Request, change administration.Change) (administration.Outcome, error) {
	return s.node.Administration().ApprovePolicy(request.Context(), request.PathValue("service"), change)
}

// MarkChange is a request to set or clear the leaving mark of a node, or of a server of
// a group.
type MarkChange struct {
	administration.Change
	Node    string `json:"node,omitempty"`
	Group   string `json:"group,omitempty"`
	Server  string `json:"server,omitempty"`
	Leaving bool   `json:"leaving"`
}

func (m MarkChange) key() string {
	if m.Node != "" {
		return configuration.NodeMarkPrefix + m.Node
	}
	return configuration.ServerMarkKey(m.Group, m.Server)
}

func (s *Server) mark(request *http.Request, change MarkChange) (administration.Outcome, error) {
	if change.Node == "" && (change.Group == "" || change.Server == "") {
		return administration.Outcome{}, &administration.Error{Kind: administration.Invalid, Message: "a mark names a node, or a group and a server", Remedy: "name one of them"}
	}
	return s.node.Administration().Mark(request.Context(), change.key(), change.Leaving, change.Change)
}

// GroupChange is a request to configure a database group.
type GroupChange struct {
	administration.Change
	Group configuration.Group `json:"group"`
}

func (s *Server) setGroup(request *http.Request, change GroupChange) (administration.Outcome, error) {
	change.Group.Name = request.PathValue("name")
	return s.node.Administration().SetGroup(request.Context(), change.Group, change.Change)
}

// UserChange is a request to store the credentials of a caller.
type UserChange struct {
	administration.Change
	User configuration.User `json:"user"`
}

func (s *Server) setUser(request *http.Request, change UserChange) (administration.Outcome, error) {
	return s.node.Administration().SetUser(request.Context(), request.PathValue("name"), change.User, change.Change)
}

// handleChange returns a handler that decodes a change from a request, calls change
// with it and writes the outcome.
func handleChange[T any](change func(*http.Request, T) (administration.Outcome, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var value T
		decoder := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			writeResult(writer, nil, &administration.Error{
				Kind: administration.Invalid, Message: err.Error(),
				Remedy: "send the JSON that docs/OPERATIONS.md describes",
			})
			return
		}
		outcome, err := change(request, value)
		writeResult(writer, outcome, err)
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// httpStatus holds the HTTP status codes for the kinds of errors.
var httpStatus = map[administration.Kind]int{
	administration.Conflict:     http.StatusConflict,
	administration.Invalid:      http.StatusUnprocessableEntity,
	administration.ReviewNeeded: http.StatusForbidden,
	administration.NotFound:     http.StatusNotFound,
	administration.Uncertain:    http.StatusAccepted,
	administration.Unavailable:  http.StatusServiceUnavailable,
}

func writeResult(writer http.ResponseWriter, value any, err error) {
	if err == nil {
		writeJSON(writer, value)
		return
	}
	var apiErr *administration.Error
	if !errors.As(err, &apiErr) {
		apiErr = &administration.Error{Kind: administration.Unavailable, Message: err.Error(), Remedy: "see the node's log"}
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(httpStatus[apiErr.Kind])
	_ = json.NewEncoder(writer).Encode(apiErr)
}
