// Package engineclient speaks the engine protocol of package engineapi: it runs
// attempts, cancels them and reads an engine's state.
package engineclient
