package prover

import (
	"os"
	"testing"

	"github.com/flamingotack/flamingotack/internal/cmd"
)

// nodeModeVariable is the environment variable that makes the test binary run
// as flamingotackd.
const nodeModeVariable = "FLAMINGOTACK_PROVER_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeModeVariable) != "" {
		os.Exit(cmd.ExecuteNode(os.Args))
	}
	os.Exit(m.Run())
}
