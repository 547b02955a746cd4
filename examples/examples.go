// Package examples holds the policies of the two example deployments. docs/POLICIES.md explains
// them.
package examples

import _ "embed" // for the policy programs

// Shirebound is the policy of the coach booking service.
//
//go:embed shirebound.star
var Shirebound []byte

// Gentvaart is the policy of the exam service.
//
//go:embed gentvaart.star
var Gentvaart []byte
