// Package handler serves the callers' interface of package callerapi.
package handler
