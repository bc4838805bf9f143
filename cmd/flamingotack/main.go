// Command flamingotack is the command-line client for operators.
package main

import (
	"os"

	"github.com/flamingotack/flamingotack/internal/cmd"
)

func main() {
	os.Exit(cmd.ExecuteClient(os.Args))
}
