// Package baseline has policies to compare the admission module with. Each implements admission.Events and can take the
// module's place in a simulated server.
//
// A host implements what all policies need to keep the rules: responses by the deadline, idempotency keys, the limits of
// memory and concurrency, and draining. A policy only decides how requests are admitted, ordered and limited, so that this is
// all that differs between two runs.
package baseline
