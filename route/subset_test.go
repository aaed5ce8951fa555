package route

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// agentFleet returns n agents in 2 regions of 3 data centres with 9 versions. Only
// 3 agents serve the last version, all of them in the last data centre.
func agentFleet(n int) []AgentRef {
	agents := make([]AgentRef, n)
	for i := range agents {
		dc := i % 6
		agents[i] = AgentRef{Name: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("d%d", dc),
			Region: fmt.Sprintf("r%d", dc/3), Serves: []string{fmt.Sprintf("m%d@1", i%8)}}
		if i%6 == 5 && i < 18 {
			agents[i].Serves = []string{"rare@1"}
		}
	}
	return agents
}

func testSubset(entry string, agents []AgentRef) []string {
	return Subset(entry, "d0", "r0", agents, DefaultSubsetLimits())
}

// TestSubset guards against a subset that exceeds its limits, lacks the entry's
// data centre, or lacks an available version.
func TestSubset(t *testing.T) {
	if got := testSubset("e", agentFleet(48)); len(got) != 48 {
		t.Errorf("48 agents: %d links", len(got))
	}
	agents := agentFleet(650)
	byName := map[string]AgentRef{}
	for _, a := range agents {
		byName[a.Name] = a
	}
	linked := map[string]int{}
	for e := range 70 {
		distance, versions := [3]int{}, map[string]int{}
		chosen := testSubset(fmt.Sprintf("entry-%d", e), agents)
		for _, name := range chosen {
			a := byName[name]
			switch {
			case a.DataCentre == "d0":
				distance[0]++
				linked[name]++
			case a.Region == "r0":
				distance[1]++
			default:
				distance[2]++
			}
			versions[a.Serves[0]]++
		}
		if distance[0] != 32 || distance[1] < 12 || distance[2] < 4 || len(chosen) > 48+2*9 {
			t.Fatalf("links %v", distance)
		}
		for i := range 9 {
			if v := []string{"m0@1", "m1@1", "m2@1", "m3@1", "m4@1", "m5@1", "m6@1", "m7@1", "rare@1"}[i]; versions[v] < 2 {
				t.Fatalf("%s has %d links", v, versions[v])
			}
		}
	}
	// 70 entries of a data centre have 2240 links to its 109 agents, 20.6 each.
	for i := 0; i < 650; i += 6 {
		if n := linked[agents[i].Name]; n < 8 || n > 36 {
			t.Errorf("%s has %d links", agents[i].Name, n)
		}
	}
}

// TestSubsetIsStable guards against many new links when one agent is added or
// removed, and against a result that depends on the order of the list.
func TestSubsetIsStable(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	agents := agentFleet(650)
	properties.Property("removing one agent changes few links", prop.ForAll(
		func(entry string, gone int, shift int) bool {
			before := testSubset(entry, agents)
			rotated := append(slices.Clone(agents[shift:]), agents[:shift]...)
			if !slices.Equal(before, testSubset(entry, rotated)) {
				return false
			}
			after := testSubset(entry, slices.Delete(slices.Clone(agents), gone, gone+1))
			added := 0
			for _, name := range after {
				if !slices.Contains(before, name) {
					added++
				}
			}
			// At most two links replace the removed agent: one within the limit of its
			// distance, and one for the version that it served.
			return added <= 2 && (slices.Contains(before, agents[gone].Name) || added == 0)
		}, gen.Identifier(), gen.IntRange(0, 649), gen.IntRange(0, 649)))
	properties.TestingRun(t)
}
