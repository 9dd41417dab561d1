package dfconfig

import "fmt"

// KeyChange is the change of one value of a configuration.
type KeyChange struct {
	// Key names the value, such as "Organisations[a].Rate".
	Key string
	// From and To are the values as text, or empty if the key is absent. Those of
	// service files are JSON values, with durations as in the files.
	From string
	To   string
}

// String formats the change of a key as one line.
func (c KeyChange) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s = %s", c.Key, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s = %s", c.Key, c.From)
	}
	return fmt.Sprintf("~ %s = %s -> %s", c.Key, c.From, c.To)
}
