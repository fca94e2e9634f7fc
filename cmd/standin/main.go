// Command standin is a placeholder until its commands land.
package main

func main() {}
