// Command dewknot runs the database proxy for PostgreSQL, its tools, and stand-ins for databases
// and the platform.
package main

import (
	"os"

	"dewknot/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
