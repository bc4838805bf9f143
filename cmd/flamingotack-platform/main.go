// Command flamingotack-platform is the node on the users' platform.
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
