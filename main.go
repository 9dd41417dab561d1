// Command dragonflygrade is a database proxy with session consistency.
package main

import (
	"os"

	"dragonflygrade/dfcli"
)

func main() {
	os.Exit(dfcli.Run(os.Args[1:]))
}
