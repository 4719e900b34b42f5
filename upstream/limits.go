// Package upstream holds what the clients of all kinds of upstreams share.
package upstream

// MaxHeadBytes limits the head of an answer. net/http allows 10 MB by default, with which a few dozen answers of a faulty upstream
// exhaust the memory of a small VM.
const MaxHeadBytes = 64 << 10
