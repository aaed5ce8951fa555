package main

// The names of the routes and services of the small deployment.
const (
	bookings  = "/book/"
	lookups   = "/look/"
	prompts   = "/draft/"
	bookingIn = "agenda-app"
	promptIn  = "redactor"
	clientKey = "key-of-crew"
)

type object = map[string]any

// configuration returns a configuration like that of the pages' example. change, if it is not
// nil, changes it before it is encoded.
func configuration(version int, change func(routes, services map[string]object)) object {
	route := func(prefix, kind, service string, attempts int) object {
		return object{"name": "r-" + service + "-" + kind, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 6000,
			"targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "allowedRegions": []string{}}
	}
	service := func(name string) object {
		return object{"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
	}
	routes := map[string]object{
		bookings: route(bookings, "non_idempotent", bookingIn, 1),
		lookups:  route(lookups, "idempotent", bookingIn, 2),
		prompts:  route(prompts, "streaming", promptIn, 3),
	}
	routes[prompts]["resumable"], routes[prompts]["targetGapMs"] = true, 1200
	services := map[string]object{bookingIn: service(bookingIn), promptIn: service(promptIn)}
	if change != nil {
		change(routes, services)
	}
	c := object{"version": version, "routes": []object{}, "services": []object{},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "crew", "apiKeys": []string{clientKey}, "priority": 1, "allowedRegions": []string{}}},
	}
	for _, path := range []string{bookings, lookups, prompts} {
		c["routes"] = append(c["routes"].([]object), routes[path])
	}
	for _, name := range []string{bookingIn, promptIn} {
		c["services"] = append(c["services"].([]object), services[name])
	}
	return c
}
