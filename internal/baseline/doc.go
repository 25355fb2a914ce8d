// Package baseline implements admission policies to compare the admission module with. Each implements admission.Events
// and can replace the module in a simulated server.
//
// All policies share a host, which enforces the rules of a server: responses before the deadline, idempotency keys, memory
// and concurrency limits, and draining. A policy only decides which requests to admit, in which order to run them and how
// many to run concurrently, so that two runs differ in nothing else.
package baseline
