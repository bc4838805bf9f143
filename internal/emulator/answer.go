package emulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const answerFieldCount = 3

// Digest returns the SHA-256 digest of a body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// EncodeAnswer returns the body of an answer to the request with a chain path.
// It contains the path and the request's digest, is padded to at least
// minBytes, and ends with its own digest.
func EncodeAnswer(chainPath string, request []byte, minBytes int) []byte {
	var b bytes.Buffer
	b.WriteString(chainPath + "\n" + Digest(request) + "\n")
	if fill := minBytes - b.Len() - sha256.Size*2; fill > 0 {
		b.WriteString(strings.Repeat("x", fill))
	}
	b.WriteString("\n")
	b.WriteString(Digest(b.Bytes()))
	return b.Bytes()
}

// VerifyAnswer returns the chain path that an answer was written for. whole is
// false if the answer was modified or truncated, or was written for another
// request body.
func VerifyAnswer(answer, request []byte) (chain string, whole bool) {
	fields := strings.SplitN(string(answer), "\n", answerFieldCount)
	if len(fields) < answerFieldCount {
		return "", false
	}
	end := len(answer) - sha256.Size*2
	if end < 0 || Digest(answer[:end]) != string(answer[end:]) {
		return fields[0], false
	}
	return fields[0], fields[1] == Digest(request)
}
