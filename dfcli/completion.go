package dfcli

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
)

// CompletionCommand prints a script that completes commands and flags in bash.
type CompletionCommand struct{}

// Run prints the script.
func (c *CompletionCommand) Run(env *environment) error {
	_, err := fmt.Fprint(env.out, completionScript(env.model))
	return err
}

// completionScript has one case for each command, by its path.
func completionScript(app *kong.Application) string {
	var script strings.Builder
	fmt.Fprintf(&script, "# bash completion of %[1]s; use: source <(%[1]s completion)\n_%[1]s() {\n", app.Name)
	script.WriteString("  local word path=\"\" current=\"${COMP_WORDS[COMP_CWORD]}\"\n")
	script.WriteString("  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n    case \"$word\" in\n      -*) ;;\n")
	names := make(map[string]bool)
	var paths []string
	words := make(map[string][]string)
	collect(app.Node, "", nil, func(path string, node *kong.Node, offered []string) {
		paths = append(paths, path)
		words[path] = offered
		if path != "" {
			names[node.Name] = true
		}
	})
	fmt.Fprintf(&script, "      %s) path=\"$path $word\" ;;\n    esac\n  done\n  case \"$path\" in\n", strings.Join(slices.Sorted(maps.Keys(names)), "|"))
	sort.Strings(paths)
	for _, path := range paths {
		fmt.Fprintf(&script, "    %q) COMPREPLY=($(compgen -f -W %q -- \"$current\")) ;;\n", path, strings.Join(words[path], " "))
	}
	fmt.Fprintf(&script, "  esac\n}\ncomplete -o filenames -F _%[1]s %[1]s\n", app.Name)
	return script.String()
}

// collect visits each command with the words that may follow it.
func collect(node *kong.Node, path string, inherited []string, visit func(string, *kong.Node, []string)) {
	flags := append([]string(nil), inherited...)
	for _, flag := range node.Flags {
		if !flag.Hidden {
			flags = append(flags, "--"+flag.Name)
		}
	}
	offered := append([]string(nil), flags...)
	for _, child := range node.Children {
		offered = append(offered, child.Name)
	}
	visit(path, node, offered)
	for _, child := range node.Children {
		collect(child, path+" "+child.Name, flags, visit)
	}
}
