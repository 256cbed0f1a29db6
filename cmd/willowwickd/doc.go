// Willowwickd is the daemon that runs on every box. Its settings are in options. With -node-file it serves opaque
// requests on the users' platform (runNode), and otherwise model requests and plain services (run).
package main
