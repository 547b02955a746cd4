package database

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Client is a client of a group's control address.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for an address such as 127.0.0.1:6100.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: 10 * time.Second}}
}

func (c *Client) call(method, path string, target any) error {
	request, err := http.NewRequest(method, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the control address; check that it is the address of a simulated database group")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the simulated database group rejected the request: %s", strings.TrimSpace(string(body)))
	}
	if target == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, target), "decode answer")
}

// SetFault begins or ends a fault on a server, given by its number or "primary".
func (c *Client) SetFault(server string, fault Fault, on bool, amount time.Duration) error {
	values := url.Values{"server": {server}, "kind": {string(fault)}, "on": {fmt.Sprint(on)}, "amount": {amount.String()}}
	return c.call(http.MethodPost, "/fault?"+values.Encode(), nil)
}

// Leader returns the index of the primary with the highest term, or -1, and the number of servers.
func (c *Client) Leader() (int, int, error) {
	var rows []serverStatus
	if err := c.call(http.MethodGet, "/status", &rows); err != nil {
		return -1, 0, err
	}
	leader, term := -1, uint64(0)
	for index, row := range rows {
		if row.Role == "primary" && row.Term > term {
			leader, term = index, row.Term
		}
	}
	return leader, len(rows), nil
}

// Log returns a server's log.
func (c *Client) Log(server int) ([]LoggedTransaction, error) {
	var log []LoggedTransaction
	err := c.call(http.MethodGet, fmt.Sprintf("/log?server=%d", server), &log)
	return log, err
}
