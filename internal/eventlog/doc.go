// Package eventlog keeps the log of a process in a bounded ring in memory and
// writes it out only when something goes wrong.
//
// Log hands out a logr.Logger. Its records stay in memory until one of these
// writes them to the data folder, or to a fallback writer where there is none:
// an error whose failure kind reaches the threshold, a panic, an operator's
// request, or SIGQUIT. Dumps are rate limited, and the number and size of the
// files are bounded.
package eventlog
