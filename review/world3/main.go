// World3 plays one case of the review on a small deployment: processes of the project on loopback
// addresses, with stand-ins of the platform's store, the runners and the clients in this process.
package main

import (
	"fmt"
	"os"
)

// cases plays each case: the result is true if the rule was broken.
var cases = map[string]func(folder string) bool{
	"gang":    gangAfterFailures,
	"replica": replicaElsewhere,
	"cancel":  cancelElsewhere,
	"entry":   entryWithoutZone,
	"twice":   entryOfOtherAddress,
}

func main() {
	play := cases[os.Args[1]]
	defer func() {
		if p := recover(); p != nil {
			if u, ok := p.(unable); ok {
				fmt.Println("the case could not run:", u.Error())
				os.Exit(2)
			}
			panic(p)
		}
	}()
	if play(os.Args[2]) {
		fmt.Println("BROKEN")
		os.Exit(1)
	}
	fmt.Println("held")
}
