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

	// minDigestPrefixDigits is the least number of digits that identify a key.
	minDigestPrefixDigits = 8
	shownDigestDigits     = 12

	keyDescription = `The manifest holds only the SHA-256 digest of a key. A key itself is printed
once, when it is issued, and stored nowhere.

Examples:
  flamingotack key issue diu-juniors > key.txt
  flamingotack key list
  flamingotack key withdraw 3f2a91c0
  flamingotack key withdraw --key-file key.txt`
)

type (
	// issuedKey is the new key in the JSON output of key issue.
	issuedKey struct {
		Customer string `json:"customer"`
		Key      string `json:"key"`
		Digest   string `json:"digest"`
	}

	// listedKey is a key in the JSON output of key list.
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
				Usage:     "issue a new key to a customer and print it once",
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
				Usage:     "make a key invalid on every node",
				ArgsUsage: "DIGEST",
				Flags: append(changeFlags(), changeIDFlag(), &cli.StringFlag{
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
		i, err := findCustomer(m, name)
		if err != nil {
			return err
		}
		m.Customers[i].KeyDigests = append(m.Customers[i].KeyDigests, issued.Digest)
		return nil
	}), issued)
}

func runKeyList(ctx context.Context, c *cli.Command) (err error) {
	customer := c.Args().First()
	if c.Args().Len() > 1 {
		return usageErrorf("%s takes at most one CUSTOMER, got %d", c.FullName(), c.Args().Len())
	}
	return withView(ctx, c, func(_ context.Context, s *session, v *operator.ConfigView) error {
		return s.printKeyList(v.State.Manifest, customer)
	})
}

// printKeyList prints the keys of a customer, or of all when customer is empty.
func (s *session) printKeyList(m *parser.Manifest, customer string) error {
	keys := []listedKey{}
	if m != nil {
		for _, c := range m.Customers {
			for _, k := range c.KeyDigests {
				if customer == "" || customer == c.Name {
					keys = append(keys, listedKey{Customer: c.Name, Digest: k})
				}
			}
		}
	}
	table := tabulator.New("CUSTOMER", "DIGEST")
	for _, k := range keys {
		table.AddRow(k.Customer, k.Digest[:shownDigestDigits]+"…")
	}
	return s.print(table.String(), keys)
}

func runKeyWithdraw(ctx context.Context, c *cli.Command) (err error) {
	prefix, err := digestArgument(c)
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, editManifest(func(m *parser.Manifest) error {
		customerIndex, keyIndex, err := findKey(m, prefix)
		if err != nil {
			return err
		}
		keys := &m.Customers[customerIndex].KeyDigests
		*keys = slices.Delete(slices.Clone(*keys), keyIndex, keyIndex+1)
		return nil
	}), nil)
}

// findCustomer returns the index of a customer in the manifest.
func findCustomer(m *parser.Manifest, name string) (int, error) {
	i := slices.IndexFunc(m.Customers, func(c parser.Customer) bool { return c.Name == name })
	if i < 0 {
		return 0, usageErrorf("manifest has no customer %q", name)
	}
	return i, nil
}

// digestArgument returns the start of the digest that the argument names, or the
// whole digest of the key in the file that the flag names.
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
	if len(prefix) < minDigestPrefixDigits || strings.Trim(prefix, "0123456789abcdef") != "" {
		return "", usageErrorf("%q is not the start of a digest, %d digits of 0 to 9 and a to f at least; to withdraw a key itself use --%s",
			prefix, minDigestPrefixDigits, keyFileFlag)
	}
	return prefix, nil
}

// editManifest returns an editFunc that publishes a modified copy of the current
// manifest.
func editManifest(modify func(m *parser.Manifest) error) editFunc {
	return func(state *folder.State) (r folder.Record, changes []differ.Change, err error) {
		if state.Manifest == nil {
			return r, nil, usageErrorf("no manifest has been published")
		}
		m, err := parser.CloneManifest(state.Manifest)
		if err != nil {
			return r, nil, err
		}
		if err := modify(m); err != nil {
			return r, nil, err
		}
		r = folder.NewRecord(folder.KindManifest)
		r.Manifest = m
		changes, err = differ.Compare(state.Manifest, m)
		return r, changes, err
	}
}

// findKey returns the indexes of the key whose digest starts with prefix, and of
// its customer. It is an error when not exactly one key matches.
func findKey(m *parser.Manifest, prefix string) (customerIndex, keyIndex int, err error) {
	found := 0
	for i, c := range m.Customers {
		for j, k := range c.KeyDigests {
			if strings.HasPrefix(k, prefix) {
				customerIndex, keyIndex = i, j
				found++
			}
		}
	}
	if found != 1 {
		return 0, 0, usageErrorf("%d keys have a digest that starts with %s, want 1", found, prefix)
	}
	return customerIndex, keyIndex, nil
}
