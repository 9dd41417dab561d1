// Package dfcompat compares what callers see through hosts with what they see
// at an upstream. It has tests and benchmarks only.
package dfcompat
