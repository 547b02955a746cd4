// Package objectapi is a client for the platform's object API and machine list.
//
// The object API stores configuration and status as versioned objects, with
// conditional updates and watches. All versions come from a single counter of the
// store, its revision.
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

// Object is a stored object. Deleted objects remain as tombstones.
type Object struct {
	Key     string          `json:"key" msgpack:"k"`
	Value   json.RawMessage `json:"value,omitempty" msgpack:"v"`
	Version uint64          `json:"version" msgpack:"r"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"d"`
}

// Listing is the response to a list or watch request.
type Listing struct {
	// Revision is the revision of the store up to which Objects is complete.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Machine is an entry of the platform's machine list, which may be out of date.
type Machine struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// ErrorKind classifies errors by what can be done about them.
type ErrorKind uint8

// The kinds of store errors.
const (
	// Unavailable means that the request had no effect or was a read.
	Unavailable ErrorKind = iota
	// Conflict means that the object is not at the given version.
	Conflict
	// NotFound means that the object does not exist.
	NotFound
	// AnswerLost means that the change may have taken effect.
	AnswerLost
	// Rejected means that the store rejected the request as invalid.
	Rejected
)

// Error is an error of the object API.
type Error struct {
	Kind ErrorKind
	// Current is the current version of the object, for Conflict.
	Current uint64
	Message string
}

// Error implements the error interface. The message includes a remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case Conflict:
		return fmt.Sprintf("conflict: the object is at version %d; read it, compare, and replace that version", e.Current)
	case NotFound:
		return "no such object; check the name"
	case AnswerLost:
		return "the answer was lost: the change may have taken effect; read back by operation id before sending it again: " + e.Message
	case Rejected:
		return "the store rejected the request: " + e.Message
	default:
		return "the store cannot be reached; try again later: " + e.Message
	}
}

// KindOf returns the kind of a store error, and Unavailable for other errors.
func KindOf(err error) ErrorKind {
	var found *Error
	if errors.As(err, &found) {
		return found.Kind
	}
	return Unavailable
}

// Headers of the object API.
const (
	matchHeader   = "If-Match"
	versionHeader = "Object-Version"
)

// maxResponseBytes is the maximum size of a response from the store.
const maxResponseBytes = 64 << 20

// Client is a client for the object API and the machine list. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for a base URL such as http://127.0.0.1:7000. The timeout
// applies to each request.
func NewClient(baseURL string, timeout time.Duration) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Timeout: timeout}}
}

// do sends a request. The version is a precondition unless it is nil.
func (c *Client) do(ctx context.Context, method, path string, version *uint64, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, &Error{Kind: Rejected, Message: err.Error()}
	}
	if version != nil {
		request.Header.Set(matchHeader, strconv.FormatUint(*version, 10))
	}
	failureKind := Unavailable
	if method == http.MethodPut || method == http.MethodDelete {
		failureKind = AnswerLost
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &Error{Kind: failureKind, Message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &Error{Kind: failureKind, Message: err.Error()}
	}
	return content, responseError(response, content, failureKind)
}

func responseError(response *http.Response, content []byte, failureKind ErrorKind) error {
	message := strings.TrimSpace(string(content))
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
		return &Error{Kind: failureKind, Message: message}
	default:
		return &Error{Kind: Rejected, Message: message}
	}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodGet, "/objects/"+key, nil, nil))
}

// Put stores a value if the object is at the given version, where 0 means that it does
// not exist.
func (c *Client) Put(ctx context.Context, key string, value json.RawMessage, version uint64) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodPut, "/objects/"+key, &version, value))
}

// Delete deletes an object if it is at the given version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) (Object, error) {
	return decode[Object](c.do(ctx, http.MethodDelete, "/objects/"+key, &version, nil))
}

// List returns all objects whose keys have the given prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	return decode[Listing](c.do(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, nil))
}

// Watch returns the changes after the revision since, and waits up to the given
// duration for some.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) (Listing, error) {
	path := fmt.Sprintf("/watch?since=%d&wait=%s", since, wait)
	return decode[Listing](c.do(ctx, http.MethodGet, path, nil, nil))
}

// Machines returns the platform's machine list.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return decode[[]Machine](c.do(ctx, http.MethodGet, "/machines", nil, nil))
}

func decode[T any](content []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(content, &value); err != nil {
		return value, &Error{Kind: AnswerLost, Message: "unreadable answer: " + err.Error()}
	}
	return value, nil
}
