// Package crowd has real processes meet crowds of clients that don't behave, at every listener, and judges them from outside: by
// their memory, their descriptors, and the answers to ordinary requests. All of it is tests.
package crowd
