// Package dfpublish publishes service files: it collects and checks them, shows what
// changes, and commits them as the next configuration version.
package dfpublish

import (
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfconfig"
)

// Collect reads service files and returns them sorted by name. A path is a file, or a
// directory that is searched recursively for files with the extension ".toml".
func Collect(paths []string) ([]dfconfig.File, error) {
	names := make(map[string]bool)
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if !entry.IsDir() && (name == path || filepath.Ext(name) == ".toml") {
				names[filepath.Clean(name)] = true
			}
			return nil
		})
		if err != nil {
			return nil, eris.Wrapf(err, "publish: collect %s", path)
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	files := make([]dfconfig.File, 0, len(sorted))
	for _, name := range sorted {
		data, err := os.ReadFile(name) //nolint:gosec // The operator names the files.
		if err != nil {
			return nil, eris.Wrapf(err, "publish: read %s", name)
		}
		files = append(files, dfconfig.File{Name: name, Data: data})
	}
	return files, nil
}
