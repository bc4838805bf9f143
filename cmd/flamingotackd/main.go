// Command flamingotackd is the node beside a backend server.
package main

import (
	"os"

	"github.com/flamingotack/flamingotack/internal/cmd"
)

func main() {
	os.Exit(cmd.ExecuteNode(os.Args))
}
