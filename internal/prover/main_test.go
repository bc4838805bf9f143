package prover

import (
	"os"
	"testing"

	"github.com/flamingotack/flamingotack/internal/cmd"
)

// nodeVariable makes the test binary serve as flamingotackd.
const nodeVariable = "FLAMINGOTACK_PROVER_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(cmd.ExecuteNode(os.Args))
	}
	os.Exit(m.Run())
}
