// Command flamingotack-platform runs a node on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/flamingotack/flamingotack/platform"
)

func main() {
	if err := platform.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
