// Package scheduler joins the pure cores of admission, routing and retries to
// the running gateway: it holds their lock, gives them the time, and tells them
// what happens. It decides when a request is served, by which engines, and
// whether it may be tried again.
package scheduler
