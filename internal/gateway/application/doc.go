// Package application runs the operations of application back ends. Operations
// that may not be repeated are claimed in their home zone before their one
// dispatch.
package application
