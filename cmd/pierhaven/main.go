// Command pierhaven is the product: its daemons and the operators' commands.
package main

import (
	"os"

	"github.com/pierhaven/pierhaven/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr, Environment: os.Environ()}))
}
