package config

import (
	"errors"
	"fmt"
	"io"
	"os"
)

const (
	maxFileBytes = 16 << 20
	maxReads     = 10 // maximum number of reads of a file that keeps changing
)

// errChanging is the error of a file that was replaced or written to during each of maxReads reads.
var errChanging = errors.New("keeps changing while it is read")

// readFile reads a whole file. If the file is replaced or written to meanwhile, it is read again.
func readFile(path string) ([]byte, error) {
	for range maxReads {
		text, stable, err := readOnce(path, os.Stat)
		if err != nil || stable {
			return text, err
		}
	}
	return nil, errChanging
}

// readOnce reads a file and reports whether it stayed unchanged meanwhile. stat is os.Stat except in tests.
func readOnce(path string, stat func(string) (os.FileInfo, error)) (text []byte, stable bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if before.IsDir() {
		return nil, false, errors.New("is a folder, not a file")
	}
	if text, err = io.ReadAll(io.LimitReader(f, maxFileBytes+1)); err != nil {
		return nil, false, err
	}
	if len(text) > maxFileBytes {
		return nil, false, fmt.Errorf("is larger than %s", Size(maxFileBytes))
	}
	after, err := stat(path)
	if err != nil { // the file was removed, probably to be replaced
		return nil, false, nil
	}
	stable = os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && int64(len(text)) == after.Size()
	return text, stable, nil
}

// pathReason returns the text of an error without the operation and the path, which a Problem names itself.
func pathReason(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
