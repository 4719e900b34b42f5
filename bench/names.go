package bench

import (
	"encoding/binary"

	"github.com/wasabishunt/wasabishunt/piece"
)

// mixName spreads two numbers over 64 bits.
func mixName(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nameOf stands in for the keyed hash of package piece, which needs the tokens themselves.
func nameOf(prefix, index, version uint64) piece.Name {
	var name piece.Name
	binary.LittleEndian.PutUint64(name[0:], mixName(mixName(prefix, version), index))
	binary.LittleEndian.PutUint64(name[8:], prefix)
	binary.LittleEndian.PutUint64(name[16:], index)
	binary.LittleEndian.PutUint64(name[24:], version)
	return name
}
