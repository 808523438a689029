// Package topology says which region each zone is in, and how far two zones are from each
// other. It is pure: it decides nothing, and what a distance costs is for those who decide.
package topology
