// Package tree reads team settings from a directory, such as one kept in version
// control, that holds one file TEAM.toml per team.
package tree

import (
	"os"
	"path/filepath"
	"strings"

	"gypsumward/core/check"
	"gypsumward/core/settings"
)

// fileSuffix is the file name extension of settings files.
const fileSuffix = ".toml"

// File holds the settings of one team, read from a file.
type File struct {
	Team     string        // from the file name
	Path     string        // path of the file
	Text     string        // content of the file
	Settings settings.Team // settings parsed from Text
}

// Read reads and checks the named files and the settings files in the named
// directories. In a directory, hidden files and files with another extension are
// ignored, and a subdirectory is a fault. Two files for one team are a fault.
// The files of a directory are in the order of their names. If there are any
// faults, no files are returned.
func Read(names ...string) ([]File, settings.Faults) {
	r := reader{pathByTeam: make(map[string]string)}
	for _, name := range names {
		r.addPath(name)
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return r.files, nil
}

// reader accumulates the files and faults found by Read.
type reader struct {
	files      []File
	faults     settings.Faults
	pathByTeam map[string]string
}

// addPath reads the named file, or all settings files of the named directory.
func (r *reader) addPath(name string) {
	info, err := os.Stat(name)
	if err != nil {
		r.addFault(name, err.Error())
		return
	}
	if !info.IsDir() {
		r.addFile(name)
		return
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		r.addFault(name, err.Error())
		return
	}
	for _, entry := range entries {
		path := filepath.Join(name, entry.Name())
		switch {
		case strings.HasPrefix(entry.Name(), "."):
		case entry.IsDir():
			r.addFault(path, "is a directory; allowed are files named TEAM"+fileSuffix)
		case strings.HasSuffix(entry.Name(), fileSuffix):
			r.addFile(path)
		}
	}
}

// addFile reads and parses the settings file at path.
func (r *reader) addFile(path string) {
	team, ok := strings.CutSuffix(filepath.Base(path), fileSuffix)
	if !ok {
		r.addFault(path, "is not named TEAM"+fileSuffix)
		return
	}
	if refusal := check.ID("team", team); refusal != nil {
		r.addFault(path, refusal.Detail)
		return
	}
	if other, ok := r.pathByTeam[team]; ok {
		r.addFault(path, "the team is also in "+other)
		return
	}
	r.pathByTeam[team] = path
	text, err := os.ReadFile(path)
	if err != nil {
		r.addFault(path, err.Error())
		return
	}
	parsed, faults := settings.Parse(path, string(text))
	r.faults = append(r.faults, faults...)
	r.files = append(r.files, File{Team: team, Path: path, Text: string(text), Settings: parsed})
}

// addFault records a fault of the file at path.
func (r *reader) addFault(path, detail string) {
	r.faults = append(r.faults, settings.Fault{File: path, Detail: detail})
}
