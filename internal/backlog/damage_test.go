package backlog

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// filledStore creates a store with several segments and closes it.
func filledStore(t *testing.T) *memFS {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	for seq := uint64(1); seq <= 60; seq++ {
		require.NoError(t, s.Append(testMessage(testLanes[seq%3], seq)))
		if seq%10 == 0 {
			ms, err := s.Head(testLanes[0], 1)
			require.NoError(t, err)
			require.NoError(t, s.Release(refsOf(ms)))
		}
	}
	require.Greater(t, len(s.segments), 4)
	require.NoError(t, s.Close())
	return files
}

func segmentFiles(files *memFS) []string {
	var names []string
	for name := range files.files {
		if _, ok := segmentNumber(filepath.Base(name)); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// If any byte of a segment is changed, Open fails, names the file and changes nothing.
func TestOpenRefusesDamagedSegment(t *testing.T) {
	whole := filledStore(t)
	names := segmentFiles(whole)
	for i, name := range names {
		for at := 0; at < len(whole.files[name]); at += 3 {
			files := whole.afterKill()
			files.files[name][at] ^= 0x10
			_, err := Open(files, testDir, smallBounds)
			var damage *DamageError
			var version *VersionError
			if !errors.As(err, &version) {
				require.ErrorAs(t, err, &damage, "%s byte %d", name, at)
				if i == 0 || damage.File == name {
					require.Equal(t, name, damage.File)
				}
			}
			require.False(t, files.locked)
			files.files[name][at] ^= 0x10
			require.Equal(t, whole.files, files.files, "nothing was changed")
			_, err = Open(files, testDir, smallBounds)
			require.NoError(t, err)
		}
	}
}

func TestOpenRefusesCutOrMissingSegment(t *testing.T) {
	whole := filledStore(t)
	names := segmentFiles(whole)
	middle := names[len(names)/2]
	for _, cut := range []int{0, 10, segmentHeaderSize, segmentHeaderSize + 5, len(whole.files[middle]) - 1} {
		files := whole.afterKill()
		files.files[middle] = files.files[middle][:cut]
		_, err := Open(files, testDir, smallBounds)
		var damage *DamageError
		require.ErrorAs(t, err, &damage)
		require.Equal(t, middle, damage.File)
	}
	files := whole.afterKill()
	delete(files.files, middle)
	_, err := Open(files, testDir, smallBounds)
	require.ErrorContains(t, err, middle+": byte 0: missing")
	_, err = Inspect(files, testDir)
	require.ErrorContains(t, err, "missing")
	_, err = Verify(files, testDir)
	require.ErrorContains(t, err, "missing")
}

func TestOpenRefusesNewerVersion(t *testing.T) {
	files := filledStore(t)
	names := segmentFiles(files)
	files.files[names[1]][8] = segmentVersion + 1
	_, err := Open(files, testDir, smallBounds)
	var version *VersionError
	require.ErrorAs(t, err, &version)
	require.Equal(t, VersionError{File: names[1], Version: segmentVersion + 1}, *version)
}

// Wherever a kill cuts the last segment, the complete records before the cut are read and the store stays usable.
func TestTornEndIsNotDamage(t *testing.T) {
	whole := filledStore(t)
	names := segmentFiles(whole)
	last := names[len(names)-1]
	previous := -1
	for cut := 0; cut <= len(whole.files[last]); cut++ {
		files := whole.afterKill()
		files.files[last] = files.files[last][:cut]
		s := openStore(t, files, smallBounds)
		checkStore(t, s)
		require.GreaterOrEqual(t, s.Messages()+2, previous, "at most 2 more messages are released")
		previous = s.Messages()
		require.NoError(t, s.Append(testMessage(testLanes[0], 1000)))
		want := headSeqs(t, s, testLanes[0], 1000)
		require.NoError(t, s.Close())
		s = openStore(t, files, smallBounds)
		require.Equal(t, want, headSeqs(t, s, testLanes[0], 1000), "cut at %d", cut)
		reports, err := Verify(files, testDir)
		require.NoError(t, err)
		for _, r := range reports {
			require.NoError(t, r.Fault)
		}
	}
}

func TestVerifyNamesEachFault(t *testing.T) {
	files := filledStore(t)
	names := segmentFiles(files)
	files.files[names[0]][segmentHeaderSize+20] ^= 1
	files.files[names[2]][segmentHeaderSize+20] ^= 1
	reports, err := Verify(files, testDir)
	require.NoError(t, err)
	require.Len(t, reports, len(names))
	for i, r := range reports {
		require.Equal(t, names[i], r.File)
		if i == 0 || i == 2 {
			require.ErrorContains(t, r.Fault, names[i]+": byte 32: a record fails its checksum")
		} else {
			require.NoError(t, r.Fault)
			require.Positive(t, r.Messages)
		}
	}
}

func TestReadRefusesDamagedRecord(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	require.NoError(t, s.Append(testMessage(testLanes[0], 1)))
	files.files[segmentName(testDir, 1)][segmentHeaderSize+60] ^= 1
	_, err := s.Head(testLanes[0], 1)
	require.ErrorContains(t, err, segmentName(testDir, 1)+": byte 32:")
	require.Equal(t, 1, s.Messages())
}
