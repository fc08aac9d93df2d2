// Command eelgrassctl is the command-line tool for operators; see package ctl.
package main

import (
	"os"

	"eelgrassgrade/internal/ctl"
	"eelgrassgrade/internal/edge"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv, edge.ReadConfiguration)) }
