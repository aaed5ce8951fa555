package configcheck

// checkVersion finds a version that entries do not take over.
func checkVersion(in *Input, r *report) {
	if in.InForce == nil {
		return
	}
	at := field(Whole, 0, FieldVersion)
	switch {
	case in.Version < in.InForce.Version:
		r.error(at, "the changes do not take effect", "version %d is below version %d in force, which entries keep", in.Version, in.InForce.Version)
	case in.Version == in.InForce.Version && len(Diff(in.InForce, in.Document)) > 0:
		r.warn(at, "nobody can tell which of both an entry applies", "version %d is in force with other contents", in.Version)
	}
}
