package mesh

import (
	"context"
	"fmt"
	"os/exec"
)

// Build builds the mesh's programs, and the packages in more, into a folder, with the race detector if race is set. The working directory
// must be within the module.
func Build(ctx context.Context, folder string, race bool, more ...string) error {
	args := []string{"build", "-o", folder + "/"}
	if race {
		args = append(args, "-race")
	}
	args = append(args, "firplank/cmd/firplank-proxy", "firplank/cmd/firplank-control")
	out, err := exec.CommandContext(ctx, "go", append(args, more...)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
