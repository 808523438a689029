package eventlog

import (
	"strconv"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// sink implements logr.LogSink on top of a Log's ring.
type sink struct {
	funcr.Formatter
	log *Log
}

var _ logr.LogSink = &sink{}

func newSink(log *Log, verbosity int) logr.LogSink {
	formatter := funcr.NewFormatter(funcr.Options{Verbosity: verbosity})
	return &sink{Formatter: formatter, log: log}
}

// Info implements logr.LogSink.
func (s sink) Info(level int, message string, keysAndValues ...any) {
	prefix, arguments := s.FormatInfo(level, message, keysAndValues)
	s.log.ring.add(s.log.options.Now(), false, join(prefix, arguments))
}

// Error implements logr.LogSink. It asks for a dump if the error's kind is
// severe enough.
func (s sink) Error(err error, message string, keysAndValues ...any) {
	prefix, arguments := s.FormatError(err, message, keysAndValues)
	s.log.ring.add(s.log.options.Now(), true, join(prefix, arguments))
	if err == nil {
		return
	}
	row := failure.Lookup(failure.KindOf(err))
	if row.Severity >= s.log.options.Threshold {
		s.log.requestDump("error of kind " + strconv.Quote(string(row.Kind)) + ": " + message)
	}
}

// WithValues implements logr.LogSink.
func (s sink) WithValues(keysAndValues ...any) logr.LogSink {
	s.AddValues(keysAndValues)
	return &s
}

// WithName implements logr.LogSink.
func (s sink) WithName(name string) logr.LogSink {
	s.AddName(name)
	return &s
}

func join(prefix, arguments string) string {
	if prefix == "" {
		return arguments
	}
	return prefix + ": " + arguments
}
