// Command dragonflygrade is a database proxy with session consistency.
package main

import "fmt"

func main() {
	fmt.Println("dragonflygrade")
}
