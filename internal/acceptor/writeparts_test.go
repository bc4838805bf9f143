package acceptor

import (
	"bytes"
	"net"
	"testing"
)

// TestPieces guards against pieces that lose, repeat or reorder bytes of a response, and against
// pieces that are too large for progress to be seen.
func TestPieces(t *testing.T) {
	for _, sizes := range [][]int{{100, 17 << 10}, {100, maxWriteBytes}, {maxWriteBytes}, {maxWriteBytes + 1, 1, 1}, {100, 3 * maxWriteBytes, 64 << 10, 5}, {0, 1, 0}} {
		var out net.Buffers
		var want []byte
		for i, size := range sizes {
			part := bytes.Repeat([]byte{byte('a' + i)}, size)
			out = append(out, part)
			want = append(want, part...)
		}
		var got []byte
		pieces := 0
		for len(out) > 0 {
			size := 0
			for _, part := range takePiece(&out) {
				size += len(part)
				got = append(got, part...)
			}
			pieces++
			if size > maxWriteBytes {
				t.Errorf("%v: got a piece of %d bytes, want at most %d", sizes, size, maxWriteBytes)
			}
		}
		if wantPieces := (len(want) + maxWriteBytes - 1) / maxWriteBytes; !bytes.Equal(got, want) || pieces != wantPieces {
			t.Errorf("%v: got %d bytes in %d pieces, want the same %d bytes in %d", sizes, len(got), pieces, len(want), wantPieces)
		}
	}
}
