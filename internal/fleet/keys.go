package fleet

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
)

// Keys reads a file of gossip encryption keys. Each line holds one key in base64, of 16, 24 or 32 bytes (AES-128, -192 or
// -256, as memberlist supports them). The first key encrypts and every key decrypts. To rotate keys, add the new key last,
// then move it to the top, then remove the old key, each time on the whole fleet. Blank lines and lines that begin with #
// are ignored.
func Keys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	in := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; in.Scan(); n++ {
		line := bytes.TrimSpace(in.Bytes())
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(string(line))
		if err != nil {
			return nil, fmt.Errorf("%s:%d: is not valid base64", file, n)
		}
		switch len(key) {
		case 16, 24, 32:
			keys = append(keys, key)
		default:
			return nil, fmt.Errorf("%s:%d: a key of %d bytes; a key must have 16, 24 or 32 bytes", file, n, len(key))
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: contains no key", file)
	}
	return keys, nil
}
