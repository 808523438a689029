// Package static reads the settings of a process: what is fixed for as long as
// it runs, such as its zone, its addresses and its bounds.
//
// There is one YAML file with the sections common, gateway and controller.
// Each key, such as gateway.listen_address, is also a flag
// (--gateway.listen-address) and an environment variable
// (PIERHAVEN_GATEWAY_LISTEN_ADDRESS). A flag wins over the environment, the
// environment over the file, and the file over the default. Everything is
// checked before anything starts, and all problems are reported at once with
// where they stand.
package static
