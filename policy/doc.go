// Package policy compiles and evaluates operators' policies: ordered rules in the Common Expression Language, checked
// when they are published, with a bound on the cost of an evaluation.
package policy
