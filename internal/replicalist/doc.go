// Package replicalist reads the platform's list of replicas, which is too long for one call.
//
// The list comes in pages, each of which names the next one. A Reader reads all of them in rounds, one page after the
// other and no faster than the platform allows. What a page shows is handed on before the next page is read, and a call
// that fails is repeated for the page that it was for, so that a failure delays one page and loses none. Only whole rounds
// say that a replica is gone.
//
// Rounds decides which page is read when, and Presence what the pages say of replicas; both are pure. Reader makes the calls.
package replicalist
