// Command flamingotack is the operators' client.
package main

import (
	"os"

	"github.com/flamingotack/flamingotack/internal/cmd"
)

func main() {
	os.Exit(cmd.ExecuteClient(os.Args))
}
