package refuse

// ParseReason returns the reason with a name, as in logs; false: there is none.
func ParseReason(name string) (Reason, bool) {
	for r := range numReasons {
		if r.String() == name {
			return r, true
		}
	}
	return Unspecified, false
}

// ParseRan returns the value with a name, as in logs; false: there is none.
func ParseRan(name string) (Ran, bool) {
	for r := RanNo; r <= RanPartial; r++ {
		if r.String() == name {
			return r, true
		}
	}
	return RanMaybe, false
}
