package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
)

const publishDescription = `Checks a manifest, shows what changes, appends it to the log and waits until
every node acts on it. When two operators publish at the same time, one wins and
the command of the other ends with exit code 3.

Examples:
  flamingotack publish --dry-run manifest.jsonc
  flamingotack publish manifest.jsonc
  generate-manifest | flamingotack publish --base 41 --timeout 1m -`

func newPublishCmd() *cli.Command {
	return &cli.Command{
		Name:        "publish",
		Usage:       "make a manifest the configuration of all nodes",
		ArgsUsage:   "FILE",
		Description: publishDescription,
		Flags:       append(changeFlags(), changeIDFlag()),
		Action:      runPublish,
	}
}

func runPublish(ctx context.Context, c *cli.Command) error {
	m, _, err := readManifest(c)
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, func(state *folder.State) (r folder.Record, changes []differ.Change, err error) {
		r = folder.NewRecord(folder.KindManifest)
		r.Manifest = m
		changes, err = differ.Compare(state.Manifest, m)
		return r, changes, err
	}, nil)
}
