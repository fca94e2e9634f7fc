// Command coltsfootflow is a placeholder until its commands land.
package main

func main() {}
