// Willowwickd is the daemon that runs on every box. Its settings are in options. With -node-file it serves opaque
// requests on the users' platform (runNode, package exchange), and otherwise chat completions and plain services (run,
// package serve).
package main
