package agent

import "context"

// readStatus requests the status of the engine and reports whether it answered. It
// returns true for a plain service.
func (a *Agent) readStatus(ctx context.Context) bool {
	if a.deps.Engine == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*statusInterval)
	defer cancel()
	status, err := a.deps.Engine.Status(ctx)
	if err != nil {
		a.metrics.Add("engine_status_errors", 1)
		last := *a.lastReport.Load()
		last.ok = false
		a.lastReport.Store(&last)
		return false
	}
	a.lastReport.Store(&engineReport{status: status, ok: true})
	a.gate.engineStatus(status.BootID, status.Uptime)
	return true
}

// readVMList checks in the VM list whether the platform is about to stop this VM. The
// list is updated with a delay, so it is used in addition to the record.
func (a *Agent) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := a.deps.VMs.VMs(ctx)
	if err != nil {
		return
	}
	for _, vm := range vms {
		if vm.Name == a.settings.VM {
			if a.vmLeaving.Swap(vm.Leaving) != vm.Leaving {
				a.gate.reset()
			}
		}
	}
}
