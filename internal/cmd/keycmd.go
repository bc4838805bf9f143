package cmd

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const (
	keyFileFlag = "key-file"

	// minDigestPrefix is the number of digits that name a key, at least.
	minDigestPrefix = 8
	shownDigest     = 12

	keyDescription = `The manifest holds only the SHA-256 digest of a key. A key itself is printed
once, when it is issued, and kept nowhere.

Examples:
  flamingotack key issue diu-juniors > key.txt
  flamingotack key list
  flamingotack key withdraw 3f2a91c0
  flamingotack key withdraw --key-file key.txt`
)

type (
	// issuedKey is what key issue prints for programs.
	issuedKey struct {
		Customer string `json:"customer"`
		Key      string `json:"key"`
		Digest   string `json:"digest"`
	}

	// listedKey is what key list prints for programs.
	listedKey struct {
		Customer string `json:"customer"`
		Digest   string `json:"digest"`
	}
)

func newKeyCmd() *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "issue and withdraw the keys of customers",
		Description: keyDescription,
		Commands: []*cli.Command{
			{
				Name:      "issue",
				Usage:     "make a new key of a customer and print it, once",
				ArgsUsage: "CUSTOMER",
				Flags:     changeFlags(),
				Action:    runKeyIssue,
			},
			{
				Name:      "list",
				Usage:     "list the digests of all keys, or of one customer's",
				ArgsUsage: "[CUSTOMER]",
				Action:    runKeyList,
			},
			{
				Name:      "withdraw",
				Usage:     "make a key worthless on every node",
				ArgsUsage: "DIGEST",
				Flags: append(changeFlags(), repeatFlag(), &cli.StringFlag{
					Name:  keyFileFlag,
					Usage: "withdraw the key that `FILE` holds (- for standard input)",
				}),
				Action: runKeyWithdraw,
			},
		},
	}
}

func runKeyIssue(ctx context.Context, c *cli.Command) (err error) {
	name, err := onlyArgument(c, "CUSTOMER")
	if err != nil {
		return err
	}
	key := rand.Text()
	issued := &issuedKey{Customer: name, Key: key, Digest: authenticator.DigestKey(key)}
	return applyEdit(ctx, c, editManifest(func(m *parser.Manifest) error {
		i, err := customerIndex(m, name)
		if err != nil {
			return err
		}
		m.Customers[i].Keys = append(m.Customers[i].Keys, issued.Digest)
		return nil
	}), issued)
}

func runKeyList(ctx context.Context, c *cli.Command) (err error) {
	only := c.Args().First()
	if c.Args().Len() > 1 {
		return usageErrorf("%s takes at most one CUSTOMER, got %d", c.FullName(), c.Args().Len())
	}
	return withView(ctx, c, func(_ context.Context, s *session, v *operator.View) error {
		return s.listKeys(v.State.Manifest, only)
	})
}

// listKeys prints the keys of one customer, or of all when only is empty.
func (s *session) listKeys(m *parser.Manifest, only string) error {
	keys := []listedKey{}
	if m != nil {
		for _, p := range m.Customers {
			for _, k := range p.Keys {
				if only == "" || only == p.Name {
					keys = append(keys, listedKey{Customer: p.Name, Digest: k})
				}
			}
		}
	}
	table := tabulator.New("CUSTOMER", "DIGEST")
	for _, k := range keys {
		table.AddRow(k.Customer, k.Digest[:shownDigest]+"…")
	}
	return s.print(table.String(), keys)
}

func runKeyWithdraw(ctx context.Context, c *cli.Command) (err error) {
	prefix, err := digestArgument(c)
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, editManifest(func(m *parser.Manifest) error {
		customer, place, err := findKey(m, prefix)
		if err != nil {
			return err
		}
		keys := &m.Customers[customer].Keys
		*keys = slices.Delete(slices.Clone(*keys), place, place+1)
		return nil
	}), nil)
}

// customerIndex returns the place of a customer in the manifest.
func customerIndex(m *parser.Manifest, name string) (int, error) {
	i := slices.IndexFunc(m.Customers, func(p parser.Customer) bool { return p.Name == name })
	if i < 0 {
		return 0, usageErrorf("manifest has no customer %q", name)
	}
	return i, nil
}

// digestArgument returns the start of a digest, or the whole digest of the key
// in a file.
func digestArgument(c *cli.Command) (prefix string, err error) {
	if file := c.String(keyFileFlag); file != "" {
		data, err := readFile(c.Root().Reader, file)
		if err != nil {
			return "", &UsageError{Cause: err}
		}
		return authenticator.DigestKey(strings.TrimSpace(string(data))), nil
	}
	prefix, err = onlyArgument(c, "DIGEST")
	if err != nil {
		return "", err
	}
	prefix = strings.TrimSuffix(prefix, "…")
	if len(prefix) < minDigestPrefix || strings.Trim(prefix, "0123456789abcdef") != "" {
		return "", usageErrorf("%q is not the start of a digest, %d digits of 0 to 9 and a to f at least; to withdraw a key itself use --%s",
			prefix, minDigestPrefix, keyFileFlag)
	}
	return prefix, nil
}

// editManifest returns the edit that publishes a copy of the present manifest
// with a change.
func editManifest(alter func(m *parser.Manifest) error) edit {
	return func(state *folder.State) (r folder.Record, changes []differ.Change, err error) {
		if state.Manifest == nil {
			return r, nil, usageErrorf("no manifest has been published")
		}
		m, err := parser.CloneManifest(state.Manifest)
		if err != nil {
			return r, nil, err
		}
		if err := alter(m); err != nil {
			return r, nil, err
		}
		r = folder.NewRecord(folder.KindManifest)
		r.Manifest = m
		changes, err = differ.Compare(state.Manifest, m)
		return r, changes, err
	}
}

// findKey returns the places of the only key whose digest starts with prefix.
func findKey(m *parser.Manifest, prefix string) (customer, place int, err error) {
	found := 0
	for i, p := range m.Customers {
		for j, k := range p.Keys {
			if strings.HasPrefix(k, prefix) {
				customer, place = i, j
				found++
			}
		}
	}
	if found != 1 {
		return 0, 0, usageErrorf("%d keys have a digest that starts with %s, want 1", found, prefix)
	}
	return customer, place, nil
}
