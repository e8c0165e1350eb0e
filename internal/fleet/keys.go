package fleet

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
)

// Keys reads a file of gossip keys: one in a line in base64, of 16, 24 or 32 bytes (AES-128, -192, -256, as the library
// has them). The first encrypts; all decrypt, so that keys are changed by adding the new one below, then above, then taking
// the old one out, fleet-wide each time. Blank lines and lines that begin with # are passed over.
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
			return nil, fmt.Errorf("%s:%d: is no base64", file, n)
		}
		switch len(key) {
		case 16, 24, 32:
			keys = append(keys, key)
		default:
			return nil, fmt.Errorf("%s:%d: a key of %d bytes; it must have 16, 24 or 32", file, n, len(key))
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: holds no key", file)
	}
	return keys, nil
}
