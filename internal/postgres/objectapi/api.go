// Package objectapi is the client of the platform's object API and machine list.
//
// The object API keeps configuration and status as versioned objects with
// conditional updates and watches (brief, "What the platform gives"). All
// versions come from one counter of the store, its revision.
package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Object is a stored object. A deleted object remains as a tombstone.
type Object struct {
	Key     string          `json:"key" msgpack:"k"`
	Value   json.RawMessage `json:"value,omitempty" msgpack:"v"`
	Version uint64          `json:"version" msgpack:"r"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"d"`
}

// Listing is the answer to a list or watch request.
type Listing struct {
	// Revision is the store's revision up to which Objects is complete.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Machine is an entry of the platform's machine list, which lags.
type Machine struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// ErrorKind tells what a caller of the store can do about an error.
type ErrorKind uint8

// The kinds of store errors.
const (
	// Unavailable: the request surely took no effect, or only read.
	Unavailable ErrorKind = iota
	// Conflict: the object has another version than the one named.
	Conflict
	// NotFound: no such object.
	NotFound
	// AnswerLost: the change may have taken effect.
	AnswerLost
	// Rejected: the store refused the request as wrong.
	Rejected
)

// Error is an error of the object API.
type Error struct {
	Kind ErrorKind
	// Current is the object's present version, for Conflict.
	Current uint64
	Message string
}

// Error implements the error interface; the message names the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case Conflict:
		return fmt.Sprintf("conflict: the object is at version %d; read it, compare, and replace that version", e.Current)
	case NotFound:
		return "no such object; check the name"
	case AnswerLost:
		return "the answer was lost: the change may have taken effect; read back by operation id before sending it again: " + e.Message
	case Rejected:
		return "the store refused the request: " + e.Message
	default:
		return "the store cannot be reached; try again later: " + e.Message
	}
}

// KindOf returns the kind of a store error; other errors count as Unavailable.
func KindOf(err error) ErrorKind {
	var found *Error
	if errors.As(err, &found) {
		return found.Kind
	}
	return Unavailable
}

// Header and parameter names of the object API.
const (
	matchHeader   = "If-Match"
	versionHeader = "Object-Version"
)

// maxAnswerBytes bounds an answer from the store.
const maxAnswerBytes = 64 << 20

// Client talks to the object API and the machine list.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a base URL such as http://127.0.0.1:7000.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Timeout: timeout}}
}

func (c *Client) do(ctx context.Context, method, path string, match *uint64, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, &Error{Kind: Rejected, Message: err.Error()}
	}
	if match != nil {
		request.Header.Set(matchHeader, strconv.FormatUint(*match, 10))
	}
	lost := Unavailable
	if method == http.MethodPut || method == http.MethodDelete {
		lost = AnswerLost
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &Error{Kind: lost, Message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, &Error{Kind: lost, Message: err.Error()}
	}
	return answer, statusError(response, answer, lost)
}

func statusError(response *http.Response, answer []byte, lost ErrorKind) error {
	message := strings.TrimSpace(string(answer))
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		return nil
	case response.StatusCode == http.StatusConflict:
		current, _ := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
		return &Error{Kind: Conflict, Current: current, Message: message}
	case response.StatusCode == http.StatusNotFound:
		return &Error{Kind: NotFound, Message: message}
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		return &Error{Kind: Unavailable, Message: message}
	case response.StatusCode >= http.StatusInternalServerError:
		return &Error{Kind: lost, Message: message}
	default:
		return &Error{Kind: Rejected, Message: message}
	}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodGet, "/objects/"+key, nil, nil))
}

// Put stores a value if the object is at the version named (0: it does not exist).
func (c *Client) Put(ctx context.Context, key string, value json.RawMessage, version uint64) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodPut, "/objects/"+key, &version, value))
}

// Delete removes an object if it is at the version named.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodDelete, "/objects/"+key, &version, nil))
}

// List returns all objects whose keys have a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	return decode[Listing](c.do(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, nil))
}

// Watch waits up to a duration for changes after a revision.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) (Listing, error) {
	path := fmt.Sprintf("/watch?since=%d&wait=%s", since, wait)
	return decode[Listing](c.do(ctx, http.MethodGet, path, nil, nil))
}

// Machines returns the platform's machine list.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return decode[[]Machine](c.do(ctx, http.MethodGet, "/machines", nil, nil))
}

func decode[T any](answer []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(answer, &value); err != nil {
		return value, &Error{Kind: AnswerLost, Message: "unreadable answer: " + err.Error()}
	}
	return value, nil
}
