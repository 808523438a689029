// Package cli is the command line of pierhaven: the daemons' commands and the
// operators' commands, their output as tables or JSON, and their exit codes.
package cli
