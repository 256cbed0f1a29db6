// Package config defines the operators' declarations: their format in files,
// their validation, and the fold that computes the same state on every box from
// the records of the log. Its only I/O is reading declaration files.
// Begin with State and Fold; a Revision is a State with indexes for handling requests.
package config
