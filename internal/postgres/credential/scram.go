// Package credential verifies callers with SCRAM-SHA-256 (RFC 5802, RFC 7677)
// against verifiers in PostgreSQL's format:
// SCRAM-SHA-256$iterations:salt$storedkey:serverkey.
package credential

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the name of the SASL mechanism.
const Mechanism = "SCRAM-SHA-256"

// Parameters of new verifiers; these are PostgreSQL's defaults.
const (
	iterations = 4096
	saltBytes  = 16
)

// NewVerifier derives a verifier from a password.
func NewVerifier(user, password string) (string, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return "", errors.Wrap(err, "prepare password")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // crypto/rand.Read never fails
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "derive verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf(
		"%s$%d:%s$%s:%s", Mechanism, iterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey),
	), nil
}

// ParseVerifier parses a verifier.
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	stored := scram.StoredCredentials{}
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return stored, errors.New("a verifier must have the form SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	iterationText, salt, _ := strings.Cut(parts[1], ":")
	storedKey, serverKey, _ := strings.Cut(parts[2], ":")
	iterationCount, err := strconv.Atoi(iterationText)
	if err != nil {
		return stored, errors.Wrap(err, "iterations of verifier")
	}
	decoded := make([][]byte, 3)
	for index, encoded := range []string{salt, storedKey, serverKey} {
		if decoded[index], err = base64.StdEncoding.DecodeString(encoded); err != nil {
			return stored, errors.Wrap(err, "base64 in verifier")
		}
	}
	stored.KeyFactors = scram.KeyFactors{Salt: string(decoded[0]), Iters: iterationCount}
	stored.StoredKey, stored.ServerKey = decoded[1], decoded[2]
	return stored, nil
}

// Conversation is the server side of one authentication exchange.
type Conversation struct {
	exchange *scram.ServerConversation
}

// NewConversation begins an exchange that verifies a password against a verifier. It
// ignores the user name in the exchange, because PostgreSQL clients leave it empty.
func NewConversation(verifier string) (*Conversation, error) {
	stored, err := ParseVerifier(verifier)
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return nil, errors.Wrap(err, "start authentication")
	}
	return &Conversation{exchange: server.NewConversation()}, nil
}

// Step returns the answer to a client's message.
func (c *Conversation) Step(message string) (string, error) {
	answer, err := c.exchange.Step(message)
	return answer, errors.Wrap(err, "authentication exchange")
}

// Valid reports whether the client has proved that it has the password.
func (c *Conversation) Valid() bool { return c.exchange.Valid() }
