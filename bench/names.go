package bench

import (
	"encoding/binary"

	"github.com/wasabishunt/wasabishunt/piece"
)

// mix64 hashes two numbers to 64 bits.
func mix64(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nameOf returns the name of a piece. It takes the place of the keyed hash of package piece, which needs the tokens
// themselves.
func nameOf(prefix, index, version uint64) piece.Name {
	var name piece.Name
	binary.LittleEndian.PutUint64(name[0:], mix64(mix64(prefix, version), index))
	binary.LittleEndian.PutUint64(name[8:], prefix)
	binary.LittleEndian.PutUint64(name[16:], index)
	binary.LittleEndian.PutUint64(name[24:], version)
	return name
}
