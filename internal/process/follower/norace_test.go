//go:build !race

package follower_test

const raceDetector = false
