package main

import (
	"fmt"
	"sort"
)

// unexcusedFaults returns the failures of a test run that the list does not excuse. The status is the exit status of the run.
func unexcusedFaults(known []entry, r *results, status int) []string {
	var faults []string
	listed := make(map[testID]bool)
	for _, one := range known {
		if !one.isGoTest() {
			continue
		}
		listed[one.test] = true
		if how := r.outcomeOf(one.test); how == notRun || how == skipped {
			faults = append(faults, fmt.Sprintf("%s is listed, but %s", one.test, how))
		}
	}
	for _, path := range r.failedBuilds {
		faults = append(faults, "the build of "+path+" failed")
	}
	excused := 0
	for _, pkg := range r.order {
		if how := r.packages[pkg]; how == passed || how == skipped {
			continue
		}
		found := r.packageFaults(pkg, listed)
		if len(found) == 0 {
			excused++
		}
		faults = append(faults, found...)
	}
	if status != 0 && excused == 0 && len(faults) == 0 {
		faults = append(faults, fmt.Sprintf("the tests ended with status %d, and no failure was seen", status))
	}
	if len(r.order) == 0 {
		faults = append(faults, "no package was tested")
	}
	return faults
}

// packageFaults returns the failures of a package that did not pass, without those of listed tests.
func (r *results) packageFaults(pkg string, listed map[testID]bool) []string {
	var faults []string
	if r.packages[pkg] == unfinished {
		faults = append(faults, "the tests of "+pkg+" never ended")
	}
	for _, line := range r.crashes[pkg] {
		faults = append(faults, pkg+": "+line)
	}
	failures := 0
	for test, how := range r.tests {
		switch {
		case test.pkg != pkg:
		case how == unfinished:
			faults = append(faults, test.String()+" never ended")
		case how == failed && !listed[test]:
			faults = append(faults, test.String()+" fails")
		case how == failed:
			failures++
		}
	}
	if failures == 0 && len(faults) == 0 {
		faults = append(faults, pkg+" fails, though none of its tests does")
	}
	sort.Strings(faults)
	return faults
}
