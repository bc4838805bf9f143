// Package prover tests the guarantees of the system under faults, with real
// node processes, fault-injecting proxies and emulated services. It contains
// tests only.
package prover
