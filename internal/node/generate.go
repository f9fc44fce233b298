package node

//go:generate go tool wire
