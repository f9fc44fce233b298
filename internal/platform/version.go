package platform

import "fmt"

// Version orders the states of the store. It grows with each transaction and with each restore of
// the store from a copy: the store then loses its newest transactions and gives their numbers out
// again, but in a new era. All versions of an era are above those of the eras before. 0 is that of a
// row that does not exist.
type Version uint64

const (
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
)

// NewVersion returns the version with a number in an era of the store. It returns an error if one of
// them is too large.
func NewVersion(era, number uint64) (Version, error) {
	if era > 1<<(64-numberBits)-1 || number > maxNumber {
		return 0, fmt.Errorf("version %d of era %d is out of range", number, era)
	}
	return Version(era<<numberBits | number), nil
}

// Era is how often the store had been restored.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number is the number that the store gave the transaction.
func (v Version) Number() uint64 { return uint64(v) & maxNumber }

// String returns the era and the number, separated by a dot.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era(), v.Number()) }
