// Package modelchecker checks the freshness lease and the placement of
// ownership together, by random schedules of faults: cuts in one or both
// directions, lost, late and reordered messages, pauses, restarts that lose
// all memory, planned stops, changes of the member list in quick succession,
// and a platform that shows old revisions to some. An observer that sees
// everything checks after every step what the packages prover and placer
// promise, and after each schedule that a healed network serves again.
//
// The tests check a fixed number of schedules; the command "standin model"
// checks as many as there is time for.
package modelchecker
