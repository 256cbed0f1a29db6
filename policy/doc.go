// Package policy compiles and evaluates operators' policies: ordered rules in the Common Expression Language, checked
// when they are published, with a bound on the cost of an evaluation.
// Begin with Compile, which turns a Spec into a Program.
package policy
