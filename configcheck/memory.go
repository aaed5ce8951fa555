package configcheck

// checkMemory finds limits on requests that the memory of the entries does not allow.
func checkMemory(in *Input, r *report) {
	p := in.Process
	if p == nil {
		return
	}
	if p.LargestBody > 0 && in.Limits.BodyBytes > p.LargestBody {
		r.warn(field(Limits, 0, FieldBodyBytes), "larger bodies get 413 although the configuration allows them",
			"bodies of %d bytes, but an entry has memory for one of %d (memory_mb)", in.Limits.BodyBytes, p.LargestBody)
	}
	at := field(Limits, 0, FieldHeaderBytes)
	switch {
	case p.HeadMemory > 0 && int64(in.Limits.HeaderBytes) > p.HeadMemory:
		r.warn(at, "connections with such heads are closed",
			"heads of %d bytes, but all connections together have %d (memory_mb, clients.memory_share)", in.Limits.HeaderBytes, p.HeadMemory)
	case p.LargestHead > 0 && in.Limits.HeaderBytes > p.LargestHead:
		r.warn(at, "larger heads get 431", "heads of %d bytes, but an entry accepts %d at most", in.Limits.HeaderBytes, p.LargestHead)
	}
}
