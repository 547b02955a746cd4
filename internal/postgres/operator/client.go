package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/node"
)

// Client is a client of a node's operator API.
type Client struct {
	baseURL string
	http    *http.Client
}

// clientTimeout is the timeout of a request. It allows for the node's retries when it
// stores a change.
const clientTimeout = 30 * time.Second

// NewClient returns a client for the node at an address such as 127.0.0.1:7004.
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + strings.TrimPrefix(address, "http://"), http: &http.Client{Timeout: clientTimeout}}
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var value T
	encoded, err := json.Marshal(body)
	if err != nil {
		return value, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return value, errors.Wrap(err, "make request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return value, errors.Wrap(err, "the node cannot be reached; name another with --node")
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		apiErr := &administration.Error{}
		if err := decoder.Decode(apiErr); err != nil {
			return value, errors.Errorf("the node answered with status %s", response.Status)
		}
		return value, apiErr
	}
	return value, errors.Wrap(decoder.Decode(&value), "decode answer")
}

// Status returns the node's status.
func (c *Client) Status(ctx context.Context) (node.NodeStatus, error) {
	return call[node.NodeStatus](ctx, c, http.MethodGet, "/status", nil)
}

// Fleet returns the status of all nodes.
func (c *Client) Fleet(ctx context.Context) (FleetStatus, error) {
	return call[FleetStatus](ctx, c, http.MethodGet, "/fleet", nil)
}

// Policy returns the active policy of a service.
func (c *Client) Policy(ctx context.Context, service string) (PolicyState[configuration.Policy], error) {
	return call[PolicyState[configuration.Policy]](ctx, c, http.MethodGet, "/policies/"+service, nil)
}

// Proposal returns the service's policy that waits for review.
func (c *Client) Proposal(ctx context.Context, service string) (PolicyState[configuration.Proposal], error) {
	return call[PolicyState[configuration.Proposal]](ctx, c, http.MethodGet, "/proposals/"+service, nil)
}

// SubmitPolicy submits a new policy or one that replaces the active policy.
func (c *Client) SubmitPolicy(ctx context.Context, service string, change PolicyChange) (administration.Outcome, error) {
	return call[administration.Outcome](ctx, c, http.MethodPost, "/policies/"+service, change)
}

// ApprovePolicy approves the version of the proposal given by change.Replaces.
func (c *Client) ApprovePolicy(ctx context.Context, service string, change administration.Change) (administration.Outcome, error) {
	return call[administration.Outcome](ctx, c, http.MethodPost, "/proposals/"+service+"/approve", change)
}

// Mark sets or clears the leaving mark of a node or server.
func (c *Client) Mark(ctx context.Context, change MarkChange) (administration.Outcome, error) {
	return call[administration.Outcome](ctx, c, http.MethodPost, "/marks", change)
}

// SetGroup configures a database group.
func (c *Client) SetGroup(ctx context.Context, change GroupChange) (administration.Outcome, error) {
	return call[administration.Outcome](ctx, c, http.MethodPost, "/groups/"+change.Group.Name, change)
}

// SetUser stores the credentials of a caller.
func (c *Client) SetUser(ctx context.Context, name string, change UserChange) (administration.Outcome, error) {
	return call[administration.Outcome](ctx, c, http.MethodPost, "/users/"+name, change)
}
